package dispatch

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wallrack/wallrack/internal/wire"
)

// PushCommands sends the machine's commands directly, instead of waiting for its next
// report.
func (h *Dispatcher) PushCommands(name string) {
	if !h.routing.MayAnswerWorkers() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.machines[name]
	if s == nil || s.report.Endpoint == "" || time.Since(s.at) > h.lease {
		return
	}
	if s.busy {
		s.again = true
		return
	}
	term := h.tokens.FencingToken()
	if term == 0 {
		return
	}
	if term < s.report.Token {
		// The next report raises the term too, but may never come: a worker that had seen
		// another controller's token, and reached nobody any more, got no command.
		h.raiseLocked(s.report.Token)
		return
	}
	cmds := h.commands(name, term, false)
	if len(cmds) == 0 {
		return
	}
	s.busy, s.again = true, false
	endpoint, session := s.report.Endpoint, s.report.Session
	h.startLocked(func() {
		h.order(name, endpoint, wire.Orders{Token: term, Session: session, Commands: cmds})
	})
}

func (h *Dispatcher) order(name, endpoint string, o wire.Orders) {
	ctx, cancel := context.WithTimeout(h.ctx, orderTimeout)
	rep, executed, err := h.orders.SendCommands(ctx, endpoint, o, func() error { return h.outdated(o) })
	cancel()
	h.mu.Lock()
	s := h.machines[name]
	if s == nil {
		h.mu.Unlock()
		return
	}
	s.busy = false
	again := s.again
	s.again = false
	switch {
	case err != nil && !errors.Is(err, ErrNotSent):
		// The order may still arrive, minutes late, while its token and
		// session match: only a newer token ends that.
		s.fate = max(s.fate, o.Token)
		h.raiseLocked(s.fate)
		again = false
	case errors.Is(err, errOutdated):
		again = true // what it had besides is still to be said
	case err != nil:
		again = false
	case !executed:
		for _, q := range s.queue {
			q.granted = false
		}
	}
	h.mu.Unlock()
	if err != nil {
		h.log.Debug("direct order failed", "machine", name, "err", err)
		if again {
			h.PushCommands(name)
		}
		return
	}
	if rep.Machine != name {
		h.log.Info("another machine answered", "machine", name, "answered", rep.Machine)
		return
	}
	if view, ok := h.take(rep, false); ok {
		h.owners.ObserveWorker(view)
	}
	if again && rep.Token <= h.tokens.FencingToken() {
		h.PushCommands(name)
	}
}

// probesAtOnce bounds how many machines are asked for their report at a time.
const probesAtOnce = 32

// PollReports asks machines that were not heard here for a while for their reports.
// After a takeover this tells what runs long before every worker has found out
// where to report to, and has done so.
func (h *Dispatcher) PollReports(ctx context.Context, endpoints map[string]string, unheard time.Duration) {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(probesAtOnce)
	for name, endpoint := range endpoints {
		h.mu.Lock()
		s := h.machines[name]
		skip := h.gone.Has(name) || s != nil && time.Since(s.at) < unheard || len(h.machines) >= maxMachines
		h.mu.Unlock()
		if skip || !h.routing.MayAnswerWorkers() {
			continue
		}
		g.Go(func() error { h.askWithin(ctx, name, endpoint, orderTimeout); return nil })
	}
	_ = g.Wait() // none returns an error
}

// FetchReport asks a machine for its report and reports whether it answered. It is for judging
// whether the machine works, and so waits longer than the rounds of Probe and Chase do: one
// at the end of a slow link was returned as deaf.
func (h *Dispatcher) FetchReport(ctx context.Context, name, endpoint string) bool {
	return h.askWithin(ctx, name, endpoint, askTimeout)
}

func (h *Dispatcher) askWithin(ctx context.Context, name, endpoint string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	rep, err := h.orders.FetchReport(ctx, endpoint)
	cancel()
	if err != nil || rep.Machine != name {
		h.log.Debug("no report on request", "machine", name, "err", err)
		return false
	}
	if view, ok := h.take(rep, false); ok {
		h.owners.ObserveWorker(view)
	}
	return true
}

// ChaseCancelledTasks asks machines on which cancelled tasks may be for their reports, and halts
// those tasks by direct orders: their worker may report to nobody who can be told.
func (h *Dispatcher) ChaseCancelledTasks(ctx context.Context, endpoints map[string]string) {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(probesAtOnce)
	for name, endpoint := range endpoints {
		g.Go(func() error {
			if h.askWithin(ctx, name, endpoint, orderTimeout) {
				h.PushCommands(name)
			}
			return nil
		})
	}
	_ = g.Wait() // none returns an error
}

// raiseLocked raises the term in the background, one at a time.
func (h *Dispatcher) raiseLocked(above uint64) {
	if h.raising || h.tokens.FencingToken() > above {
		return
	}
	h.raising = true
	h.startLocked(func() {
		ctx, cancel := context.WithTimeout(h.ctx, 5*time.Second)
		_, err := h.tokens.RaiseTokenAbove(ctx, above)
		cancel()
		h.mu.Lock()
		h.raising = false
		h.mu.Unlock()
		if err != nil {
			h.log.Info("raising the term failed", "err", err)
		}
	})
}
