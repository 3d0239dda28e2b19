package shardlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/usage"
)

// writeRateShare is the share of the state service's write rate that shard logs may use.
const writeRateShare = 0.2

// Run writes the state's unwritten changes until ctx ends, one transaction at a time and at
// most writeRateShare of the state service's writes per second. Failed writes are repeated with
// a backoff.
func (w *Writer) Run(ctx context.Context) {
	interval := config.Seconds(1 / max(1, writeRateShare*w.state.Platform.Params.State.WriteRPS))
	for failures := 0; ctx.Err() == nil; {
		start := time.Now()
		more, err := w.WriteOnce(ctx)
		if err != nil {
			w.log.Debug("shard log write failed", "err", err)
			failures++
			statestore.Backoff(ctx, failures, 50*time.Millisecond, time.Second)
			continue
		}
		failures = 0
		if !more {
			select {
			case <-ctx.Done():
			case <-w.state.WriteSignal:
			}
		}
		// Changes that arrive during the pause share a log record.
		periodic.Sleep(ctx, interval-time.Since(start))
	}
}

// WriteOnce writes one transaction of unwritten changes, or repeats the one whose outcome is
// unknown. more reports whether unwritten changes may be left. After an error the transaction
// is kept, and the next call repeats it.
func (w *Writer) WriteOnce(ctx context.Context) (more bool, err error) {
	if len(w.state.Membership.ClaimedShards()) == 0 {
		return false, nil
	}
	txn, more, err := w.nextTransaction()
	if txn == nil {
		return more, err
	}
	txnCtx, cancel := context.WithTimeout(ctx, jobrecord.TxnTimeout)
	revision, err := w.store.BulkTxn(txnCtx, txn.guards, txn.ops...)
	cancel()
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) {
		return true, w.resolveConflict(ctx, txn, conflict.Keys)
	}
	if err != nil {
		return true, fmt.Errorf("write shard logs: %w", err)
	}
	defer usage.AddTime(usage.Commits, time.Now())
	w.state.Mu.Lock()
	defer w.state.Mu.Unlock()
	w.commit(txn, revision)
	return more || len(w.chunkDeletions) > 0, nil
}

// nextTransaction returns the transaction whose outcome is unknown, or else a new one of
// unwritten changes. It returns nil if there is nothing to write.
func (w *Writer) nextTransaction() (txn *transaction, more bool, err error) {
	w.state.Mu.Lock()
	defer w.state.Mu.Unlock()
	start := time.Now()
	if w.pending == nil {
		if w.pending, more, err = w.buildTransaction(); w.pending == nil {
			return nil, more, err
		}
	}
	usage.AddTime(usage.Commits, start)
	return w.pending, more, nil
}
