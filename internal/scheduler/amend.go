package scheduler

import (
	"context"
	"errors"
	"fmt"

	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/statestore"
)

// Hold holds a job's tasks that have not started, or releases them.
func (o *Owner) Hold(ctx context.Context, uid string, held bool) error {
	return o.amend(ctx, uid, func(r *liveRecord) (bool, error) {
		was := r.Terms.Held
		r.Terms.Held = held
		return was != held, nil
	})
}

// ErrInput means that what was asked can't be done as it was asked.
var ErrInput = errors.New("can't be done")

// Drop cancels tasks of a job alone. Those that are over stay as they are.
func (o *Owner) Drop(ctx context.Context, uid string, tasks jobspec.Ranges) error {
	return o.amend(ctx, uid, func(r *liveRecord) (bool, error) {
		var all []int
		if r.Terms.Dropped != "" {
			old, err := jobspec.ParseRanges(r.Terms.Dropped)
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
				return false, fmt.Errorf("%w: the job has no task %d", ErrInput, t)
			}
			if j == nil || !j.chunks[t/chunkSize].isDone(t) {
				all = append(all, t)
			}
		}
		o.mu.Unlock()
		if len(all) == 0 {
			return false, nil
		}
		text := jobspec.RangesOf(all).String()
		if _, err := jobspec.ParseRanges(text); err != nil || len(text) > jobspec.MaxArray {
			return false, fmt.Errorf("%w: too many single tasks of this job were cancelled; cancel the job, or ranges of tasks", ErrInput)
		}
		changed := r.Terms.Dropped != text
		r.Terms.Dropped = text
		return changed, nil
	})
}

// amend changes a living job's terms. Like a cancel only the shard's owner may do
// so, or anybody while nobody owns it.
func (o *Owner) amend(ctx context.Context, uid string, change func(*liveRecord) (bool, error)) error {
	for {
		r, recorded, err := readLive(ctx, o.store, uid)
		if err != nil {
			return err
		}
		if r.Terms == nil {
			return fmt.Errorf("%w: the job was accepted without a number", ErrInput)
		}
		version, mine := o.member.Owns(r.Shard)
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
			if j := o.jobs[uid]; j != nil && rev > j.version {
				o.takeRecord(j, &r, rev)
			}
			o.mu.Unlock()
		}
		return nil
	}
}

// retermed takes the terms of a newer record of a job.
func (o *Owner) retermed(j *job, r *liveRecord) {
	if r.Terms == nil || j.asked == nil {
		return
	}
	t := *r.Terms
	j.asked.Terms = &t
	o.dropTasks(j)
	if t.Held {
		for _, ps := range j.places {
			for _, p := range append([]*place(nil), ps...) {
				if !p.on() && !p.exited {
					o.unqueue(p)
				}
			}
		}
	}
	poke(o.wake)
}

// dropTasks marks the tasks that their user cancelled alone, and stops them.
func (o *Owner) dropTasks(j *job) {
	if j.asked == nil || j.asked.Dropped == "" {
		return
	}
	r, err := jobspec.ParseRanges(j.asked.Dropped)
	if err != nil {
		o.log.Error("unreadable terms of a job", "job", j.spec.UID, "err", err)
		return
	}
	gone := map[int]bool{}
	for t := range r.All() {
		if t >= j.spec.Tasks || j.chunks[t/chunkSize].isDone(t) {
			continue
		}
		j.chunks[t/chunkSize].setFailed(t, uint64(howCancelled), 0)
		gone[t] = true
	}
	if o.jobs[j.spec.UID] != j {
		return // being admitted: its tasks are counted after this
	}
	j.over += len(gone)
	left := j.pending[:0]
	for _, t := range j.pending {
		if !gone[t] {
			left = append(left, t)
		}
	}
	j.pending = left
	for t := range gone {
		for _, p := range append([]*place(nil), j.places[t]...) {
			o.halt(p, 0)
		}
	}
	o.finish(j)
}
