package scheduler

import (
	"context"
	"errors"
	"fmt"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/statestore"
)

// Hold holds a job's tasks that have not started, or releases them.
func (s *Scheduler) Hold(ctx context.Context, uid string, held bool) error {
	return s.amend(ctx, uid, func(r *jobrecord.LiveRecord) (bool, error) {
		was := r.Terms.Held
		r.Terms.Held = held
		return was != held, nil
	})
}

// ErrInvalidRequest means that what was asked can't be done as it was asked.
var ErrInvalidRequest = errors.New("can't be done")

// CancelTasks cancels tasks of a job alone. Those that are over stay as they are.
func (s *Scheduler) CancelTasks(ctx context.Context, uid string, tasks jobspec.Ranges) error {
	return s.amend(ctx, uid, func(r *jobrecord.LiveRecord) (bool, error) {
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
		s.state.Mu.Lock()
		job := s.state.Jobs[uid]
		for t := range tasks.All() {
			if t >= r.Job.Tasks {
				s.state.Mu.Unlock()
				return false, fmt.Errorf("%w: the job has no task %d", ErrInvalidRequest, t)
			}
			if job == nil || !job.Chunks[t/jobrecord.ChunkSize].IsDone(t) {
				all = append(all, t)
			}
		}
		s.state.Mu.Unlock()
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
func (s *Scheduler) amend(ctx context.Context, uid string, change func(*jobrecord.LiveRecord) (bool, error)) error {
	for {
		r, recorded, err := jobrecord.ReadLive(ctx, s.store, uid)
		if err != nil {
			return err
		}
		if r.Terms == nil {
			return fmt.Errorf("%w: the job was accepted without a number", ErrInvalidRequest)
		}
		version, mine := s.state.Member.OwnsShard(r.Shard)
		s.state.Mu.Lock()
		busy := mine && s.state.Loaded[r.Shard] != version
		s.state.Mu.Unlock()
		if busy {
			return fmt.Errorf("shard %d is being taken over: %w", r.Shard, statestore.ErrUnavailable)
		}
		changed, err := change(&r)
		if err != nil || !changed || r.Cancelled {
			return err
		}
		rev, err := s.writeLive(ctx, uid, &r, recorded, version)
		if s.recordChanged(err, &r) {
			continue
		}
		if err != nil {
			return err
		}
		if mine {
			s.state.Mu.Lock()
			if job := s.state.Jobs[uid]; job != nil && rev > job.Version {
				s.state.UpdateRecord(job, &r, rev)
			}
			s.state.Mu.Unlock()
		}
		return nil
	}
}
