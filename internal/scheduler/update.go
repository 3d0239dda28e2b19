package scheduler

import (
	"context"
	"errors"
	"fmt"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
)

// ErrInvalidRequest is returned for requests that can't be carried out as specified.
var ErrInvalidRequest = errors.New("can't be done")

// Hold holds those tasks of a job that have not started, or releases them if held is false. It
// returns the same errors as CancelTasks.
func (s *Scheduler) Hold(ctx context.Context, uid string, held bool) error {
	return s.updateLiveRecord(ctx, uid, func(record *jobrecord.LiveRecord) (changed bool, err error) {
		changed = record.Constraints.Held != held
		record.Constraints.Held = held
		return changed, nil
	})
}

// CancelTasks cancels individual tasks of a job. Tasks that have ended are not changed. The
// error wraps ErrInvalidRequest, or statestore.ErrNotFound if there is no such live job. After
// any other error the cancel may have been applied.
func (s *Scheduler) CancelTasks(ctx context.Context, uid string, tasks jobspec.Ranges) error {
	return s.updateLiveRecord(ctx, uid, func(record *jobrecord.LiveRecord) (changed bool, err error) {
		cancelled, err := s.addCancelledTasks(record, tasks)
		if err != nil || len(cancelled) == 0 {
			return false, err
		}
		text := jobspec.RangesOf(cancelled).String()
		if _, err := jobspec.ParseRanges(text); err != nil || len(text) > jobspec.MaxArray {
			return false, fmt.Errorf("%w: too many single tasks of this job were cancelled; cancel the job, or ranges of tasks", ErrInvalidRequest)
		}
		changed = record.Constraints.CancelledTasks != text
		record.Constraints.CancelledTasks = text
		return changed, nil
	})
}

// addCancelledTasks returns the tasks that the job's record lists as cancelled, and those of the
// given tasks that aren't known to have ended. It returns an error if the job has no such task.
func (s *Scheduler) addCancelledTasks(record *jobrecord.LiveRecord, tasks jobspec.Ranges) (cancelled []int, err error) {
	if record.Constraints.CancelledTasks != "" {
		recorded, err := jobspec.ParseRanges(record.Constraints.CancelledTasks)
		if err != nil {
			return nil, err
		}
		for task := range recorded.All() {
			cancelled = append(cancelled, task)
		}
	}
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	job := s.state.Jobs[record.Job.UID]
	for task := range tasks.All() {
		if task >= record.Job.Tasks {
			return nil, fmt.Errorf("%w: the job has no task %d", ErrInvalidRequest, task)
		}
		if job == nil || !job.Chunks[task/jobrecord.ChunkSize].IsOver(task) {
			cancelled = append(cancelled, task)
		}
	}
	return cancelled, nil
}

// updateLiveRecord applies a change to a job's live record, and retries whenever another writer
// changes the record at the same time. As with Cancel, only the leader of the job's shard may
// do so, or any controller while the shard has no leader. The record of a cancelled job is not
// changed.
func (s *Scheduler) updateLiveRecord(ctx context.Context, uid string, change func(*jobrecord.LiveRecord) (changed bool, err error)) error {
	for {
		record, version, err := jobrecord.ReadLive(ctx, s.store, uid)
		if err != nil {
			return err
		}
		if record.Constraints == nil {
			return fmt.Errorf("%w: the job was accepted without a number", ErrInvalidRequest)
		}
		shardVersion, leads := s.state.Membership.LeadsShard(record.Shard)
		s.state.Mu.Lock()
		err = s.checkLoaded(record.Shard, shardVersion, leads)
		s.state.Mu.Unlock()
		if err != nil {
			return err
		}
		changed, err := change(&record)
		if err != nil || !changed || record.Cancelled {
			return err
		}
		revision, err := s.writeLiveRecord(ctx, &record, version, shardVersion)
		if s.isRecordConflict(err, &record) {
			continue
		}
		if err == nil && leads {
			s.applyUpdate(&record, revision)
		}
		return err
	}
}

// applyUpdate updates a job in the state from its live record, which was just written. It does
// nothing if the state does not contain the job.
func (s *Scheduler) applyUpdate(record *jobrecord.LiveRecord, version uint64) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	if job := s.state.Jobs[record.Job.UID]; job != nil && version > job.Version {
		s.state.UpdateRecord(job, record, version)
	}
}
