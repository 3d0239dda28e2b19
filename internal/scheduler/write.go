package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	txnBytes   = 56 << 10 // below the state service's limit for a transaction
	txnTimeout = 2 * time.Second
	keepFinal  = 20_000 // ended jobs that are remembered for quick answers
)

// writeShare is the part of the state service's writes that pays for logs:
// it bounds how often they are written.
const writeShare = 0.2

// write records changes, one transaction at a time.
func (o *Scheduler) write(ctx context.Context) {
	pause := seconds(1 / max(1, writeShare*o.cfg.Params.State.WriteRPS))
	for n := 0; ctx.Err() == nil; {
		sent := time.Now()
		more, err := o.writeOnce(ctx)
		switch {
		case err != nil:
			o.log.Debug("write failed", "err", err)
			n++
			statestore.Backoff(ctx, n, 50*time.Millisecond, time.Second)
			continue
		case more:
			n = 0
		default:
			n = 0
			select {
			case <-ctx.Done():
			case <-o.flush:
			}
		}
		// What comes in the meantime shares a record.
		select {
		case <-ctx.Done():
		case <-time.After(pause - time.Since(sent)):
		}
	}
}

// Transaction is a transaction, kept until its outcome is known.
type Transaction struct {
	guards     []wire.Guard
	ops        []wire.Op
	logs       []logWrite
	chunkSaves []chunkSave
	ended      []*Job

	book         *accounting.Book // of page
	unlogged     []Change         // of which only the rows were worth writing
	garbageTaken int
	rows         []accounting.Row
	looseTaken   int // rows that came from Scheduler.loose
	page         accounting.Write
}

type logWrite struct {
	shard   int
	log     *Log
	slot    *logSlot
	fresh   bool // the slot is a new key
	seq     uint64
	changes []Change
	chunks  map[*Chunk]struct{}
}

type chunkSave struct {
	c   *Chunk
	seq uint64
}

// writeOnce records as much as fits one transaction, or repeats the one whose
// outcome is open.
func (o *Scheduler) writeOnce(ctx context.Context) (more bool, err error) {
	if len(o.member.ClaimedShards()) == 0 {
		return false, nil
	}
	o.mu.Lock()
	start := time.Now()
	b := o.open
	if b == nil {
		if b, more, err = o.build(); b == nil {
			o.mu.Unlock()
			return more, err
		}
		o.open = b
	}
	o.mu.Unlock()
	usage.Count(usage.Records, start)
	tctx, cancel := context.WithTimeout(ctx, txnTimeout)
	rev, err := o.store.BulkTxn(tctx, b.guards, b.ops...)
	cancel()
	var conflict *statestore.Conflict
	if errors.As(err, &conflict) {
		return true, o.reread(ctx, b, conflict.Keys)
	}
	if err != nil {
		return true, err
	}
	defer usage.Count(usage.Records, time.Now())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.commit(b, rev)
	return more || len(o.garbage) > 0, nil
}
