package submission

import (
	"context"
	"net/http"
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/wire"
)

// localReply returns the state of a job that this controller leads, or of an ended one whose final
// state it has read. It returns false if this controller knows neither, or is not certain of the state.
func (s *Service) localReply(uid string) (Reply, bool) {
	if final, ok := s.ended.get(uid); ok {
		return leaderReply(final), true
	}
	state, ok := s.jobs.LocalState(uid)
	if !ok {
		return Reply{}, false
	}
	return leaderReply(state), true
}

// leaderReply returns the reply for a state from a job's leader.
func leaderReply(state wire.JobState) Reply {
	return Reply{Status: http.StatusOK, State: state, StageKnown: true}
}

// undecidedReply returns the reply, with status 503, to a request that can't be answered now.
func undecidedReply(why Refusal) Reply {
	return Reply{Status: http.StatusServiceUnavailable, Reason: "can't tell now", Refusal: why}
}

// storedReply returns the state of a job from the state service, refined by what this controller
// knows of the job's tasks.
func (s *Service) storedReply(ctx context.Context, uid string) Reply {
	job, err := scheduler.ReadStoredJob(ctx, s.store, uid)
	if err != nil {
		return s.stateReply(job.State, err)
	}
	if job.Ended {
		s.ended.add(job.State)
	}
	rep := Reply{Status: http.StatusOK, State: s.jobs.RefineState(job.State)}
	if rep.State.Stage == wire.StageQueued && s.stages != nil {
		rep.StageKnown = scheduler.JustAccepted(job.AcceptedMs) || s.stages.SurelyQueued(uid, job.Shard)
	}
	return rep
}

// needsLeader reports whether a reply says "queued" from the state service alone, which records
// every live job as queued. A new job (201) is certainly queued.
func (r *Reply) needsLeader() bool {
	return r.Status == http.StatusOK && r.State.Stage == wire.StageQueued && !r.StageKnown
}

// refineByLeader returns the reply of the job's leader if rep needs it, otherwise rep. Without
// this query a running job would be reported as queued in the second after a transfer of
// shards, during a pending cancel, or to a user that repeats a submission. If no leader knows the
// stage, the job, which rep shows to be live and not cancelled, is reported as running.
func (s *Service) refineByLeader(ctx context.Context, rep Reply) Reply {
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
		// rep shows that the job has not ended, so a recent late state is still valid.
		if state, ok := s.batcher(leader).lateState(uid); ok {
			return leaderReply(state)
		}
	}
	if s.stages != nil {
		rep.State.Stage, rep.StageKnown = jobstate.StageIfTaskMayRun, true
	}
	return rep
}

// timeLeft returns the time until the deadline of ctx, which must have one.
func timeLeft(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}
