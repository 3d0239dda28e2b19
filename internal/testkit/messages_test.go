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

// ObserveWorker hands a view to the scheduler of this controller, as in package controller.
func (n *node) ObserveWorker(v dispatch.WorkerView) {
	if seen := n.reachabilityView(); v.Polled && seen.HasAssignments() {
		v.Dispatcher = n.LeaderFor(v.Name)
	}
	n.scheduler.ObserveWorker(v)
}

func (n *node) GrantLocal(r dispatch.GrantRequest) dispatch.GrantReply {
	return n.scheduler.GrantLocal(r)
}

func (n *node) GrantRemote(ctx context.Context, at string, requests []dispatch.GrantRequest) ([]dispatch.GrantReply, error) {
	return callPeer(ctx, n.cluster, func() ([]dispatch.GrantReply, error) {
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
	return callPeer(ctx, n.cluster, func() (dispatch.Unlaunched, error) {
		to, err := n.peer(holder)
		if err != nil {
			return dispatch.Unlaunched{}, err
		}
		return to.dispatcher.ApplyInstructions(d), nil
	})
}

// SendCommands sends a direct message to a worker. Some messages arrive but their response is lost, and
// some arrive minutes late.
func (n *node) SendCommands(ctx context.Context, endpoint string, o wire.PushedCommands, valid func() error) (*wire.Report, bool, error) {
	if d := n.cluster.drawDelay(&n.cluster.connectDelay); d > 0 {
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
	sent := time.Now() // over a slow link it arrives later
	a, err := callWorker(ctx, n.cluster, func() (a outcome, err error) {
		a.report, a.executed, err = n.deliverCommands(endpoint, o, sent)
		return a, err
	})
	return a.report, a.executed, err
}

func (n *node) deliverCommands(endpoint string, o wire.PushedCommands, sent time.Time) (*wire.Report, bool, error) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	worker := n.cluster.byName[endpoint]
	if worker == nil || !n.cluster.linkWorks(n.name, endpoint) {
		if worker != nil && n.cluster.messageRand.IntN(2) == 0 {
			n.cluster.holdCommands(n, worker, o, sent)
		}
		return nil, false, errLinkDown
	}
	if worker.IsHung() {
		n.cluster.checks.setSender(n, sent)
		worker.HandleCommands(o) // executed when the worker resumes
		return nil, false, errLinkDown
	}
	if held := n.cluster.holdsCommand; held != nil && held() {
		n.cluster.holdCommands(n, worker, o, sent)
		return nil, false, errLinkDown
	}
	draw := n.cluster.messageRand.IntN(12)
	if n.cluster.promptCommands {
		draw = -1
	}
	switch draw {
	case 0:
		n.cluster.holdCommands(n, worker, o, sent)
		return nil, false, errLinkDown
	case 1:
		n.cluster.checks.setSender(n, sent)
		worker.HandleCommands(o)
		return nil, false, errLinkDown
	}
	n.cluster.checks.setSender(n, sent)
	executed := worker.HandleCommands(o)
	if executed && n.cluster.repeatDelay != nil {
		go n.repeatCommands(worker, o, sent, n.cluster.repeatDelay())
	}
	r := worker.Report()
	r.Endpoint = endpoint
	return r, executed, nil
}

// repeatCommands delivers a copy of a direct message that was executed and answered.
func (n *node) repeatCommands(to *testkit.Worker, o wire.PushedCommands, sent time.Time, after time.Duration) {
	time.Sleep(after)
	n.cluster.mu.Lock()
	n.cluster.checks.setSender(n, sent)
	to.HandleCommands(o)
	n.cluster.mu.Unlock()
	n.cluster.checkInvariants()
}

// holdCommands keeps a direct message until deliverHeldCommands is called.
func (w *cluster) holdCommands(from *node, to *testkit.Worker, o wire.PushedCommands, sent time.Time) {
	w.heldCommands = append(w.heldCommands, func() { w.checks.setSender(from, sent); to.HandleCommands(o) })
}

// deliverHeldCommands delivers the held direct messages and returns their number.
func (w *cluster) deliverHeldCommands() int {
	w.mu.Lock()
	late := w.heldCommands
	w.heldCommands = nil
	w.mu.Unlock()
	for _, f := range late {
		w.mu.Lock()
		f()
		w.mu.Unlock()
		w.checkInvariants()
	}
	return len(late)
}

// FetchReport requests a worker's report.
func (n *node) FetchReport(ctx context.Context, endpoint string) (*wire.Report, error) {
	return callWorker(ctx, n.cluster, func() (*wire.Report, error) {
		n.cluster.mu.Lock()
		defer n.cluster.mu.Unlock()
		worker := n.cluster.byName[endpoint]
		if worker == nil || worker.IsHung() || !n.cluster.linkWorks(n.name, endpoint) {
			return nil, errLinkDown
		}
		r := worker.Report()
		r.Endpoint = endpoint
		return r, nil
	})
}

// JobFacts reads from the store the outcome of a job that the leader does not have in memory.
func (n *node) JobFacts(ctx context.Context, uid string) (jobspec.JobFacts, error) {
	return scheduler.ReadStoredFacts(ctx, n.view, uid)
}

// HasEarlier returns false: these clusters have only one leader.
func (n *node) HasEarlier(context.Context, string, string, uint64) (bool, error) { return false, nil }
