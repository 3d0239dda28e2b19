package submission

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/wire"
)

// stageUnknown is the stage of a living job of which its leader does not know yet whether a
// task runs. No user is told of it.
const stageUnknown = "unsettled"

// localReply answers for a job that this controller leads; false if it does not, or is not sure of
// the job's end.
func (s *Service) localReply(uid string) (Reply, bool) {
	state, ok := s.jobs.LocalState(uid)
	if !ok {
		return Reply{}, false
	}
	if state.Stage == wire.StageQueued && s.stages != nil && !s.stages.SurelyQueued(uid, 0) {
		state.Stage = stageUnknown
	}
	return s.leaderReply(state), true
}

// leaderReply is the reply for a state that a job's leader gave.
func (s *Service) leaderReply(state wire.JobState) Reply {
	if state.Stage == stageUnknown {
		return s.stageUnknownReply(state.UID)
	}
	return Reply{Status: http.StatusOK, State: state, StageKnown: true}
}

// stageUnknownReply is the reply for a living job of which no leader says yet whether it runs.
func (s *Service) stageUnknownReply(uid string) Reply {
	s.stageUnknownLog.record(s.log, uid)
	return Reply{Status: http.StatusServiceUnavailable, Reason: "can't tell now"}
}

// storedReply answers for a job by what the state service has, and what this controller knows
// besides.
func (s *Service) storedReply(ctx context.Context, uid string) Reply {
	job, err := scheduler.ReadStoredJob(ctx, s.store, uid)
	if err != nil {
		return s.stateReply(job.State, err)
	}
	rep := Reply{Status: http.StatusOK, State: s.jobs.RefineState(job.State)}
	if rep.State.Stage == wire.StageQueued && s.stages != nil {
		rep.StageKnown = scheduler.JustAccepted(job.AcceptedMs) || s.stages.SurelyQueued(uid, job.Shard)
	}
	return rep
}

// needsLeader reports whether a reply says "queued" by the state service alone, which has every
// living job as queued. A new job (201) is queued surely.
func (r *Reply) needsLeader() bool {
	return r.Status == http.StatusOK && r.State.Stage == wire.StageQueued && !r.StageKnown
}

// refinedByLeader returns the reply of the job's leader in place of an unsettled one. Without
// it a running job would be called queued: in the second after a transfer, beside a pending
// cancel, to a user that repeats a submission.
func (s *Service) refinedByLeader(ctx context.Context, rep Reply) Reply {
	if !rep.needsLeader() {
		return rep
	}
	uid := rep.State.UID
	leaders := s.peers.ShardLeaders()
	for i, leader := range leaders {
		timeout := timeLeft(ctx) / time.Duration(len(leaders)-i)
		refined, ok := s.queryWithin(ctx, leader, Request{Verb: VerbPoll, UID: uid, AsLeader: true}, timeout)
		if ok && refined.Status == http.StatusOK {
			return refined
		}
		// The job was alive a moment ago: a reply of before can't be older than its end.
		if state, ok := s.batcher(leader).lateState(uid); ok {
			return s.leaderReply(state)
		}
	}
	if s.stages == nil {
		return rep
	}
	return s.stageUnknownReply(uid)
}

// timeLeft returns the time until the deadline of a context, which has one.
func timeLeft(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}

// stageUnknownLogInterval is the least time between log lines about refused requests.
const stageUnknownLogInterval = 10 * time.Second

// stageUnknownLog counts the requests that were refused since no leader knew yet whether the job
// runs, and logs their number. It is safe for concurrent use; its zero value is ready.
type stageUnknownLog struct {
	mu       sync.Mutex
	refused  int // since loggedAt
	loggedAt time.Time
}

func (u *stageUnknownLog) record(log *slog.Logger, uid string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refused++
	if time.Since(u.loggedAt) < stageUnknownLogInterval {
		return
	}
	log.Info("requests refused, not known yet whether jobs run", "refused", u.refused, "job", uid)
	u.refused, u.loggedAt = 0, time.Now()
}
