package scheduler

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// Served returns, by kind and name, how jobs are served.
func (o *Scheduler) Served() map[string]map[string]jobstate.Served {
	o.state.Mu.Lock()
	defer o.state.Mu.Unlock()
	now := time.Now()
	sum := jobstate.Tally{}
	for k, s := range o.state.Ended {
		c := *s
		sum[k] = &c
	}
	for _, job := range o.state.JobOrder {
		if !job.Cancelled {
			sum.Record(job, false, now, o.state.FirstLimit(job))
		}
	}
	out := map[string]map[string]jobstate.Served{}
	for k, s := range sum {
		if out[k[0]] == nil {
			out[k[0]] = map[string]jobstate.Served{}
		}
		out[k[0]][k[1]] = *s
	}
	return out
}

// LocalState answers for a living or ended job from memory, if this controller
// surely owns it.
func (s *Scheduler) LocalState(uid string) (wire.JobState, bool) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	if f, ok := s.state.Final[uid]; ok {
		return wire.JobState{UID: uid, Stage: f.Stage, Done: f.Done}, true
	}
	job := s.state.Jobs[uid]
	if job == nil {
		return wire.JobState{}, false
	}
	if !s.surelyCurrent(job) {
		return wire.JobState{}, false
	}
	return job.PublicState(), true
}

// RefineState adds what this controller, if it surely owns a job, knows of its tasks to what the
// store just said of it. The store has a living job as queued: while a cancel's outcome was
// open, and the store was asked therefore, a running job was called queued.
func (s *Scheduler) RefineState(stored wire.JobState) wire.JobState {
	if stored.Stage != wire.StageQueued {
		return stored
	}
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	job := s.state.Jobs[stored.UID]
	if job == nil || !s.state.OwnsJob(job) {
		return stored
	}
	return job.PublicState()
}

// sure reports whether what is in memory of a living job is not older than what any
// controller may have told.
func (s *Scheduler) surelyCurrent(job *jobstate.Job) bool {
	// An owner whose lease may have ended could miss a later end.
	if !s.state.OwnsJob(job) {
		return false
	}
	// A write of its end may have been applied although the answer is out:
	// others may tell its user already, so only the store is sure. Before that
	// write the job is alive to everybody: in a storm of tiny jobs, polls for
	// hundreds whose ends still waited to be written all went to the store.
	if job.EndWriteSent || job.PendingCancels.Any() {
		return false
	}
	// Its user may have heard of a cancel that was not recorded here.
	return job.Cancelled || s.state.Cancellations == nil || !s.state.Cancellations.IsCancelled(job.Spec.UID)
}

// StoredState answers from the store, and says whether the job was ever accepted.
func StoredState(ctx context.Context, store jobrecord.Reader, uid string) (wire.JobState, error) {
	// The living record first: it goes only when the final one is there.
	r, _, err := jobrecord.ReadLive(ctx, store, uid)
	if err == nil {
		s := wire.JobState{UID: uid, Stage: wire.StageQueued}
		if r.Cancelled {
			s.Stage = wire.StageCancelled
		}
		return s, nil
	}
	if !errors.Is(err, statestore.ErrNotFound) {
		return wire.JobState{}, err
	}
	return storedEnd(ctx, store, uid)
}

// storedEnd answers from the store for a job that is not living.
func storedEnd(ctx context.Context, store jobrecord.Reader, uid string) (wire.JobState, error) {
	f, err := jobrecord.ReadFinal(ctx, store, uid)
	if err != nil {
		return wire.JobState{}, err
	}
	return wire.JobState{UID: uid, Stage: f.Stage, Done: f.Done}, nil
}

// Cancel records that a job is cancelled. Only the shard's owner may do so, or
// anybody while nobody owns it: an owner that answers from memory would go on
// calling the job running after its user heard that it is cancelled.
func (s *Scheduler) Cancel(ctx context.Context, uid string) (wire.JobState, error) {
	return s.cancelWhy(ctx, uid, "")
}

// cancelWhy is Cancel; why, if it is given, is how the job's own terms end it.
func (s *Scheduler) cancelWhy(ctx context.Context, uid, why string) (wire.JobState, error) {
	for {
		r, recorded, err := jobrecord.ReadLive(ctx, s.store, uid)
		if errors.Is(err, statestore.ErrNotFound) {
			// The living record is not read again: a job that was accepted in the
			// meantime would have its cancel answered with "queued".
			return storedEnd(ctx, s.store, uid)
		}
		if err != nil {
			return wire.JobState{}, err
		}
		if r.Cancelled {
			return wire.JobState{UID: uid, Stage: wire.StageCancelled}, nil
		}
		version, mine := s.state.Member.OwnsShard(r.Shard)
		s.state.Mu.Lock()
		if mine && s.state.Loaded[r.Shard] != version {
			s.state.Mu.Unlock()
			return wire.JobState{}, fmt.Errorf("shard %d is being taken over: %w", r.Shard, statestore.ErrUnavailable)
		}
		if mine {
			// A watch that lags may not have told of the job yet. Were it admitted after
			// the write below, it would be called queued although others, who read that
			// write, had told its user that it is cancelled.
			s.takeRecord(&r, recorded)
		}
		job := s.state.Jobs[uid]
		if job != nil {
			job.PendingCancels.RecordSent(recorded, time.Now())
		}
		s.state.Mu.Unlock()
		r.Cancelled = true
		if r.Terms != nil {
			asked := *r.Terms // the job has the other
			asked.CancelReason = why
			r.Terms = &asked
		}
		rev, err := s.writeLive(ctx, uid, &r, recorded, version)
		if job != nil && surelyFailed(err) {
			s.state.Mu.Lock()
			job.PendingCancels.RecordFailed(recorded)
			s.state.Mu.Unlock()
		}
		if s.recordChanged(err, &r) {
			continue
		}
		if err != nil {
			return wire.JobState{}, err
		}
		if mine {
			s.state.Mu.Lock()
			s.takeRecord(&r, rev)
			s.state.Mu.Unlock()
		}
		return wire.JobState{UID: uid, Stage: wire.StageCancelled}, nil
	}
}

