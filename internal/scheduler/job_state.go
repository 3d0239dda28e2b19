package scheduler

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// LocalState returns the state of a living or ended job from memory. It reports false unless
// that is surely current, as only the leader of the job's shard can know.
func (s *Scheduler) LocalState(uid string) (wire.JobState, bool) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	if final, ok := s.state.FinalRecords[uid]; ok {
		return wire.JobState{UID: uid, Stage: final.Stage, Done: final.Done}, true
	}
	job := s.state.Jobs[uid]
	if job == nil || !s.isCurrent(job) {
		return wire.JobState{}, false
	}
	return job.PublicState(), true
}

// RefineState adds to a job's state, as StoredState has just returned it, what this controller
// knows of the job's tasks if it surely leads the job's shard. The state service has every
// living job as queued: without this, a running job whose cancel has an unknown outcome, so
// that LocalState does not answer for it, was called queued.
func (s *Scheduler) RefineState(stored wire.JobState) wire.JobState {
	if stored.Stage != wire.StageQueued {
		return stored
	}
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	if final, ended := s.state.FinalRecords[stored.UID]; ended {
		return wire.JobState{UID: stored.UID, Stage: final.Stage, Done: final.Done} // since it was read
	}
	job := s.state.Jobs[stored.UID]
	if job == nil || !s.state.LeadsJob(job) {
		return stored
	}
	return job.PublicState()
}

// SurelyQueued reports whether this controller leads the shard of a living job and knows that
// no task of the job runs. It does not know that after a failover, until the workers on which
// a predecessor may have started the job's tasks have sent a heartbeat, or their leases have
// expired: for workers.lease_s at most.
func (s *Scheduler) SurelyQueued(uid string, shard int) bool {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	job := s.state.Jobs[uid]
	if job == nil {
		// Accepted since the shard was loaded and not heard of yet, so never placed. One that
		// has ended meanwhile is not queued either.
		_, ended := s.state.FinalRecords[uid]
		return !ended && s.state.LeadsShard(shard)
	}
	return job.Running == 0 && s.state.LeadsJob(job) && !s.state.MayRunUnseen(job, time.Now())
}

// isCurrent reports whether what is in memory of a living job is not older than what any
// controller may have answered for it.
func (s *Scheduler) isCurrent(job *jobstate.Job) bool {
	// A leader whose lease may have expired could miss a later end.
	if !s.state.LeadsJob(job) {
		return false
	}
	// A write of the job's end may have been applied although its response is lost: others
	// may have told its user already, so only the state service is sure. Before that write
	// the job is alive to everybody. Had ends that only wait to be written counted too, then
	// in a burst of tiny jobs hundreds of queries would go to the state service.
	if job.EndWriteSent || job.PendingCancels.Any() {
		return false
	}
	// The user may have got the response to a cancel that was not recorded here.
	return job.Cancelled || s.state.Cancellations == nil || !s.state.Cancellations.IsCancelled(job.Spec.UID)
}

// StoredState returns the state of ReadStoredJob.
func StoredState(ctx context.Context, store jobrecord.Reader, uid string) (wire.JobState, error) {
	job, err := ReadStoredJob(ctx, store, uid)
	return job.State, err
}

// justAcceptedPeriod is the time since its acceptance for which a job may be called queued without the
// word of its leader: less than the stage that users are told of may lag.
const justAcceptedPeriod = 2 * time.Second

// JustAccepted reports whether a job was accepted, at a time of day in milliseconds since 1970,
// so recently that it may be called queued although no leader says so.
func JustAccepted(acceptedMs int64) bool {
	return time.Since(time.UnixMilli(acceptedMs)) < justAcceptedPeriod
}

// StoredJob is what the state service has of a job.
type StoredJob struct {
	State      wire.JobState // a living job that is not cancelled is queued, running or not
	Shard      int           // of a living job
	AcceptedMs int64         // of a living job, by the time of day of the controller that accepted it
}

// ReadStoredJob reads a job from the state service. The error wraps statestore.ErrNotFound if
// there was never such a job.
func ReadStoredJob(ctx context.Context, store jobrecord.Reader, uid string) (StoredJob, error) {
	// The living record first: it is deleted only when the final one is there.
	record, _, err := jobrecord.ReadLive(ctx, store, uid)
	if err == nil {
		state := wire.JobState{UID: uid, Stage: wire.StageQueued}
		if record.Cancelled {
			state.Stage = wire.StageCancelled
		}
		return StoredJob{State: state, Shard: record.Shard, AcceptedMs: record.AcceptedMs}, nil
	}
	if !errors.Is(err, statestore.ErrNotFound) {
		return StoredJob{}, err
	}
	state, err := storedEnd(ctx, store, uid)
	return StoredJob{State: state}, err
}

// storedEnd returns the state of a job that has no living record.
func storedEnd(ctx context.Context, store jobrecord.Reader, uid string) (wire.JobState, error) {
	final, err := jobrecord.ReadFinal(ctx, store, uid)
	if err != nil {
		return wire.JobState{}, err
	}
	return wire.JobState{UID: uid, Stage: final.Stage, Done: final.Done}, nil
}

// RunningTask is a task that a worker reported as running.
type RunningTask struct {
	Task    string
	Attempt uint64
	Worker  string // the worker
}

// RunningTasks returns a living job's running tasks, by name; none if the job is not here.
func (s *Scheduler) RunningTasks(uid string) []RunningTask {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	job := s.state.Jobs[uid]
	if job == nil {
		return nil
	}
	var running []RunningTask
	for _, placements := range job.Placements {
		for _, placement := range placements {
			if !placement.RunningSince.IsZero() && placement.HaltedAt.IsZero() && !placement.Exited {
				running = append(running, RunningTask{Task: placement.Ref.Task, Attempt: placement.Attempt, Worker: placement.Worker.Name})
			}
		}
	}
	slices.SortFunc(running, func(a, b RunningTask) int { return strings.Compare(a.Task, b.Task) })
	return running
}

// HasUnfinishedJobs reports whether a living job of the class, not cancelled, is here.
func (s *Scheduler) HasUnfinishedJobs(class string) bool {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	return slices.ContainsFunc(s.state.JobOrder, func(job *jobstate.Job) bool {
		return job.Spec.Class == class && !job.Cancelled && job.EndStage == ""
	})
}
