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

// LocalState returns the state of a live or ended job from memory, and true if that state is known
// to be current. Of a live job, only the leader of its shard can know this.
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
	return s.state.PublicState(job, time.Now()), true
}

// RefineState returns the state that ReadStoredState has just returned for a job, refined by what
// this controller knows of the job's tasks if it leads the job's shard. The state service
// records every live job as queued: without this function a running job whose cancel has an
// unknown outcome, for which LocalState reports false, would be reported as queued.
func (s *Scheduler) RefineState(stored wire.JobState) wire.JobState {
	if stored.Stage != wire.StageQueued {
		return stored
	}
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	if final, ended := s.state.FinalRecords[stored.UID]; ended {
		return wire.JobState{UID: stored.UID, Stage: final.Stage, Done: final.Done} // it ended after the read
	}
	job := s.state.Jobs[stored.UID]
	if job == nil || !s.state.LeadsJob(job) {
		return stored
	}
	return s.state.PublicState(job, time.Now())
}

// SurelyQueued reports whether this controller leads the shard of a live job and knows that
// none of the job's tasks run. After a failover it does not know that until the workers on
// which a predecessor may have started the job's tasks have sent a heartbeat, or their leases
// have expired: after workers.lease_s at most.
func (s *Scheduler) SurelyQueued(uid string, shard int) bool {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	job := s.state.Jobs[uid]
	if job == nil {
		// The job was accepted after the shard was loaded and is not admitted yet, so it was
		// never placed. A job that has ended in the meantime is not queued either.
		_, ended := s.state.FinalRecords[uid]
		return !ended && s.state.LeadsShard(shard)
	}
	return job.Running == 0 && s.state.LeadsJob(job) && !s.state.MayRunUnseen(job, time.Now())
}

// isCurrent reports whether the state of a live job in memory is at least as recent as any
// state that another controller may have reported for it.
func (s *Scheduler) isCurrent(job *jobstate.Job) bool {
	// A leader whose lease may have expired could miss that the job has ended since.
	if !s.state.LeadsJob(job) {
		return false
	}
	// A write of the job's end may have been applied although its response was lost: another
	// controller may already have reported the end to the user, so only the state service can
	// tell. Before that write is sent, every controller reports the job as live. An end that is
	// only queued for writing therefore does not count: otherwise a burst of very short jobs
	// would cause hundreds of queries to the state service.
	if job.EndWriteSent || job.PendingCancels.Any() {
		return false
	}
	// The user may have received the response to a cancel that this controller did not record.
	return job.Cancelled || s.state.Cancellations == nil || !s.state.Cancellations.IsCancelled(job.Spec.UID)
}

// ReadStoredState returns a job's state as ReadStoredJob reads it.
func ReadStoredState(ctx context.Context, store jobrecord.Reader, uid string) (wire.JobState, error) {
	job, err := ReadStoredJob(ctx, store, uid)
	return job.State, err
}

// justAcceptedPeriod is the time after its acceptance for which a job may be reported as queued
// without confirmation by its leader. It is shorter than the time by which a stage reported
// to a user may be out of date.
const justAcceptedPeriod = 2 * time.Second

// JustAccepted reports whether a job was accepted so recently that it may be reported as queued
// without confirmation by its leader. acceptedMs is the time of acceptance in milliseconds
// since 1970.
func JustAccepted(acceptedMs int64) bool {
	return time.Since(time.UnixMilli(acceptedMs)) < justAcceptedPeriod
}

// StoredJob is what the state service records of a job.
type StoredJob struct {
	State      wire.JobState // a live job that is not cancelled is recorded as queued, also while it runs
	Shard      int           // of a live job
	AcceptedMs int64         // of a live job: milliseconds since 1970, by the clock of the controller that accepted it
	Ended      bool          // State is final
}

// ReadStoredJob reads a job from the state service. The error wraps statestore.ErrNotFound if
// the job was never accepted.
func ReadStoredJob(ctx context.Context, store jobrecord.Reader, uid string) (StoredJob, error) {
	// The live record is read first: it is deleted only once the final record exists.
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
	state, err := readStoredEnd(ctx, store, uid)
	return StoredJob{State: state, Ended: err == nil}, err
}

// readStoredEnd returns the final state of a job that has no live record.
func readStoredEnd(ctx context.Context, store jobrecord.Reader, uid string) (wire.JobState, error) {
	final, err := jobrecord.ReadFinal(ctx, store, uid)
	if err != nil {
		return wire.JobState{}, err
	}
	return wire.JobState{UID: uid, Stage: final.Stage, Done: final.Done}, nil
}

// RunningTask is a task that a worker has reported as running.
type RunningTask struct {
	Task    string
	Attempt uint64
	Worker  string // the worker's name
}

// RunningTasks returns a live job's running tasks, sorted by name. It returns none if this
// leader does not have the job.
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
			if !placement.RunningSince.IsZero() && placement.FirstHaltAt.IsZero() && !placement.Exited {
				running = append(running, RunningTask{Task: placement.Ref.Task, Attempt: placement.Attempt, Worker: placement.Worker.Name})
			}
		}
	}
	slices.SortFunc(running, func(a, b RunningTask) int { return strings.Compare(a.Task, b.Task) })
	return running
}

// HasUnfinishedJobs reports whether any job of the class, on this leader, is neither cancelled nor
// at its end.
func (s *Scheduler) HasUnfinishedJobs(class string) bool {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	return slices.ContainsFunc(s.state.JobOrder, func(job *jobstate.Job) bool {
		return job.Spec.Class == class && !job.Cancelled && job.EndStage == ""
	})
}
