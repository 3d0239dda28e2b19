package statestore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// controllerShare is the fraction of the service's limits that one controller may use: the
	// leader needs most of it, and the others hardly any.
	controllerShare = 0.6
	// bulkShare is the fraction of a controller's writes that bulk writes may use, so that
	// acceptances, cancels and provisioning never queue behind them.
	bulkShare = 0.7
	// lookupShare is the fraction of the service's requests that one controller's lookups may
	// use.
	lookupShare = 0.2

	minRateFraction         = 0.05                   // no class is cut below this fraction of its full rate
	minLeaderRateFraction   = 0.5                    // the same, for all but the lookups of a controller that leads shards
	rateCutInterval         = 250 * time.Millisecond // between two cuts
	refusalLogInterval      = 10 * time.Second       // minimum time between two log lines about refusals
	recoveryPerSecond       = 0.1                    // fraction of the full rate regained in a second without a refusal
	lookupRecoveryPerSecond = 0.05                   // the same, for lookups: whenever they exceed the limit, submissions may be refused
)

// requestClass is a part of the budget whose rate is cut separately. Classes are cut in this
// order.
type requestClass int

const (
	lookupClass requestClass = iota
	bulkClass
	ordinaryClass
	requestClassCount
)

// limiter is a rate limiter whose rate can be cut.
type limiter struct {
	*rate.Limiter
	fullRate rate.Limit
}

func newLimiter(perSecond float64, burst int) limiter {
	return limiter{rate.NewLimiter(rate.Limit(perSecond), burst), rate.Limit(perSecond)}
}

func (l *limiter) setFraction(fraction float64) { l.SetLimit(l.fullRate * rate.Limit(fraction)) }

// budget keeps a controller's requests within its part of the service's limits, and cuts its
// rates when the service refuses a request: controllers don't know how much the others use.
// Lookups are cut first, then bulk, then ordinary requests; lease requests never are.
//
// A leader keeps minLeaderRateFraction of its rates: while its writes wait, users ask again and other
// controllers read more. The least rates of a leader and of six others are less than half of the
// service's limits together, which leaves the other half to urgent requests.
type budget struct {
	requests, lookups, writes, bulk limiter
	leads                           func() bool // nil: this controller leads no shard

	mu        sync.Mutex
	fractions [requestClassCount]float64 // of the full rates
	cutAt     time.Time                  // time of the last cut
	changedAt time.Time                  // time of the last cut or recovery
	loggedAt  time.Time                  // when a refusal of the service was last logged
}

func newBudget(rps, writeRPS float64, maxOps int) *budget {
	return &budget{
		requests:  newLimiter(rps*controllerShare, max(1, int(rps*controllerShare))),
		lookups:   newLimiter(rps*lookupShare, max(2, int(rps*lookupShare/2))),
		writes:    newLimiter(writeRPS*controllerShare, max(maxOps, int(writeRPS*controllerShare))),
		bulk:      newLimiter(writeRPS*controllerShare*bulkShare, maxOps),
		fractions: [requestClassCount]float64{1, 1, 1},
	}
}

// wait waits until the budget allows a request. An urgent request, and one of an admitted lookup, is
// counted but does not wait. If ctx ends first, or its deadline is too early, wait returns ErrBusy.
func (b *budget) wait(ctx context.Context, priority *requestPriority) error {
	b.recoverRate()
	switch {
	case priority.class == Urgent:
		b.requests.Allow()
		return nil
	case priority.isFurtherRead():
		b.lookups.Reserve()
		b.requests.Reserve()
		priority.admittedReads.Add(1)
		return nil
	case priority.class == Lookup:
		if err := b.lookups.Wait(ctx); err != nil {
			return ErrBusy
		}
	}
	if err := b.requests.Wait(ctx); err != nil {
		return ErrBusy
	}
	if priority.class == Lookup {
		priority.admittedReads.Add(1)
	}
	return nil
}

