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

// ObserveWorker hands a view to the leader here, as cmd/wallrack does.
func (n *node) ObserveWorker(v dispatch.WorkerView) {
	if seen := n.linksSeen(); v.Polled && seen.SharesWorkers() {
		v.Dispatcher = n.LeaderFor(v.Name)
	}
	n.scheduler.ObserveWorker(v)
}

func (n *node) GrantLocal(r dispatch.GrantRequest) dispatch.GrantReply {
	return n.scheduler.GrantLocal(r)
}

func (n *node) GrantRemote(ctx context.Context, at string, requests []dispatch.GrantRequest) ([]dispatch.GrantReply, error) {
	return overPeerLink(ctx, n.cluster, func() ([]dispatch.GrantReply, error) {
		to, err := n.peer(at)
		if err != nil {
			return nil, err
		}
		return to.scheduler.GrantAll(requests), nil
	})
}

func (n *node) SendInstructions(ctx context.Context, holder string, d dispatch.Instructions) (dispatch.Unlaunched, error) {
	if n.cluster.onInstructions != nil {
		n.cluster.onInstructions(d)
	}
	if holder == n.name {
		return n.dispatcher.ApplyInstructions(d), nil
	}
	return overPeerLink(ctx, n.cluster, func() (dispatch.Unlaunched, error) {
		to, err := n.peer(holder)
		if err != nil {
			return dispatch.Unlaunched{}, err
		}
		return to.dispatcher.ApplyInstructions(d), nil
	})
}

// SendCommands sends a direct command; some arrive, but the answer is lost, and some
// arrive minutes late.
func (n *node) SendCommands(ctx context.Context, endpoint string, o wire.PushedCommands, valid func() error) (*wire.Report, bool, error) {
	if d := n.cluster.drawn(&n.cluster.connecting); d > 0 {
		time.Sleep(d)
	}
	if err := valid(); err != nil {
		n.cluster.mu.Lock()
		n.cluster.outdatedCommands++
		n.cluster.mu.Unlock()
		return nil, false, err
	}
	if n.cluster.onCommands != nil {
		n.cluster.onCommands(endpoint, o)
	}
	type outcome struct {
		report   *wire.Report
		executed bool
	}
	sent := time.Now() // a slow link has it arrive later
	a, err := overLink(ctx, n.cluster, func() (a outcome, err error) {
		a.report, a.executed, err = n.order(endpoint, o, sent)
		return a, err
	})
	return a.report, a.executed, err
}

func (n *node) order(endpoint string, o wire.PushedCommands, sent time.Time) (*wire.Report, bool, error) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	worker := n.cluster.byName[endpoint]
	if worker == nil || !n.cluster.works(n.name, endpoint) {
		if worker != nil && n.cluster.rnd.IntN(2) == 0 {
			n.cluster.holdBack(n, worker, o, sent)
		}
		return nil, false, errCut
	}
	if worker.Hangs() {
		n.cluster.checks.sent(n, sent)
		worker.Orders(o) // carried out when it continues
		return nil, false, errCut
	}
	if held := n.cluster.holdsCommand; held != nil && held() {
		n.cluster.holdBack(n, worker, o, sent)
		return nil, false, errCut
	}
	draw := n.cluster.rnd.IntN(12)
	if n.cluster.promptCommands {
		draw = -1
	}
	switch draw {
	case 0:
		n.cluster.holdBack(n, worker, o, sent)
		return nil, false, errCut
	case 1:
		n.cluster.checks.sent(n, sent)
		worker.Orders(o)
		return nil, false, errCut
	}
	n.cluster.checks.sent(n, sent)
	executed := worker.Orders(o)
	r := worker.Report()
	r.Endpoint = endpoint
	return r, executed, nil
}

// holdBack keeps an order that is delivered when it may.
func (w *cluster) holdBack(from *node, to *testkit.Worker, o wire.PushedCommands, sent time.Time) {
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
	return overLink(ctx, n.cluster, func() (*wire.Report, error) {
		n.cluster.mu.Lock()
		defer n.cluster.mu.Unlock()
		worker := n.cluster.byName[endpoint]
		if worker == nil || worker.Hangs() || !n.cluster.works(n.name, endpoint) {
			return nil, errCut
		}
		r := worker.Report()
		r.Endpoint = endpoint
		return r, nil
	})
}

// JobFacts reads how a job that the leader does not know ended.
func (n *node) JobFacts(ctx context.Context, uid string) (jobspec.JobFacts, error) {
	return scheduler.StoredFacts(ctx, n.view, uid)
}

// HasEarlier says that no leader elsewhere has such a job: there is one leader.
func (n *node) HasEarlier(context.Context, string, string, uint64) (bool, error) { return false, nil }
