package statestore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// controllerShare is the part of the service's limits that one controller may use:
	// the leader needs most of it, and the others hardly any.
	controllerShare = 0.6
	// bulkShare is the part of the writes' budget that bulk may use, so that
	// acceptances, cancels and provisioning never queue behind it.
	bulkShare = 0.7
	// lookupShare is the part of the service's requests for one controller's lookups.
	lookupShare = 0.2

	minRateFraction    = 0.05                   // of a class's full rate that is always left to it
	rateCutInterval  = 250 * time.Millisecond // between two cuts
	recoveryPerSecond       = 0.1                    // of the full rate, in a second without a refusal
	lookupRecoveryPerSecond = 0.05                   // the same of lookups: each time they are too many, a submission may be refused
)

// requestClass is a part of the budget that is cut by itself, in the order in which classes give
// way.
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

func (l *limiter) setFraction(part float64) { l.SetLimit(l.fullRate * rate.Limit(part)) }

// budget keeps a controller's requests within its part of the service's limits, and
// gives way when the service refuses: controllers don't know what the others use.
// Lookups give way first, then bulk, then ordinary requests; leases never do.
type budget struct {
	requests, lookups, writes, bulk limiter

	mu        sync.Mutex
	fractions     [requestClassCount]float64 // of the full rates
	cutAt     time.Time               // last
	changedAt time.Time               // last cut or regain
}

func newBudget(rps, writeRPS float64, maxOps int) *budget {
	return &budget{
		requests: newLimiter(rps*controllerShare, max(1, int(rps*controllerShare))),
		lookups:  newLimiter(rps*lookupShare, max(2, int(rps*lookupShare/2))),
		writes:   newLimiter(writeRPS*controllerShare, max(maxOps, int(writeRPS*controllerShare))),
		bulk:     newLimiter(writeRPS*controllerShare*bulkShare, maxOps),
		fractions:    [requestClassCount]float64{1, 1, 1},
	}
}

// wait waits for a request's turn, which an urgent one need not. If ctx ends before, it
// returns ErrBusy.
func (b *budget) wait(ctx context.Context, priority PriorityClass) error {
	b.recoverRate()
	if priority == Urgent {
		b.requests.Allow()
		return nil
	}
	if priority == Lookup {
		if err := b.lookups.Wait(ctx); err != nil {
			return ErrBusy
		}
	}
	if err := b.requests.Wait(ctx); err != nil {
		return ErrBusy
	}
	return nil
}

// waitWrites waits for the turn of so many changes, as wait does.
func (b *budget) waitWrites(ctx context.Context, priority PriorityClass, changes int) error {
	changes = min(max(1, changes), b.writes.Burst())
	if priority == Urgent {
		b.writes.AllowN(time.Now(), changes)
		return nil
	}
	if err := b.writes.WaitN(ctx, changes); err != nil {
		return ErrBusy
	}
	return nil
}

// admit waits for the turn of a request for a peer, and reports whether it came.
func (b *budget) admit(ctx context.Context, request *RelayedRequest) bool {
	if b.wait(ctx, request.Priority) != nil {
		return false
	}
	return request.Writes <= 0 || b.waitWrites(ctx, request.Priority, request.Writes) == nil
}

// cutRate cuts a class: the service has just refused a request as one too many.
func (b *budget) cutRate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Sub(b.cutAt) < rateCutInterval {
		return
	}
	b.cutAt, b.changedAt = now, now
	for class, by := range [requestClassCount]float64{lookupClass: 0.5, bulkClass: 0.7, ordinaryClass: 0.8} {
		if b.fractions[class] > minRateFraction {
			b.fractions[class] = max(minRateFraction, b.fractions[class]*by)
			break
		}
	}
	b.applyFractionsLocked()
}

// recoverRate gives back what was cut, the last cut first.
func (b *budget) recoverRate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	since := now.Sub(b.changedAt)
	if b.fractions == [requestClassCount]float64{1, 1, 1} || now.Sub(b.cutAt) < 2*rateCutInterval || since < rateCutInterval {
		return
	}
	b.changedAt = now
	for class := requestClassCount - 1; class >= 0; class-- {
		if b.fractions[class] >= 1 {
			continue
		}
		by := recoveryPerSecond
		if class == lookupClass {
			by = lookupRecoveryPerSecond
		}
		b.fractions[class] = min(1, b.fractions[class]+by*min(1, since.Seconds()))
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
