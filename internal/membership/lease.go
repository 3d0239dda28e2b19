package membership

import (
	"context"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/statestore"
)

const (
	clockDriftRate      = 0.002                 // four times the largest relative drift between two monotonic clocks
	timerLatency        = 60 * time.Millisecond // how late timers may fire
	renewalsPerTTL      = 5
	watchHold           = 20 * time.Second
	minRemainingToClaim = time.Second // remaining time of the lease below which no shard is claimed
)

// Alive reports whether a controller is registered, as far as this controller knows: its lease
// has not ended.
func (m *Member) Alive(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.nodes[name]
	return ok
}

// LeaseRemaining returns the time for which the lease is certain to hold. It counts from the
// send of the last renewal that succeeded, less clock drift.
func (m *Member) LeaseRemaining() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaseRemainingLocked()
}

func (m *Member) leaseRemainingLocked() time.Duration {
	if m.lease == 0 {
		return 0
	}
	safe := m.ttl - time.Duration(float64(m.ttl)*clockDriftRate) - timerLatency
	return max(0, safe-time.Since(m.renewalSentAt))
}

// Run joins, renews the lease, watches the other controllers and claims shards until ctx ends,
// and returns ctx's error. After a lost lease it joins again as a new incarnation. All
// goroutines that it started have ended when it returns.
func (m *Member) Run(ctx context.Context) error {
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		m.store.Watch(ctx, keyPrefix, watchHold, m.applyListing, m.applyEvents)
	}()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if err := m.join(ctx); err != nil {
			m.log.Info("joining failed", "err", err)
			statestore.Backoff(ctx, attempt, 100*time.Millisecond, time.Second)
			continue
		}
		attempt = 0
		m.runIncarnation(ctx)
		m.endIncarnation()
	}
	<-watching
	m.reservationsInFlight.Wait()
	return ctx.Err()
}

// runIncarnation renews the lease, and claims and releases shards, until the lease is lost or ctx
// ends. The renewal has a goroutine of its own: the requests about shards may wait for seconds.
func (m *Member) runIncarnation(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var renewing sync.WaitGroup
	renewing.Go(func() {
		defer cancel()
		newLeaseKeeper(m).run(ctx)
	})
	m.maintainShards(ctx)
	renewing.Wait()
}

// maintainShards claims and releases shards until ctx ends.
func (m *Member) maintainShards(ctx context.Context) {
	claimAgain := time.NewTimer(m.ttl)
	claimAgain.Stop()
	defer claimAgain.Stop()
	checkAgain := time.NewTicker(m.ttl / renewalsPerTTL)
	defer checkAgain.Stop()
	var excessSince time.Time
	for ctx.Err() == nil {
		m.reclaim(ctx)
		if wait := m.claim(ctx); wait > 0 {
			claimAgain.Reset(wait)
		}
		excessSince = m.releaseExcess(ctx, excessSince)
		select {
		case <-ctx.Done():
		case <-m.wake:
		case <-claimAgain.C:
		case <-checkAgain.C:
		}
	}
}

// recordRenewal records a successful renewal that was sent at the given time, and reserves a
// fencing token if that is due. It reports a change if the lease was not certain to hold before;
// lastFailure is the last error of a renewal since the previous success, or nil.
func (m *Member) recordRenewal(ctx context.Context, sent time.Time, lastFailure error) {
	m.mu.Lock()
	before := m.leaseRemainingLocked()
	if sent.After(m.renewalSentAt) { // the responses may arrive in another order
		m.renewalSentAt = sent
	}
	after := m.leaseRemainingLocked()
	m.mu.Unlock()
	m.reserveToken(ctx)
	if before <= 0 && after > 0 {
		m.log.Info("lease regained", "last_failure", lastFailure)
		m.notifyChange()
	}
}

// sinceRenewal returns the time since the last successful renewal was sent.
func (m *Member) sinceRenewal() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.renewalSentAt)
}

// endIncarnation clears the state that was held under a lost lease.
func (m *Member) endIncarnation() {
	m.mu.Lock()
	m.lease, m.reservedTokens = 0, nil
	m.claimed, m.pending = map[int]uint64{}, map[int]uint64{}
	m.mu.Unlock()
	m.notifyChange()
}
