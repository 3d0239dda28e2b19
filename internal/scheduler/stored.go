package scheduler

import (
	"context"
	"errors"
	"fmt"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// ReadLive reads a living job's record and its version. The error is
// statestore.ErrNotFound if the job ended or was never accepted.
func ReadLive(ctx context.Context, store Reader, uid string) (r LiveRecord, version uint64, err error) {
	it, err := store.Get(ctx, LivePrefix+uid)
	if err != nil {
		return r, 0, err
	}
	if err := json.Unmarshal(it.Value, &r); err != nil {
		return r, 0, fmt.Errorf("read job: %w", err)
	}
	return r, it.Version, nil
}

// ReadFinal reads the record of a job that ended. The error is statestore.ErrNotFound if
// there is none.
func ReadFinal(ctx context.Context, store Reader, uid string) (r FinalRecord, err error) {
	it, err := store.Get(ctx, FinalPrefix+uid)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(it.Value, &r); err != nil {
		return r, fmt.Errorf("read job: %w", err)
	}
	return r, nil
}

// writeLive writes a living job's record in the place of one that has a version, if the key
// of its shard has shardVersion still; 0: nobody owns the shard. It returns the version
// that the record has then.
func (o *Scheduler) writeLive(ctx context.Context, uid string, r *LiveRecord, version, shardVersion uint64) (uint64, error) {
	guards := []wire.Guard{{Key: o.member.ShardKey(r.Shard), Version: shardVersion}, {Key: LivePrefix + uid, Version: version}}
	return o.store.Txn(ctx, guards, wire.Op{Put: LivePrefix + uid, Value: *r})
}

// recordChanged reports whether writeLive failed for the record's version alone, so that
// the newer record can be read and written.
func (o *Scheduler) recordChanged(err error, r *LiveRecord) bool {
	var conflict *statestore.Conflict
	return errors.As(err, &conflict) && !conflict.Has(o.member.ShardKey(r.Shard))
}
