package testkit_test

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// ObserveWorker hands a view to the owner here, as cmd/wallrack does.
func (n *node) ObserveWorker(v dispatch.WorkerView) {
	if seen := n.linksSeen(); v.Asked && seen.SharesWorkers() {
		v.Holder = n.LeaderFor(v.Name)
	}
	n.owner.ObserveWorker(v)
}

func (n *node) GrantLocal(r dispatch.GrantRequest) dispatch.GrantReply { return n.owner.GrantLocal(r) }
func (n *node) GrantRemote(ctx context.Context, at string, requests []dispatch.GrantRequest) ([]dispatch.GrantReply, error) {
	return overPeerLink(ctx, n.w, func() ([]dispatch.GrantReply, error) {
		to, err := n.peer(at)
		if err != nil {
			return nil, err
		}
		return to.owner.GrantAll(requests), nil
	})
}

func (n *node) SendInstructions(ctx context.Context, holder string, d dispatch.Instructions) (dispatch.Unlaunched, error) {
	if n.w.directed != nil {
		n.w.directed(d)
	}
	if holder == n.name {
		return n.holder.ApplyInstructions(d), nil
	}
	return overPeerLink(ctx, n.w, func() (dispatch.Unlaunched, error) {
		to, err := n.peer(holder)
		if err != nil {
			return dispatch.Unlaunched{}, err
		}
		return to.holder.ApplyInstructions(d), nil
	})
}

// SendCommands sends a direct order; some arrive, but the answer is lost, and some
// arrive minutes late.
func (n *node) SendCommands(ctx context.Context, endpoint string, o wire.Orders, valid func() error) (*wire.Report, bool, error) {
	if d := n.w.drawn(&n.w.connecting); d > 0 {
		time.Sleep(d)
	}
	if err := valid(); err != nil {
		n.w.mu.Lock()
		n.w.outdated++
		n.w.mu.Unlock()
		return nil, false, err
	}
	if n.w.ordering != nil {
		n.w.ordering(endpoint, o)
	}
	type outcome struct {
		report   *wire.Report
		executed bool
	}
	sent := time.Now() // a slow link has it arrive later
	a, err := overLink(ctx, n.w, func() (a outcome, err error) {
		a.report, a.executed, err = n.order(endpoint, o, sent)
		return a, err
	})
	return a.report, a.executed, err
}

func (n *node) order(endpoint string, o wire.Orders, sent time.Time) (*wire.Report, bool, error) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	worker := n.w.byName[endpoint]
	if worker == nil || !n.w.works(n.name, endpoint) {
		if worker != nil && n.w.rnd.IntN(2) == 0 {
			n.w.holdBack(n, worker, o, sent)
		}
		return nil, false, errCut
	}
	if worker.Hangs() {
		n.w.checks.sent(n, sent)
		worker.Orders(o) // carried out when it continues
		return nil, false, errCut
	}
	if held := n.w.holding; held != nil && held() {
		n.w.holdBack(n, worker, o, sent)
		return nil, false, errCut
	}
	draw := n.w.rnd.IntN(12)
	if n.w.orderly {
		draw = -1
	}
	switch draw {
	case 0:
		n.w.holdBack(n, worker, o, sent)
		return nil, false, errCut
	case 1:
		n.w.checks.sent(n, sent)
		worker.Orders(o)
		return nil, false, errCut
	}
	n.w.checks.sent(n, sent)
	executed := worker.Orders(o)
	r := worker.Report()
	r.Endpoint = endpoint
	return r, executed, nil
}

// holdBack keeps an order that is delivered when it may.
func (w *cluster) holdBack(from *node, to *testkit.Worker, o wire.Orders, sent time.Time) {
	w.late = append(w.late, func() { w.checks.sent(from, sent); to.Orders(o) })
}

// release delivers the orders that were held back, and returns how many.
func (w *cluster) release() int {
	w.mu.Lock()
	late := w.late
	w.late = nil
	w.mu.Unlock()
	for _, f := range late {
		w.mu.Lock()
		f()
		w.mu.Unlock()
		w.check()
	}
	return len(late)
}

// FetchReport asks a worker for its report.
func (n *node) FetchReport(ctx context.Context, endpoint string) (*wire.Report, error) {
	return overLink(ctx, n.w, func() (*wire.Report, error) {
		n.w.mu.Lock()
		defer n.w.mu.Unlock()
		worker := n.w.byName[endpoint]
		if worker == nil || worker.Hangs() || !n.w.works(n.name, endpoint) {
			return nil, errCut
		}
		r := worker.Report()
		r.Endpoint = endpoint
		return r, nil
	})
}

// JobFacts reads how a job that the owner does not know ended.
func (n *node) JobFacts(ctx context.Context, uid string) (jobspec.JobFacts, error) {
	return scheduler.StoredFacts(ctx, n.view, uid)
}

// HasEarlier says that no owner elsewhere has such a job: there is one owner.
func (n *node) HasEarlier(context.Context, string, string, uint64) (bool, error) { return false, nil }
