package scheduler

import (
	"context"
	"errors"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// writeLive writes a living job's record in the place of one that has a version, if the key
// of its shard has shardVersion still; 0: nobody owns the shard. It returns the version
// that the record has then.
func (s *Scheduler) writeLive(ctx context.Context, uid string, r *jobrecord.LiveRecord, version, shardVersion uint64) (uint64, error) {
	guards := []wire.Guard{{Key: s.state.Member.ShardKey(r.Shard), Version: shardVersion}, {Key: jobrecord.LivePrefix + uid, Version: version}}
	return s.store.Txn(ctx, guards, wire.Op{Put: jobrecord.LivePrefix + uid, Value: *r})
}

// recordChanged reports whether writeLive failed for the record's version alone, so that
// the newer record can be read and written.
func (s *Scheduler) recordChanged(err error, r *jobrecord.LiveRecord) bool {
	var conflict *statestore.Conflict
	return errors.As(err, &conflict) && !conflict.Has(s.state.Member.ShardKey(r.Shard))
}
