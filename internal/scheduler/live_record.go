package scheduler

import (
	"context"
	"errors"
	"fmt"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// writeLive writes a living job's record in place of the one with the version, if the key of
// its shard has shardVersion still; 0: nobody leads the shard. It returns the version that
// the record has then.
func (s *Scheduler) writeLive(ctx context.Context, record *jobrecord.LiveRecord, version, shardVersion uint64) (uint64, error) {
	key := jobrecord.LivePrefix + record.Job.UID
	guards := []wire.Guard{{Key: s.state.Membership.ShardKey(record.Shard), Version: shardVersion}, {Key: key, Version: version}}
	return s.store.Txn(ctx, guards, wire.Op{Put: key, Value: *record})
}

// isRecordConflict reports whether writeLive failed for the record's version alone, so that
// the newer record can be read and written.
func (s *Scheduler) isRecordConflict(err error, record *jobrecord.LiveRecord) bool {
	var conflict *statestore.ConflictError
	return errors.As(err, &conflict) && !conflict.Has(s.state.Membership.ShardKey(record.Shard))
}

// checkLoaded returns an error that wraps statestore.ErrUnavailable if this controller leads
// the shard, whose key has the version, and has not loaded it yet.
func (s *Scheduler) checkLoaded(shard int, version uint64, leads bool) error {
	if leads && s.state.Loaded[shard] != version {
		return fmt.Errorf("shard %d is being taken over: %w", shard, statestore.ErrUnavailable)
	}
	return nil
}
