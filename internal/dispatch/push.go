package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

const (
	pushTimeout            = 1500 * time.Millisecond
	backgroundRaiseTimeout = 5 * time.Second
)

// PushCommands sends the worker's commands directly, instead of waiting for its next
// heartbeat. One push to a worker is under way at a time. It returns at once.
func (d *Dispatcher) PushCommands(name string) {
	if !d.routing.MayAnswerWorkers() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	worker := d.workers[name]
	if worker == nil || worker.report.Endpoint == "" || time.Since(worker.reportedAt) > d.lease {
		return
	}
	if worker.pushInFlight {
		worker.pushPending = true
		return
	}
	token := d.tokens.FencingToken()
	if token == 0 {
		return
	}
	if token < worker.report.Token {
		// The next heartbeat raises the token too, but may never come: a worker that had seen
		// another controller's token, and reached nobody any more, got no command.
		d.raiseTokenLocked(worker.report.Token)
		return
	}
	commands := d.commandsLocked(name, token, false)
	if len(commands) == 0 && !worker.needsToken(token) {
		return
	}
	worker.pushInFlight, worker.pushPending = true, false
	endpoint, session := worker.report.Endpoint, worker.report.Session
	d.startLocked(func() {
		d.push(name, endpoint, wire.PushedCommands{Token: token, Session: session, Commands: commands})
	})
}

// needsToken reports whether a worker is to be shown a fencing token by a push without commands:
// it only responds to polls, and no response to a heartbeat shows it one. Until its report has
// the leader's token, what a predecessor placed on it can't be settled.
func (w *workerState) needsToken(token uint64) bool { return w.polled && w.report.Token < token }

// push sends commands and handles the worker's response.
func (d *Dispatcher) push(name, endpoint string, orders wire.PushedCommands) {
	ctx, cancel := context.WithTimeout(d.lifetime, pushTimeout)
	rep, executed, err := d.sender.SendCommands(ctx, endpoint, orders, func() error { return d.checkCurrent(orders) })
	cancel()
	known, pushAgain := d.finishPush(name, &orders, executed, err)
	if !known {
		return
	}
	if err != nil {
		d.log.Debug("sending commands failed", "worker", name, "err", err)
		if pushAgain {
			d.PushCommands(name)
		}
		return
	}
	if rep.Machine != name {
		d.log.Info("another worker responded", "worker", name, "responded", rep.Machine)
		return
	}
	if view, stored := d.storeReport(rep, false); stored {
		d.schedulers.ObserveWorker(view)
	}
	if pushAgain && rep.Token <= d.tokens.FencingToken() {
		d.PushCommands(name)
	}
}

// finishPush notes the outcome of a push. It returns false if the worker is not known any more,
// and whether to push again.
func (d *Dispatcher) finishPush(name string, orders *wire.PushedCommands, executed bool, err error) (known, pushAgain bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	worker := d.workers[name]
	if worker == nil {
		return false, false
	}
	pushAgain = worker.pushPending
	worker.pushInFlight, worker.pushPending = false, false
	switch {
	case err != nil && !errors.Is(err, ErrNotSent) && len(orders.Commands) > 0:
		// The commands may still arrive, minutes late, while their token and
		// session match: only a newer token ends that.
		worker.unknownOutcome = max(worker.unknownOutcome, orders.Token)
		d.raiseTokenLocked(worker.unknownOutcome)
		return true, false
	case errors.Is(err, errOutdated):
		return true, true // the other commands are still to be sent
	case err != nil:
		return true, false
	case !executed:
		for _, queued := range worker.queue {
			queued.granted = false
		}
	}
	return true, pushAgain
}

// checkCurrent returns errOutdated if direct commands must not leave any more. They may have
// waited for their connection while a job was cancelled, the token was raised, or this controller
// lost the right to answer workers: sent then, they would start a task after a confirmed cancel.
func (d *Dispatcher) checkCurrent(orders wire.PushedCommands) error {
	if !d.routing.MayAnswerWorkers() || d.tokens.FencingToken() != orders.Token {
		return errOutdated
	}
	for _, command := range orders.Commands {
		if command.Verb == wire.VerbStart && d.cancelled(command.Task) {
			return errOutdated
		}
	}
	return nil
}

// raiseTokenLocked raises the fencing token in the background, one raise at a time.
func (d *Dispatcher) raiseTokenLocked(above uint64) {
	if d.raisingToken || d.tokens.FencingToken() > above {
		return
	}
	d.raisingToken = true
	d.startLocked(func() { d.raiseToken(above) })
}

func (d *Dispatcher) raiseToken(above uint64) {
	ctx, cancel := context.WithTimeout(d.lifetime, backgroundRaiseTimeout)
	_, err := d.tokens.RaiseTokenAbove(ctx, above)
	cancel()
	d.mu.Lock()
	d.raisingToken = false
	d.mu.Unlock()
	if err != nil {
		d.log.Info("raising the fencing token failed", "fencing_token", above, "err", err)
	}
}