// waitWrites waits until the budget allows the given number of writes, as wait does for a request.
func (b *budget) waitWrites(ctx context.Context, priority *requestPriority, changes int) error {
	changes = min(max(1, changes), b.writes.Burst())
	if priority.class == Urgent {
		b.writes.AllowN(time.Now(), changes)
		return nil
	}
	if err := b.writes.WaitN(ctx, changes); err != nil {
		return ErrBusy
	}
	return nil
}

// admit waits until the budget allows a request for a peer, and reports whether it did.
func (b *budget) admit(ctx context.Context, request *RelayedRequest) bool {
	priority := &requestPriority{class: request.Priority}
	if request.FurtherRead {
		priority.admittedReads.Add(1)
	}
	if b.wait(ctx, priority) != nil {
		return false
	}
	return request.Writes <= 0 || b.waitWrites(ctx, priority, request.Writes) == nil
}

// cutRate cuts the rate of the first class that is not at its minimum, at most once per
// rateCutInterval. It is called after the service has refused a request over its limits.
func (b *budget) cutRate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Sub(b.cutAt) < rateCutInterval {
		return
	}
	b.cutAt, b.changedAt = now, now
	for class, factor := range [requestClassCount]float64{lookupClass: 0.5, bulkClass: 0.7, ordinaryClass: 0.8} {
		if least := b.minFraction(requestClass(class)); b.fractions[class] > least {
			b.fractions[class] = max(least, b.fractions[class]*factor)
			break
		}
	}
	b.applyFractionsLocked()
}

// minFraction returns the fraction of its full rate below which a class is not cut.
func (b *budget) minFraction(class requestClass) float64 {
	if class != lookupClass && b.leads != nil && b.leads() {
		return minLeaderRateFraction
	}
	return minRateFraction
}

// raiseToMinimumLocked raises the rates that were cut before this controller became a leader.
func (b *budget) raiseToMinimumLocked() {
	for class := range requestClassCount {
		if least := b.minFraction(class); b.fractions[class] < least {
			b.fractions[class] = least
			b.applyFractionsLocked()
		}
	}
}

// recoverRate raises the rate of one class that was cut, unless a cut or an increase was too
// recent. Classes recover in the reverse of the order in which they are cut.
func (b *budget) recoverRate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fractions == [requestClassCount]float64{1, 1, 1} {
		return
	}
	b.raiseToMinimumLocked()
	now := time.Now()
	since := now.Sub(b.changedAt)
	if now.Sub(b.cutAt) < 2*rateCutInterval || since < rateCutInterval {
		return
	}
	b.changedAt = now
	for class := requestClassCount - 1; class >= 0; class-- {
		if b.fractions[class] >= 1 {
			continue
		}
		increase := recoveryPerSecond
		if class == lookupClass {
			increase = lookupRecoveryPerSecond
		}
		b.fractions[class] = min(1, b.fractions[class]+increase*min(1, since.Seconds()))
		break
	}
	b.applyFractionsLocked()
}

func (b *budget) applyFractionsLocked() {
	b.lookups.setFraction(b.fractions[lookupClass])
	b.bulk.setFraction(b.fractions[bulkClass])
	b.requests.setFraction(b.fractions[ordinaryClass])
	b.writes.setFraction(b.fractions[ordinaryClass])
}

// fractionsToLog returns the fractions of the full rates, and whether a refusal is to be logged now.
func (b *budget) fractionsToLog() (fractions [requestClassCount]float64, due bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.loggedAt) < refusalLogInterval {
		return b.fractions, false
	}
	b.loggedAt = time.Now()
	return b.fractions, true
}

// logRefusal logs that the service refused a request over its limits, and the rates left, as fractions
// of the full ones.
func (c *Client) logRefusal() {
	if c.route.log == nil {
		return
	}
	if fractions, due := c.budget.fractionsToLog(); due {
		c.route.log.Info("state service over its limits",
			"lookups", fractions[lookupClass], "bulk", fractions[bulkClass], "ordinary", fractions[ordinaryClass])
	}
}
