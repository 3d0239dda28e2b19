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

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// LocalState answers for a living or ended job from memory, if this controller
// surely owns it.
func (o *Scheduler) LocalState(uid string) (wire.JobState, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if f, ok := o.final[uid]; ok {
		return wire.JobState{UID: uid, Stage: f.Stage, Done: f.Done}, true
	}
	j := o.jobs[uid]
	if j == nil {
		return wire.JobState{}, false
	}
	if !o.sure(j) {
		return wire.JobState{}, false
	}
	return j.PublicState(), true
}

// RefineState adds what this controller, if it surely owns a job, knows of its tasks to what the
// store just said of it. The store has a living job as queued: while a cancel's outcome was
// open, and the store was asked therefore, a running job was called queued.
func (o *Scheduler) RefineState(stored wire.JobState) wire.JobState {
	if stored.Stage != wire.StageQueued {
		return stored
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	j := o.jobs[stored.UID]
	if j == nil || !o.owns(j) {
		return stored
	}
	return j.PublicState()
}

// owns reports whether the job's shard is surely this controller's, as it was loaded.
func (o *Scheduler) owns(j *Job) bool {
	version, ok := o.member.OwnsShard(j.Shard)
	return ok && version == o.loaded[j.Shard]
}

// sure reports whether what is in memory of a living job is not older than what any
// controller may have told.
func (o *Scheduler) sure(j *Job) bool {
	// An owner whose lease may have ended could miss a later end.
	if !o.owns(j) {
		return false
	}
	// A write of its end may have been applied although the answer is out:
	// others may tell its user already, so only the store is sure. Before that
	// write the job is alive to everybody: in a storm of tiny jobs, polls for
	// hundreds whose ends still waited to be written all went to the store.
	if j.EndWriteSent || j.PendingCancels.Any() {
		return false
	}
	// Its user may have heard of a cancel that was not recorded here.
	return j.Cancelled || o.Cancellations == nil || !o.Cancellations.IsCancelled(j.Spec.UID)
}

func (j *Job) PublicState() wire.JobState {
	s := wire.JobState{UID: j.Spec.UID, Stage: wire.StageQueued, Done: j.Done, Running: j.Running}
	switch {
	case j.Cancelled:
		s.Stage, s.Running = wire.StageCancelled, 0
	case j.Running > 0:
		s.Stage = wire.StageRunning
	}
	return s
}

// StoredState answers from the store, and says whether the job was ever accepted.
func StoredState(ctx context.Context, store Reader, uid string) (wire.JobState, error) {
	// The living record first: it goes only when the final one is there.
	r, _, err := ReadLive(ctx, store, uid)
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
func storedEnd(ctx context.Context, store Reader, uid string) (wire.JobState, error) {
	f, err := ReadFinal(ctx, store, uid)
	if err != nil {
		return wire.JobState{}, err
	}
	return wire.JobState{UID: uid, Stage: f.Stage, Done: f.Done}, nil
}

// Cancel records that a job is cancelled. Only the shard's owner may do so, or
// anybody while nobody owns it: an owner that answers from memory would go on
// calling the job running after its user heard that it is cancelled.
func (o *Scheduler) Cancel(ctx context.Context, uid string) (wire.JobState, error) {
	return o.cancelWhy(ctx, uid, "")
}

// cancelWhy is Cancel; why, if it is given, is how the job's own terms end it.
func (o *Scheduler) cancelWhy(ctx context.Context, uid, why string) (wire.JobState, error) {
	for {
		r, recorded, err := ReadLive(ctx, o.store, uid)
		if errors.Is(err, statestore.ErrNotFound) {
			// The living record is not read again: a job that was accepted in the
			// meantime would have its cancel answered with "queued".
			return storedEnd(ctx, o.store, uid)
		}
		if err != nil {
			return wire.JobState{}, err
		}
		if r.Cancelled {
			return wire.JobState{UID: uid, Stage: wire.StageCancelled}, nil
		}
		version, mine := o.member.OwnsShard(r.Shard)
		o.mu.Lock()
		if mine && o.loaded[r.Shard] != version {
			o.mu.Unlock()
			return wire.JobState{}, fmt.Errorf("shard %d is being taken over: %w", r.Shard, statestore.ErrUnavailable)
		}
		if mine {
			// A watch that lags may not have told of the job yet. Were it admitted after
			// the write below, it would be called queued although others, who read that
			// write, had told its user that it is cancelled.
			o.take(&r, recorded)
		}
		j := o.jobs[uid]
		if j != nil {
			j.PendingCancels.RecordSent(recorded, time.Now())
		}
		o.mu.Unlock()
		r.Cancelled = true
		if r.Terms != nil {
			asked := *r.Terms // the job has the other
			asked.CancelReason = why
			r.Terms = &asked
		}
		rev, err := o.writeLive(ctx, uid, &r, recorded, version)
		if j != nil && surelyFailed(err) {
			o.mu.Lock()
			j.PendingCancels.RecordFailed(recorded)
			o.mu.Unlock()
		}
		if o.recordChanged(err, &r) {
			continue
		}
		if err != nil {
			return wire.JobState{}, err
		}
		if mine {
			o.mu.Lock()
			o.take(&r, rev)
			o.mu.Unlock()
		}
		return wire.JobState{UID: uid, Stage: wire.StageCancelled}, nil
	}
}

// cancelLocked stops everything of a job whose cancel is recorded.
func (o *Scheduler) cancelLocked(j *Job) {
	if j.Cancelled {
		return
	}
	j.Cancelled, j.PendingCancels = true, PendingCancels{}
	if o.Cancellations != nil {
		o.Cancellations.RecordCancelled(j.Spec.UID)
	}
	if j.EndStage == wire.StageDone {
		j.EndStage = "" // the cancel was recorded first
	}
	for _, ps := range j.Placements {
		for _, p := range append([]*Placement(nil), ps...) {
			if p.Exited {
				o.clear(p) // nothing of the job starts again
			} else {
				o.halt(p, 0)
			}
		}
	}
	o.finish(j)
}

// ReadCancelledJobs reads which living jobs are cancelled, whoever owns them.
func ReadCancelledJobs(ctx context.Context, store Lister) (uids []string, err error) {
	items, _, err := store.List(ctx, LivePrefix)
	if err != nil {
		return nil, fmt.Errorf("read cancels: %w", err)
	}
	for _, it := range items {
		if !bytes.Contains(it.Value, []byte(`"cancelled"`)) {
			continue // most are not, and reading them in full costs
		}
		var r LiveRecord
		if err := json.Unmarshal(it.Value, &r); err != nil {
			return nil, fmt.Errorf("read job: %w", err)
		}
		if r.Cancelled {
			uids = append(uids, r.Job.UID)
		}
	}
	return uids, nil
}

// UnstoppedWorkers names the machines, with their addresses, on which cancelled tasks still
// may be that were told to stop so long ago, as far as this owner remembers: its
// lease need not hold.
func (o *Scheduler) UnstoppedWorkers(after time.Duration) map[string]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]string{}
	for _, m := range o.goingOn(after) {
		if m.View.Endpoint != "" && !m.Gone {
			out[m.Name] = m.View.Endpoint
		}
	}
	return out
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
func (o *Scheduler) JobStatuses() []JobStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]JobStatus, 0, len(o.order))
	for _, j := range o.order {
		if j.Constraints != nil && o.waits(j, time.Now()) != "" {
			continue // it waits by its own terms
		}
		out = append(out, JobStatus{UID: j.Spec.UID, Class: j.Spec.Class, Team: j.Spec.Team, Age: time.Since(j.AcceptedAt),
			DueS: j.Spec.DueS, Tasks: j.Spec.Tasks, Started: max(j.Started, j.Done), Done: j.Done, Cancelled: j.Cancelled})
	}
	return out
}

