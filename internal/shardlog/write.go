package shardlog

import (
	"context"
	"errors"
	"time"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	txnBytes  = 56 << 10 // below the state service's limit for a transaction
	keepFinal = 20_000   // ended jobs that are remembered for quick answers
)

// writeShare is the part of the state service's writes that pays for logs:
// it bounds how often they are written.
const writeShare = 0.2

// write records changes, one transaction at a time.
func (w *Writer) Run(ctx context.Context) {
	pause := config.Seconds(1 / max(1, writeShare*w.state.Platform.Params.State.WriteRPS))
	for n := 0; ctx.Err() == nil; {
		sent := time.Now()
		more, err := w.WriteOnce(ctx)
		switch {
		case err != nil:
			w.log.Debug("write failed", "err", err)
			n++
			statestore.Backoff(ctx, n, 50*time.Millisecond, time.Second)
			continue
		case more:
			n = 0
		default:
			n = 0
			select {
			case <-ctx.Done():
			case <-w.state.WriteSignal:
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
	ended      []*jobstate.Job

	book         *accounting.Book  // of page
	unlogged     []jobstate.Change // of which only the rows were worth writing
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
	changes []jobstate.Change
	chunks  map[*jobstate.Chunk]struct{}
}

type chunkSave struct {
	c   *jobstate.Chunk
	seq uint64
}

// writeOnce records as much as fits one transaction, or repeats the one whose
// outcome is open.
func (w *Writer) WriteOnce(ctx context.Context) (more bool, err error) {
	if len(w.state.Member.ClaimedShards()) == 0 {
		return false, nil
	}
	w.state.Mu.Lock()
	start := time.Now()
	b := w.openTxn
	if b == nil {
		if b, more, err = w.build(); b == nil {
			w.state.Mu.Unlock()
			return more, err
		}
		w.openTxn = b
	}
	w.state.Mu.Unlock()
	usage.Count(usage.Records, start)
	tctx, cancel := context.WithTimeout(ctx, jobrecord.TxnTimeout)
	rev, err := w.store.BulkTxn(tctx, b.guards, b.ops...)
	cancel()
	var conflict *statestore.Conflict
	if errors.As(err, &conflict) {
		return true, w.reread(ctx, b, conflict.Keys)
	}
	if err != nil {
		return true, err
	}
	defer usage.Count(usage.Records, time.Now())
	w.state.Mu.Lock()
	defer w.state.Mu.Unlock()
	w.commit(b, rev)
	return more || len(w.garbage) > 0, nil
}
