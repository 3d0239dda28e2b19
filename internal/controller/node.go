package controller

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/wallrack/wallrack/internal/autoscaler"
	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/failovertiming"
	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/submission"
	"github.com/wallrack/wallrack/internal/viewsync"
)

const (
	vouchEvery  = 2 * time.Second
	cancelSlack = 3.0 // seconds kept between a cut-off holder's last answer and the cancel limit
)

// Methods of the mesh.
const (
	methodPing    = "Ping"
	methodForward = "Forward"
	methodStore   = "Store"
	methodSeen    = "Seen"
	methodPublish = "Views"
	methodDirect  = "Direct"
	methodGrants  = "Grants"
	methodUser    = "User"
	methodVouch   = "Vouch"
	methodCancels = "Cancels"
)

type vouchMessage struct {
	Machines []string `json:"machines"`
}

type vouchReply struct {
	Unanswered []float64 `json:"unanswered"` // seconds, in the order asked
}

type nothing struct{}

// node joins the slices of this process with those of its peers.
type node struct {
	ctx     context.Context
	cfg     *config.Platform
	op      *config.Operator
	store   *statestore.Client
	member  *membership.Member
	cloud   *autoscaler.Cloud
	mesh    *mesh.Mesh
	log     *slog.Logger
	owner   *scheduler.Scheduler
	holder  *dispatch.Dispatcher
	intake  *submission.Service
	numbers *jobid.Allocator // nil: jobs have none
	times   *failovertiming.Timeline

	published *viewsync.Publisher
	pictures  *viewsync.Receiver

	cancels     *cancellation.Registry
	tellCancels chan struct{} // there is news for the peers
	badNews     atomic.Int64  // when malformed news was last logged, by time of day, ns
	links       linkState
	lastStart   atomic.Int64 // by time of day, ns
}

func (n *node) handle() {
	n.handleLinks()
	n.handleCancels()
	n.handleViews()
	mesh.Handle(n.mesh, methodDirect, func(_ context.Context, d *dispatch.Instructions) (*dispatch.Unlaunched, error) {
		un := n.holder.ApplyInstructions(*d)
		return &un, nil
	})
	mesh.Handle(n.mesh, methodGrants, func(_ context.Context, requests *[]dispatch.GrantRequest) (*[]dispatch.GrantReply, error) {
		replies := n.owner.GrantAll(*requests)
		return &replies, nil
	})
	mesh.Handle(n.mesh, methodUser, func(ctx context.Context, r *submission.Request) (*submission.Reply, error) {
		rep := n.intake.Serve(ctx, *r)
		return &rep, nil
	})
	mesh.Handle(n.mesh, methodVouch, func(_ context.Context, m *vouchMessage) (*vouchReply, error) {
		return n.unanswered(m), nil
	})
}

func (n *node) unanswered(m *vouchMessage) *vouchReply {
	rep := &vouchReply{}
	for _, name := range m.Machines {
		rep.Unanswered = append(rep.Unanswered, n.holder.UnansweredFor(name).Seconds())
	}
	return rep
}

// AskPeer hands a user's request to a peer.
func (n *node) AskPeer(ctx context.Context, peer string, r submission.Request) (*submission.Reply, error) {
	return call[submission.Request, submission.Reply](ctx, n, peer, methodUser, &r)
}

// stoodStill is the time without a start from which on operators are told.
const stoodStill = time.Second

// started notes a start, and tells of a time without any before it.
func (n *node) started() {
	now := time.Now()
	switch before := n.lastStart.Swap(now.UnixNano()); {
	case before == 0:
		n.log.Info("first start here")
	case now.Sub(time.Unix(0, before)) > stoodStill:
		n.log.Info("starts go on", "after_s", now.Sub(time.Unix(0, before)).Seconds())
	}
}

// standing notes what the membership says for the timeline.
func (n *node) standing() {
	if n.member.LeaseRemaining() <= 0 {
		n.times.Reset()
		return
	}
	n.times.Mark(failovertiming.Joined)
	if len(n.member.OwnedShards()) > 0 {
		n.times.Mark(failovertiming.Claimed)
	} else if last := n.lastStart.Swap(0); last != 0 {
		n.log.Info("owns no jobs any more", "last_start_s", time.Since(time.Unix(0, last)).Seconds())
	}
}

