package membership

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/usage"
)

// LeaseEndedEarlyMessage is the log message when the state service has ended a lease that was certain to
// hold. No renewal that was sent in time and answered may be followed by it.
const LeaseEndedEarlyMessage = "lease ended before its time"

// LeaseExpiredMessage is the log message when the state service has ended a lease.
const LeaseExpiredMessage = "lease expired"

// retriesPerTTL is the number of renewals in a lease's time to live while the state service refuses them.
const retriesPerTTL = 20

// leaseKeeper renews the lease of one incarnation. A renewal does not wait for the responses to earlier
// ones, and its response counts as long as the renewed lease would hold: a response that takes
// seconds renews the lease as well as a fast one.
type leaseKeeper struct {
	member  *Member
	lease   uint64
	results chan renewalResult

	inFlight    int
	lastFailure error         // of a renewal since the last one that succeeded
	latestTimer time.Duration // how late the renewal timer fired at most since the last renewal that succeeded
}

// renewalResult is the outcome of one renewal.
type renewalResult struct {
	sent time.Time
	err  error
}

func newLeaseKeeper(m *Member) *leaseKeeper {
	return &leaseKeeper{member: m, lease: m.currentLease(), results: make(chan renewalResult)}
}

// run renews the lease until it is lost or ctx ends.
func (k *leaseKeeper) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var renewals sync.WaitGroup
	defer renewals.Wait()
	defer cancel()
	due := time.Now().Add(k.member.ttl / renewalsPerTTL)
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	scheduleNext := func(perTTL int) {
		due = time.Now().Add(k.member.ttl / time.Duration(perTTL))
		timer.Reset(time.Until(due))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			k.latestTimer = max(k.latestTimer, time.Since(due))
			if k.inFlight < renewalsPerTTL {
				k.inFlight++
				renewals.Go(func() { k.renew(ctx) })
			}
			scheduleNext(renewalsPerTTL)
		case result := <-k.results:
			k.inFlight--
			if !k.handle(ctx, result) {
				return
			}
			if errors.Is(result.err, statestore.ErrUnavailable) {
				scheduleNext(retriesPerTTL) // it was refused at once, perhaps by a rate limit
			}
		}
	}
}

// renew sends a renewal and passes its result to run. A response that arrives later than the lease's time
// to live would renew nothing.
func (k *leaseKeeper) renew(ctx context.Context) {
	renewalCtx, cancel := context.WithTimeout(ctx, k.member.ttl)
	defer cancel()
	result := renewalResult{sent: time.Now()}
	result.err = k.member.store.RenewLease(renewalCtx, k.lease)
	select {
	case k.results <- result:
	case <-ctx.Done():
	}
}

// handle records the result of a renewal. It returns false if the lease is lost.
func (k *leaseKeeper) handle(ctx context.Context, result renewalResult) bool {
	switch {
	case result.err == nil:
		k.member.recordRenewal(ctx, result.sent, k.lastFailure)
		k.lastFailure, k.latestTimer = nil, 0
	case errors.Is(result.err, statestore.ErrNotFound):
		k.logLoss()
		return false
	default:
		k.lastFailure = result.err
		k.member.log.Debug("lease renewal failed", "lease", k.lease, "took_s", time.Since(result.sent).Seconds(), "err", result.err)
	}
	return true
}

// logLoss logs that the lease has ended, and whether it was certain to hold.
func (k *leaseKeeper) logLoss() {
	log := k.member.log.With("lease", k.lease)
	if remaining := k.member.LeaseRemaining(); remaining > 0 {
		usage.CountEvent(usage.LeasesEndedEarly)
		log.Error(LeaseEndedEarlyMessage, "remaining_s", remaining.Seconds())
	}
	log.Info(LeaseExpiredMessage, "renewed_s", k.member.sinceRenewal().Seconds(), "in_flight", k.inFlight,
		"timer_late_s", k.latestTimer.Seconds(), "last_failure", k.lastFailure)
}
