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

// PushCommands sends the worker's commands directly instead of waiting for its next heartbeat. At
// most one push to a worker is in flight; if another is requested meanwhile, it is sent afterwards.
// Nothing is sent if this controller may not answer workers, or if the worker has not reported
// within a lease, or if there are no commands and the worker needs no token. If the worker has seen
// a higher token, the token is raised instead. PushCommands returns at once.
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
		// The next heartbeat would raise the token too, but may never arrive: a worker that has seen
		// another controller's higher token and can reach no controller would get no commands.
		d.raiseTokenLocked(worker.report.Token)
		return
	}
	commands := d.commandsLocked(name, token, false)
	if len(commands) == 0 && !worker.needsToken(token) {
		return
	}
	worker.pushInFlight, worker.pushPending = true, false
	endpoint, session := worker.report.Endpoint, worker.report.Session
	d.startGoroutineLocked(func() {
		d.push(name, endpoint, wire.PushedCommands{Token: token, Session: session, Commands: commands})
	})
}

// needsToken reports whether a push without commands must show the worker the fencing token. A
// worker that only answers polls gets no heartbeat responses, which would carry the token. Until its
// report shows the leader's token, tasks placed on it by a previous leader can't be reconciled.
func (w *workerState) needsToken(token uint64) bool { return w.polled && w.report.Token < token }

// push sends commands and processes the worker's response.
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
		d.log.Info("another worker responded at this worker's endpoint", "worker", name, "responded", rep.Machine)
		return
	}
	if view, stored := d.storeReport(rep, false); stored {
		d.schedulers.ObserveWorker(view)
	}
	if pushAgain && rep.Token <= d.tokens.FencingToken() {
		d.PushCommands(name)
	}
}

// finishPush records the result of a push. It returns whether the worker is still known, and
// whether to push again.
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
		// The commands may still arrive, minutes later, and are valid as long as their token and
		// session match: only a newer token invalidates them.
		d.raiseTokenLocked(orders.Token)
		return true, false
	case errors.Is(err, errOutdated):
		return true, true // the remaining commands still have to be sent
	case err != nil:
		return true, false
	case !executed:
		for _, queued := range worker.queue {
			queued.granted = false
		}
	}
	return true, pushAgain
}

// checkCurrent returns errOutdated if a push must no longer be sent. While the push waited for its
// connection, a job may have been cancelled, the token may have been raised, or this controller may
// have lost the right to answer workers. If sent then, the push could start a task after the task's
// cancel was confirmed.
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

// raiseTokenLocked raises the fencing token above the given one in the background. It does nothing
// and returns false if the token is already higher or another raise is running.
func (d *Dispatcher) raiseTokenLocked(above uint64) (started bool) {
	if d.raisingToken || d.tokens.FencingToken() > above {
		return false
	}
	d.raisingToken = true
	d.startGoroutineLocked(func() { d.raiseToken(above) })
	return true
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