// Counters returns the counters for operators.
func (o *Scheduler) Counters() Stats {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stats
}

// QueueDepths returns how much this owner has in hand.
func (o *Scheduler) QueueDepths() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := map[string]int{"jobs": len(o.jobs), "known_machines": len(o.machines), "pending": 0, "unwritten": 0}
	for _, j := range o.order {
		q["pending"] += len(j.Pending)
	}
	for _, l := range o.logs {
		q["unwritten"] += len(l.queue)
	}
	return q
}

// FailoverProgress returns how often this owner took shards over, the machines on which
// the records it read last had tasks, and how many of those were not heard since.
func (o *Scheduler) FailoverProgress() (takeovers, machines, silent int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range o.machines {
		if m.RecordedFailover != o.stats.Failovers || m.RecordedFailover == 0 {
			continue
		}
		machines++
		if m.LastHeartbeat.Before(o.loadedAt) && len(m.Placements) > 0 {
			silent++
		}
	}
	return o.stats.Failovers, machines, silent
}

// Machines returns the machines that this owner has heard, by name.
func (o *Scheduler) Machines() []wire.MachineInfo {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]wire.MachineInfo, 0, len(o.machines))
	for _, m := range o.machines {
		if m.LastHeartbeat.IsZero() {
			continue
		}
		i := wire.MachineInfo{Name: m.Name, Type: m.View.Type, Zone: m.View.Zone, Spot: m.View.Spot, CPUs: o.typeOf(m).CPUs,
			Tasks: len(m.Placements), HeardS: time.Since(m.LastHeartbeat).Seconds()}
		for p := range m.Placements {
			if p.MayRun() {
				i.UsedCPUs += p.Job.Resources.CPUs
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
func (o *Scheduler) RunningTasks(uid string) []RunningTask {
	o.mu.Lock()
	defer o.mu.Unlock()
	j := o.jobs[uid]
	if j == nil {
		return nil
	}
	var out []RunningTask
	for _, ps := range j.Placements {
		for _, p := range ps {
			if !p.RunningSince.IsZero() && p.HaltedAt.IsZero() && !p.Exited {
				out = append(out, RunningTask{p.Ref.Task, p.Attempt, p.Worker.Name})
			}
		}
	}
	slices.SortFunc(out, func(a, b RunningTask) int { return strings.Compare(a.Task, b.Task) })
	return out
}

// HasUnfinishedJobs reports whether a living job of the class is here.
func (o *Scheduler) HasUnfinishedJobs(class string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.ContainsFunc(o.order, func(j *Job) bool { return j.Spec.Class == class && !j.Cancelled && j.EndStage == "" })
}
