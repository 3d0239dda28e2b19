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

// schedulerGateway passes workers' views and grant requests to the schedulers, here and at
// peers. It implements dispatch.Schedulers.
type schedulerGateway struct {
	scheduler *scheduler.Scheduler
	router    *workerRouter
	peers     *peerlinks.Caller
	timeline  *failovertiming.Timeline
	startLog  *startLog
}

func (g *schedulerGateway) register(m *mesh.Mesh) {
	mesh.Handle(m, methodGrants, func(_ context.Context, requests *[]dispatch.GrantRequest) (*[]dispatch.GrantReply, error) {
		replies := g.scheduler.GrantAll(*requests)
		return &replies, nil
	})
}

// ObserveWorker passes a view to the scheduler in this process; the view publisher sends it to
// those of peers.
func (g *schedulerGateway) ObserveWorker(view dispatch.WorkerView) {
	g.timeline.Mark(failovertiming.FirstHeartbeat)
	if view.Polled && g.router.assigned.Load() {
		// Only the dispatcher that the worker reports to may command it: two dispatchers that
		// take turns would each have to raise their fencing token above the other's.
		view.Dispatcher = g.router.LeaderFor(view.Name)
	}
	g.scheduler.ObserveWorker(view)
}

// GrantLocal requests a grant for a start from the scheduler in this process.
func (g *schedulerGateway) GrantLocal(request dispatch.GrantRequest) dispatch.GrantReply {
	reply := g.scheduler.GrantLocal(request)
	if reply.OK {
		g.timeline.Mark(failovertiming.FirstGrant)
		g.startLog.startGranted()
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

// startPauseThreshold is the time without a start after which the next start is logged.
const startPauseThreshold = time.Second

// startLog logs when task starts begin, resume and end at this controller.
type startLog struct {
	log         *slog.Logger
	lastStartNs atomic.Int64 // Unix ns; 0 if none was granted since this controller leads shards
}

func (s *startLog) startGranted() {
	now := time.Now()
	switch before := s.lastStartNs.Swap(now.UnixNano()); {
	case before == 0:
		s.log.Info("first start granted")
	case now.Sub(time.Unix(0, before)) > startPauseThreshold:
		s.log.Info("starts resumed", "after_s", now.Sub(time.Unix(0, before)).Seconds())
	}
}

func (s *startLog) leadershipEnded() {
	if last := s.lastStartNs.Swap(0); last != 0 {
		s.log.Info("no longer leads shards", "last_start_s", time.Since(time.Unix(0, last)).Seconds())
	}
}

// leadershipRecorder records changes of shard leadership in the failover timeline and in the log.
type leadershipRecorder struct {
	member   *membership.Member
	timeline *failovertiming.Timeline
	startLog *startLog
}

func (r *leadershipRecorder) leadershipChanged() {
	if r.member.LeaseRemaining() <= 0 {
		r.timeline.Reset()
		return
	}
	r.timeline.Mark(failovertiming.LeaseAcquired)
	if len(r.member.LedShards()) > 0 {
		r.timeline.Mark(failovertiming.ShardClaimed)
		return
	}
	r.startLog.leadershipEnded()
}
