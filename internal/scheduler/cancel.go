package scheduler

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// Cancel records that a job is cancelled, and returns its state then: that of its end if it
// is over. Only the shard's leader may do so, or any controller while nobody leads it:
// otherwise a leader that answers from memory would go on calling the job running after its
// user got a response that it is cancelled.
//
// The error wraps statestore.ErrNotFound if there was never such a job. After any other error
// the cancel may have been applied.
func (s *Scheduler) Cancel(ctx context.Context, uid string) (wire.JobState, error) {
	return s.cancelWithReason(ctx, uid, "")
}

// cancelWithReason is Cancel; reason, if it is given, is how the job's constraints end it.
func (s *Scheduler) cancelWithReason(ctx context.Context, uid, reason string) (wire.JobState, error) {
	for {
		record, version, err := jobrecord.ReadLive(ctx, s.store, uid)
		if errors.Is(err, statestore.ErrNotFound) {
			// The living record is not read again: a job that was accepted in the
			// meantime would have its cancel answered with "queued".
			return storedEnd(ctx, s.store, uid)
		}
		if err != nil {
			return wire.JobState{}, err
		}
		cancelled := wire.JobState{UID: uid, Stage: wire.StageCancelled}
		if record.Cancelled {
			return cancelled, nil
		}
		err = s.writeCancel(ctx, &record, version, reason)
		if err == nil {
			return cancelled, nil
		}
		if !s.isRecordConflict(err, &record) {
			return wire.JobState{}, err
		}
	}
}

// writeCancel writes the record of a job, which has the version, as cancelled, and takes it
// into the state if this controller leads the job's shard.
func (s *Scheduler) writeCancel(ctx context.Context, record *jobrecord.LiveRecord, version uint64, reason string) error {
	shardVersion, leads := s.state.Membership.LeadsShard(record.Shard)
	job, err := s.recordCancelSent(record, version, shardVersion, leads)
	if err != nil {
		return err
	}
	record.Cancelled = true
	if record.Constraints != nil {
		constraints := *record.Constraints // the job in the state has the other
		constraints.CancelReason = reason
		record.Constraints = &constraints
	}
	revision, err := s.writeLive(ctx, record, version, shardVersion)
	if job != nil && definitelyFailed(err) {
		s.state.Mu.Lock()
		job.PendingCancels.RecordFailed(version)
		s.state.Mu.Unlock()
	}
	if err == nil && leads {
		s.state.Mu.Lock()
		s.applyRecord(record, revision)
		s.state.Mu.Unlock()
	}
	return err
}

// recordCancelSent notes that a cancel of the job is about to be sent, and returns the job if
// it is in the state.
func (s *Scheduler) recordCancelSent(record *jobrecord.LiveRecord, version, shardVersion uint64, leads bool) (*jobstate.Job, error) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	if err := s.checkLoaded(record.Shard, shardVersion, leads); err != nil {
		return nil, err
	}
	if leads {
		// A watch that lags may not have returned the job yet. If it were admitted only after
		// the cancel is written, it would be called queued, although others, who read that
		// write, had answered its user that it is cancelled.
		s.applyRecord(record, version)
	}
	job := s.state.Jobs[record.Job.UID]
	if job != nil {
		job.PendingCancels.RecordSent(version, time.Now())
	}
	return job, nil
}

// ReadCancelledJobs reads which living jobs are cancelled, whoever leads their shards.
func ReadCancelledJobs(ctx context.Context, store jobrecord.Lister) (uids []string, err error) {
	items, _, err := store.List(ctx, jobrecord.LivePrefix)
	if err != nil {
		return nil, fmt.Errorf("read cancels: %w", err)
	}
	for _, item := range items {
		if !bytes.Contains(item.Value, []byte(`"cancelled"`)) {
			continue // most are not, and parsing them in full is costly
		}
		var record jobrecord.LiveRecord
		if err := json.Unmarshal(item.Value, &record); err != nil {
			return nil, fmt.Errorf("read job: %w", err)
		}
		if record.Cancelled {
			uids = append(uids, record.Job.UID)
		}
	}
	return uids, nil
}
