package scheduler

import (
	"context"
	"errors"
	"fmt"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// readLive reads a living job's record and its version. The error is
// statestore.ErrNotFound if the job ended or was never accepted.
func readLive(ctx context.Context, store Reader, uid string) (r liveRecord, version uint64, err error) {
	it, err := store.Get(ctx, liveKey+uid)
	if err != nil {
		return r, 0, err
	}
	if err := json.Unmarshal(it.Value, &r); err != nil {
		return r, 0, fmt.Errorf("read job: %w", err)
	}
	return r, it.Version, nil
}

// readFinal reads the record of a job that ended. The error is statestore.ErrNotFound if
// there is none.
func readFinal(ctx context.Context, store Reader, uid string) (r finalRecord, err error) {
	it, err := store.Get(ctx, finalKey+uid)
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
func (o *Owner) writeLive(ctx context.Context, uid string, r *liveRecord, version, shardVersion uint64) (uint64, error) {
	guards := []wire.Guard{{Key: o.member.ShardKey(r.Shard), Version: shardVersion}, {Key: liveKey + uid, Version: version}}
	return o.store.Txn(ctx, guards, wire.Op{Put: liveKey + uid, Value: *r})
}

// recordChanged reports whether writeLive failed for the record's version alone, so that
// the newer record can be read and written.
func (o *Owner) recordChanged(err error, r *liveRecord) bool {
	var conflict *statestore.Conflict
	return errors.As(err, &conflict) && !conflict.Has(o.member.ShardKey(r.Shard))
}