// ObserveWorker hands a view to the owner in this process; peers get theirs by
// publish.
func (n *node) ObserveWorker(v dispatch.WorkerView) {
	n.times.Mark(failovertiming.Heard)
	if v.Asked && n.links.spreading.Load() {
		// The worker reports to its own holder, which is to command it: two that took
		// turns would each have to raise its term above the other's.
		v.Holder = n.LeaderFor(v.Name)
	}
	n.owner.ObserveWorker(v)
}

// GrantLocal asks the owner in this process.
func (n *node) GrantLocal(r dispatch.GrantRequest) dispatch.GrantReply {
	rep := n.owner.GrantLocal(r)
	if rep.OK {
		n.times.Mark(failovertiming.Granted)
		n.started()
	}
	return rep
}

// GrantRemote asks an owner elsewhere.
func (n *node) GrantRemote(ctx context.Context, at string, requests []dispatch.GrantRequest) ([]dispatch.GrantReply, error) {
	replies, err := call[[]dispatch.GrantRequest, []dispatch.GrantReply](ctx, n, at, methodGrants, &requests)
	if err != nil {
		return nil, err
	}
	return *replies, nil
}

// SendInstructions carries an owner's directions to a holder.
func (n *node) SendInstructions(ctx context.Context, holder string, d dispatch.Instructions) (dispatch.Unlaunched, error) {
	if holder == n.cfg.Node {
		return n.holder.ApplyInstructions(d), nil
	}
	rep, err := call[dispatch.Instructions, dispatch.Unlaunched](ctx, n, holder, methodDirect, &d)
	if err != nil {
		return dispatch.Unlaunched{}, err
	}
	return *rep, nil
}

const (
	meetFor   = 4 * time.Second
	meetEvery = 250 * time.Millisecond
)

// meet asks machines for their reports that a predecessor, which handed its jobs
// over, told of: workers that can't reach it any more take seconds to find out, and
// the cloud's list is slow.
func (n *node) meet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, meetFor)
	defer cancel()
	asked := map[string]bool{}
	for ctx.Err() == nil {
		fresh := map[string]string{}
		for name, endpoint := range n.owner.RemoteWorkers() {
			if !asked[name] {
				asked[name], fresh[name] = true, endpoint
			}
		}
		n.holder.PollReports(ctx, fresh, config.Seconds(n.cfg.Params.Workers.ReportS))
		select {
		case <-ctx.Done():
		case <-time.After(meetEvery):
		}
	}
}

// vouch settles silent machines without the cloud: when every controller has
// left a worker unanswered for its full lease, it has killed its tasks.
func (n *node) vouch(ctx context.Context) error {
	tick := time.NewTicker(vouchEvery)
	defer tick.Stop()
	lease := n.cfg.Params.Workers.LeaseS*1.002 + 0.5
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		m := &vouchMessage{}
		_, silent := n.owner.UnresponsiveWorkers(config.Seconds(lease))
		for i := range silent {
			if silent[i].Busy && len(m.Machines) < 500 {
				m.Machines = append(m.Machines, silent[i].Name)
			}
		}
		if len(m.Machines) == 0 {
			continue
		}
		a, all := dispatch.NewAttestation(time.Now(), n.unanswered(m).Unanswered), true
		for _, s := range n.cfg.Peers {
			pctx, cancel := context.WithTimeout(ctx, time.Second)
			rep, err := call[vouchMessage, vouchReply](pctx, n, s.Node, methodVouch, m)
			cancel()
			if err != nil || !a.Add(rep.Unanswered) {
				all = false
				break
			}
		}
		now := time.Now()
		for i, name := range m.Machines {
			if all && a.LeaseExpired(i, now, lease) {
				n.log.Info("all controllers vouch that the machine's lease ended", "machine", name)
				n.owner.LeaseAttestedExpired(name, a.Asked())
			}
		}
	}
}
