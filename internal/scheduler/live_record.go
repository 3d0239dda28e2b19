package scheduler

import (
	"context"
	"errors"
	"fmt"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// writeLiveRecord replaces a job's live record, whose current version is given, provided that
// the key of its shard still has shardVersion (0 if the shard has no leader). It returns the
// new version of the record.
func (s *Scheduler) writeLiveRecord(ctx context.Context, record *jobrecord.LiveRecord, version, shardVersion uint64) (uint64, error) {
	key := jobrecord.LivePrefix + record.Job.UID
	guards := []wire.Guard{{Key: s.state.Membership.ShardKey(record.Shard), Version: shardVersion}, {Key: key, Version: version}}
	return s.store.Txn(ctx, guards, wire.Op{Put: key, Value: *record})
}

// isRecordConflict reports whether writeLiveRecord failed only because the record's version has
// changed, so that the caller can read the newer record and retry.
func (s *Scheduler) isRecordConflict(err error, record *jobrecord.LiveRecord) bool {
	var conflict *statestore.ConflictError
	return errors.As(err, &conflict) && !conflict.Has(s.state.Membership.ShardKey(record.Shard))
}

// checkLoaded returns an error that wraps statestore.ErrUnavailable if this controller leads
// the shard but has not loaded it under the given version of the shard's key.
func (s *Scheduler) checkLoaded(shard int, version uint64, leads bool) error {
	if leads && s.state.Loaded[shard] != version {
		return fmt.Errorf("shard %d is being taken over: %w", shard, statestore.ErrUnavailable)
	}
	return nil
}
