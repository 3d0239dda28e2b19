package controller

import (
	"context"
	"log/slog"
	"time"

	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
)

const (
	storeReadInterval      = 2500 * time.Millisecond // minimum pause between reads of the state service
	storeReadPauseFactor   = 20                      // pause as a multiple of the read's duration, to bound the load
	storeReadsInGrace      = 3                       // pauses that fit into responseGrace, so that one read may fail
	storeReadTimeout       = 5 * time.Second
	storeReadCheckInterval = exchangeInterval / 2 // between checks whether a read is needed
)

// cancellationReader reads the cancelled jobs from the state service while the peers' messages
// do not cover all cancels that may have been confirmed.
type cancellationReader struct {
	registry *cancellation.Registry
	store    *statestore.Client
	grace    time.Duration // see responseGrace
	log      *slog.Logger
}

func (r *cancellationReader) run(ctx context.Context) {
	for pause := time.Duration(0); ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(pause, storeReadCheckInterval)):
		}
		pause = 0
		if r.registry.NeedsStoreRead(stalePeerAfter) {
			pause = r.read(ctx)
		}
	}
}

// read reads the cancelled jobs once, and returns how long to wait before the next read.
func (r *cancellationReader) read(ctx context.Context) time.Duration {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(statestore.WithPriority(ctx, statestore.Urgent), storeReadTimeout)
	defer cancel()
	jobs, err := scheduler.ReadCancelledJobs(ctx, r.store)
	if err != nil {
		r.log.Debug("reading cancellations failed", "err", err)
		return exchangeInterval
	}
	r.registry.RecordStoreRead(sent, jobs)
	return r.pauseAfter(time.Since(sent))
}

// pauseAfter returns the pause after a successful read of the given duration. However slow the state service
// is, the next read comes while this controller may still respond to workers.
func (r *cancellationReader) pauseAfter(duration time.Duration) time.Duration {
	return max(storeReadInterval, min(storeReadPauseFactor*duration, r.grace/storeReadsInGrace))
}
