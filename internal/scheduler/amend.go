package scheduler

import (
	"context"
	"errors"
	"fmt"

	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/statestore"
)

// Hold holds a job's tasks that have not started, or releases them.
func (o *Scheduler) Hold(ctx context.Context, uid string, held bool) error {
	return o.amend(ctx, uid, func(r *LiveRecord) (bool, error) {
		was := r.Terms.Held
		r.Terms.Held = held
		return was != held, nil
	})
}

// ErrInvalidRequest means that what was asked can't be done as it was asked.
var ErrInvalidRequest = errors.New("can't be done")

// CancelTasks cancels tasks of a job alone. Those that are over stay as they are.
func (o *Scheduler) CancelTasks(ctx context.Context, uid string, tasks jobspec.Ranges) error {
	return o.amend(ctx, uid, func(r *LiveRecord) (bool, error) {
		var all []int
		if r.Terms.CancelledTasks != "" {
			old, err := jobspec.ParseRanges(r.Terms.CancelledTasks)
			if err != nil {
				return false, err
			}
			for t := range old.All() {
				all = append(all, t)
			}
		}
		o.mu.Lock()
		j := o.jobs[uid]
		for t := range tasks.All() {
			if t >= r.Job.Tasks {
				o.mu.Unlock()
				return false, fmt.Errorf("%w: the job has no task %d", ErrInvalidRequest, t)
			}
			if j == nil || !j.Chunks[t/ChunkSize].IsDone(t) {
				all = append(all, t)
			}
		}
		o.mu.Unlock()
		if len(all) == 0 {
			return false, nil
		}
		text := jobspec.RangesOf(all).String()
		if _, err := jobspec.ParseRanges(text); err != nil || len(text) > jobspec.MaxArray {
			return false, fmt.Errorf("%w: too many single tasks of this job were cancelled; cancel the job, or ranges of tasks", ErrInvalidRequest)
		}
		changed := r.Terms.CancelledTasks != text
		r.Terms.CancelledTasks = text
		return changed, nil
	})
}

// amend changes a living job's terms. Like a cancel only the shard's owner may do
// so, or anybody while nobody owns it.
func (o *Scheduler) amend(ctx context.Context, uid string, change func(*LiveRecord) (bool, error)) error {
	for {
		r, recorded, err := ReadLive(ctx, o.store, uid)
		if err != nil {
			return err
		}
		if r.Terms == nil {
			return fmt.Errorf("%w: the job was accepted without a number", ErrInvalidRequest)
		}
		version, mine := o.member.OwnsShard(r.Shard)
		o.mu.Lock()
		busy := mine && o.loaded[r.Shard] != version
		o.mu.Unlock()
		if busy {
			return fmt.Errorf("shard %d is being taken over: %w", r.Shard, statestore.ErrUnavailable)
		}
		changed, err := change(&r)
		if err != nil || !changed || r.Cancelled {
			return err
		}
		rev, err := o.writeLive(ctx, uid, &r, recorded, version)
		if o.recordChanged(err, &r) {
			continue
		}
		if err != nil {
			return err
		}
		if mine {
			o.mu.Lock()
			if j := o.jobs[uid]; j != nil && rev > j.Version {
				o.takeRecord(j, &r, rev)
			}
			o.mu.Unlock()
		}
		return nil
	}
}

// retermed takes the terms of a newer record of a job.
func (o *Scheduler) retermed(j *Job, r *LiveRecord) {
	if r.Terms == nil || j.Constraints == nil {
		return
	}
	t := *r.Terms
	j.Constraints.Constraints = &t
	o.dropTasks(j)
	if t.Held {
		for _, ps := range j.Placements {
			for _, p := range append([]*Placement(nil), ps...) {
				if !p.MayRun() && !p.Exited {
					o.unqueue(p)
				}
			}
		}
	}
	poke(o.wake)
}

// dropTasks marks the tasks that their user cancelled alone, and stops them.
func (o *Scheduler) dropTasks(j *Job) {
	if j.Constraints == nil || j.Constraints.CancelledTasks == "" {
		return
	}
	r, err := jobspec.ParseRanges(j.Constraints.CancelledTasks)
	if err != nil {
		o.log.Error("unreadable terms of a job", "job", j.Spec.UID, "err", err)
		return
	}
	gone := map[int]bool{}
	for t := range r.All() {
		if t >= j.Spec.Tasks || j.Chunks[t/ChunkSize].IsDone(t) {
			continue
		}
		j.Chunks[t/ChunkSize].SetFailed(t, uint64(OutcomeCancelled), 0)
		gone[t] = true
	}
	if o.jobs[j.Spec.UID] != j {
		return // being admitted: its tasks are counted after this
	}
	j.Finished += len(gone)
	left := j.Pending[:0]
	for _, t := range j.Pending {
		if !gone[t] {
			left = append(left, t)
		}
	}
	j.Pending = left
	for t := range gone {
		for _, p := range append([]*Placement(nil), j.Placements[t]...) {
			o.halt(p, 0)
		}
	}
	o.finish(j)
}
