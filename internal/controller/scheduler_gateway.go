package controller

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/failovertiming"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/peerlinks"
	"github.com/wallrack/wallrack/internal/scheduler"
)

// schedulerGateway brings workers' views and requests for grants to the schedulers, here and
// at peers. It implements dispatch.Schedulers.
type schedulerGateway struct {
	scheduler *scheduler.Scheduler
	router    *workerRouter
	peers     *peerlinks.Caller
	times     *failovertiming.Timeline
	starts    *startLog
}

func (g *schedulerGateway) register(m *mesh.Mesh) {
	mesh.Handle(m, methodGrants, func(_ context.Context, requests *[]dispatch.GrantRequest) (*[]dispatch.GrantReply, error) {
		replies := g.scheduler.GrantAll(*requests)
		return &replies, nil
	})
}

// ObserveWorker hands a view to the scheduler in this process; those of peers get theirs
// from the view publisher.
func (g *schedulerGateway) ObserveWorker(view dispatch.WorkerView) {
	g.times.Mark(failovertiming.FirstHeartbeat)
	if view.Polled && g.router.assigned.Load() {
		// The worker reports to its own dispatcher, which is to command it: two that took
		// turns would each have to raise its fencing token above the other's.
		view.Dispatcher = g.router.LeaderFor(view.Name)
	}
	g.scheduler.ObserveWorker(view)
}

// GrantLocal requests a grant for a start from the scheduler in this process.
func (g *schedulerGateway) GrantLocal(request dispatch.GrantRequest) dispatch.GrantReply {
	reply := g.scheduler.GrantLocal(request)
	if reply.OK {
		g.times.Mark(failovertiming.FirstGrant)
		g.starts.granted()
	}
	return reply
}

// GrantRemote requests grants from a peer's scheduler; the replies are in the order of the
// requests.
func (g *schedulerGateway) GrantRemote(ctx context.Context, leader string, requests []dispatch.GrantRequest) ([]dispatch.GrantReply, error) {
	replies, err := peerlinks.Call[[]dispatch.GrantRequest, []dispatch.GrantReply](ctx, g.peers, leader, methodGrants, &requests)
	if err != nil {
		return nil, err
	}
	return *replies, nil
}

// noStartsAfter is the time without a start from which on its end is logged.
const noStartsAfter = time.Second

// startLog logs when starts begin, pause and end here.
type startLog struct {
	log  *slog.Logger
	last atomic.Int64 // start, by time of day, ns; 0: none since this controller leads shards
}

func (s *startLog) granted() {
	now := time.Now()
	switch before := s.last.Swap(now.UnixNano()); {
	case before == 0:
		s.log.Info("first start granted")
	case now.Sub(time.Unix(0, before)) > noStartsAfter:
		s.log.Info("starts resumed", "after_s", now.Sub(time.Unix(0, before)).Seconds())
	}
}

func (s *startLog) leadsNothing() {
	if last := s.last.Swap(0); last != 0 {
		s.log.Info("no longer leads shards", "last_start_s", time.Since(time.Unix(0, last)).Seconds())
	}
}

// ownershipTiming notes changes of ownership for the timeline of failovers and in the log.
type ownershipTiming struct {
	member *membership.Member
	times  *failovertiming.Timeline
	starts *startLog
}

func (o *ownershipTiming) changed() {
	if o.member.LeaseRemaining() <= 0 {
		o.times.Reset()
		return
	}
	o.times.Mark(failovertiming.LeaseAcquired)
	if len(o.member.LedShards()) > 0 {
		o.times.Mark(failovertiming.ShardClaimed)
		return
	}
	o.starts.leadsNothing()
}
