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

// Cancel records that a job is cancelled and returns the job's resulting state: its final state
// if it has already ended. Only the leader of the job's shard may cancel, or any controller
// while the shard has no leader: if another controller did, the leader, which answers from
// memory, would report the job as running after its user was told that it is cancelled.
//
// The error wraps statestore.ErrNotFound if the job was never accepted. After any other error
// the cancel may have been applied.
func (s *Scheduler) Cancel(ctx context.Context, uid string) (wire.JobState, error) {
	return s.cancelWithReason(ctx, uid, "")
}

// cancelWithReason is Cancel with a reason: the end state that the job's constraints impose, or
// "" for a cancel by the user.
func (s *Scheduler) cancelWithReason(ctx context.Context, uid, reason string) (wire.JobState, error) {
	for {
		record, version, err := jobrecord.ReadLive(ctx, s.store, uid)
		if errors.Is(err, statestore.ErrNotFound) {
			// The live record is not read again: the cancel of a job that was accepted in the
			// meantime would be answered with "queued".
			return readStoredEnd(ctx, s.store, uid)
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

// writeCancel writes the job's record, whose current version is given, as cancelled, and
// applies it to the state if this controller leads the job's shard.
func (s *Scheduler) writeCancel(ctx context.Context, record *jobrecord.LiveRecord, version uint64, reason string) error {
	shardVersion, leads := s.state.Membership.LeadsShard(record.Shard)
	job, err := s.recordCancelSent(record, version, shardVersion, leads)
	if err != nil {
		return err
	}
	record.Cancelled = true
	if record.Constraints != nil {
		constraints := *record.Constraints // a copy: the job in the state shares the original
		constraints.CancelReason = reason
		record.Constraints = &constraints
	}
	revision, err := s.writeLiveRecord(ctx, record, version, shardVersion)
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

// recordCancelSent records that a cancel of the job is about to be sent, and returns the job,
// nil if it is not in the state.
func (s *Scheduler) recordCancelSent(record *jobrecord.LiveRecord, version, shardVersion uint64, leads bool) (*jobstate.Job, error) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	if err := s.checkLoaded(record.Shard, shardVersion, leads); err != nil {
		return nil, err
	}
	if leads {
		// A lagging watch may not have returned the job yet. If the job were admitted only
		// after the cancel is written, this leader would report it as queued, although a
		// controller that read the cancelled record may already have reported it as cancelled.
		s.applyRecord(record, version)
	}
	job := s.state.Jobs[record.Job.UID]
	if job != nil {
		job.PendingCancels.RecordSent(version, time.Now())
	}
	return job, nil
}

// ReadCancelledJobs returns the live jobs that are cancelled, whoever leads their shards.
func ReadCancelledJobs(ctx context.Context, store jobrecord.Lister) (uids []string, err error) {
	items, _, err := store.List(ctx, jobrecord.LivePrefix)
	if err != nil {
		return nil, fmt.Errorf("read cancels: %w", err)
	}
	for _, item := range items {
		if !bytes.Contains(item.Value, []byte(`"cancelled"`)) {
			continue // parsing every record in full is costly, and few are cancelled
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