// ReadCancelledJobs reads which living jobs are cancelled, whoever owns them.
func ReadCancelledJobs(ctx context.Context, store jobrecord.Lister) (uids []string, err error) {
	items, _, err := store.List(ctx, jobrecord.LivePrefix)
	if err != nil {
		return nil, fmt.Errorf("read cancels: %w", err)
	}
	for _, it := range items {
		if !bytes.Contains(it.Value, []byte(`"cancelled"`)) {
			continue // most are not, and reading them in full costs
		}
		var r jobrecord.LiveRecord
		if err := json.Unmarshal(it.Value, &r); err != nil {
			return nil, fmt.Errorf("read job: %w", err)
		}
		if r.Cancelled {
			uids = append(uids, r.Job.UID)
		}
	}
	return uids, nil
}

// JobStatus is a living job as alerts see it.
type JobStatus struct {
	UID, Class, Team string
	Age              time.Duration
	DueS             *float64
	Tasks, Started   int
	Done             int
	Cancelled        bool
}

// JobStatuses returns the living jobs.
func (s *Scheduler) JobStatuses() []JobStatus {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	out := make([]JobStatus, 0, len(s.state.JobOrder))
	for _, job := range s.state.JobOrder {
		if job.Constraints != nil && s.state.WaitReason(job, time.Now()) != "" {
			continue // it waits by its own terms
		}
		out = append(out, JobStatus{
			UID: job.Spec.UID, Class: job.Spec.Class, Team: job.Spec.Team, Age: time.Since(job.AcceptedAt),
			DueS: job.Spec.DueS, Tasks: job.Spec.Tasks, Started: max(job.Started, job.Done), Done: job.Done, Cancelled: job.Cancelled,
		})
	}
	return out
}

// Counters returns the counters for operators.
func (s *Scheduler) Counters() jobstate.Stats {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	return s.state.Stats
}

// QueueDepths returns how much this owner has in hand.
func (s *Scheduler) QueueDepths() map[string]int {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	q := map[string]int{"jobs": len(s.state.Jobs), "known_machines": len(s.state.Workers), "pending": 0, "unwritten": 0}
	for _, job := range s.state.JobOrder {
		q["pending"] += len(job.Pending)
	}
	for _, changes := range s.state.Unwritten {
		q["unwritten"] += len(changes)
	}
	return q
}

// FailoverProgress returns how often this owner took shards over, the machines on which
// the records it read last had tasks, and how many of those were not heard since.
func (s *Scheduler) FailoverProgress() (takeovers, machines, silent int) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	for _, worker := range s.state.Workers {
		if worker.RecordedFailover != s.state.Stats.Failovers || worker.RecordedFailover == 0 {
			continue
		}
		machines++
		if worker.LastHeartbeat.Before(s.state.LoadedAt) && len(worker.Placements) > 0 {
			silent++
		}
	}
	return s.state.Stats.Failovers, machines, silent
}

// Machines returns the machines that this owner has heard, by name.
func (s *Scheduler) Machines() []wire.MachineInfo {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	out := make([]wire.MachineInfo, 0, len(s.state.Workers))
	for _, worker := range s.state.Workers {
		if worker.LastHeartbeat.IsZero() {
			continue
		}
		i := wire.MachineInfo{
			Name: worker.Name, Type: worker.View.Type, Zone: worker.View.Zone, Spot: worker.View.Spot, CPUs: s.state.TypeOf(worker).CPUs,
			Tasks: len(worker.Placements), HeardS: time.Since(worker.LastHeartbeat).Seconds(),
		}
		for placement := range worker.Placements {
			if placement.MayRun() {
				i.UsedCPUs += placement.Job.Resources.CPUs
			}
		}
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b wire.MachineInfo) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// RunningTask is a task that a worker reported as running.
type RunningTask struct {
	Task    string
	Attempt uint64
	Machine string
}

// RunningTasks returns a living job's running tasks.
func (s *Scheduler) RunningTasks(uid string) []RunningTask {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	job := s.state.Jobs[uid]
	if job == nil {
		return nil
	}
	var out []RunningTask
	for _, ps := range job.Placements {
		for _, placement := range ps {
			if !placement.RunningSince.IsZero() && placement.HaltedAt.IsZero() && !placement.Exited {
				out = append(out, RunningTask{placement.Ref.Task, placement.Attempt, placement.Worker.Name})
			}
		}
	}
	slices.SortFunc(out, func(a, b RunningTask) int { return strings.Compare(a.Task, b.Task) })
	return out
}

// HasUnfinishedJobs reports whether a living job of the class is here.
func (s *Scheduler) HasUnfinishedJobs(class string) bool {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	return slices.ContainsFunc(s.state.JobOrder, func(job *jobstate.Job) bool { return job.Spec.Class == class && !job.Cancelled && job.EndStage == "" })
}
