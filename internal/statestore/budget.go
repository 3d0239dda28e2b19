package statestore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wallrack/wallrack/internal/wire"
)

// PriorityClass says what a request is for, and so what it may cost others.
type PriorityClass int

const (
	// Ordinary requests share a controller's part of the budget.
	Ordinary PriorityClass = iota
	// Urgent ones never wait: leases, terms, who owns what, and takeovers.
	Urgent
	// Lookup is for reads that answer a user whose job's owner can't be asked.
	// They are the first to give way: without an owner every poll of every user
	// comes to this, and in such a storm no controller could join any more.
	Lookup
)

type priorityKey struct{}

// WithPriority puts the requests made with ctx into a lane.
func WithPriority(ctx context.Context, l PriorityClass) context.Context {
	return context.WithValue(ctx, priorityKey{}, l)
}

func priorityOf(ctx context.Context) PriorityClass {
	l, _ := ctx.Value(priorityKey{}).(PriorityClass)
	return l
}

const (
	lookShare = 0.2                    // of the service's requests, for one controller's lookups
	leastPart = 0.05                   // of a lane's full rate, that is always left to it
	cutEvery  = 250 * time.Millisecond // between two cuts
	grow      = 0.1                    // of the full rate, that a lane regains in a second without a refusal
	growLook  = 0.05                   // the same of lookups: each time they ask for too much, a submission may be refused
)

// budget keeps a controller's requests within its part of the service's limits, and
// gives way when the service refuses: controllers don't know what the others use.
// Lookups give way first, then bulk, then the rest; leases never do.
type budget struct {
	reqs, look, writes, bulk *rate.Limiter

	mu      sync.Mutex
	parts   [3]float64 // of the full rate: lookups, bulk, the rest
	full    [4]rate.Limit
	cut     time.Time // last
	changed time.Time
}

func newBudget(rps, writeRPS float64, maxOps int) *budget {
	b := &budget{
		reqs:   rate.NewLimiter(rate.Limit(rps*share), max(1, int(rps*share))),
		look:   rate.NewLimiter(rate.Limit(rps*lookShare), max(2, int(rps*lookShare/2))),
		writes: rate.NewLimiter(rate.Limit(writeRPS*share), max(maxOps, int(writeRPS*share))),
		bulk:   rate.NewLimiter(rate.Limit(writeRPS*share*bulkShare), maxOps),
		parts:  [3]float64{1, 1, 1},
	}
	b.full = [4]rate.Limit{b.look.Limit(), b.bulk.Limit(), b.reqs.Limit(), b.writes.Limit()}
	return b
}

// wait waits for a request's turn, which an urgent one need not.
func (b *budget) wait(ctx context.Context, l PriorityClass) error {
	b.recover()
	if l == Urgent {
		b.reqs.Allow()
		return nil
	}
	if l == Lookup {
		if err := b.look.Wait(ctx); err != nil {
			return ErrBusy
		}
	}
	if err := b.reqs.Wait(ctx); err != nil {
		return ErrBusy
	}
	return nil
}

// waitWrites waits for the turn of so many changes.
func (b *budget) waitWrites(ctx context.Context, l PriorityClass, n int) error {
	n = min(max(1, n), b.writes.Burst())
	if l == Urgent {
		b.writes.AllowN(time.Now(), n)
		return nil
	}
	if err := b.writes.WaitN(ctx, n); err != nil {
		return ErrBusy
	}
	return nil
}

// refused cuts a lane: the service has just refused a request as one too many.
func (b *budget) refused() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Sub(b.cut) < cutEvery {
		return
	}
	b.cut, b.changed = now, now
	for i, by := range [...]float64{0.5, 0.7, 0.8} {
		if b.parts[i] > leastPart {
			b.parts[i] = max(leastPart, b.parts[i]*by)
			break
		}
	}
	b.set()
}

// recover gives back what was cut, the last cut first.
func (b *budget) recover() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	since := now.Sub(b.changed)
	if b.parts == [3]float64{1, 1, 1} || now.Sub(b.cut) < 2*cutEvery || since < cutEvery {
		return
	}
	b.changed = now
	for i := len(b.parts) - 1; i >= 0; i-- {
		if b.parts[i] < 1 {
			by := grow
			if i == 0 {
				by = growLook
			}
			b.parts[i] = min(1, b.parts[i]+by*min(1, since.Seconds()))
			break
		}
	}
	b.set()
}

func (b *budget) set() {
	b.look.SetLimit(b.full[0] * rate.Limit(b.parts[0]))
	b.bulk.SetLimit(b.full[1] * rate.Limit(b.parts[1]))
	b.reqs.SetLimit(b.full[2] * rate.Limit(b.parts[2]))
	b.writes.SetLimit(b.full[3] * rate.Limit(b.parts[2]))
}

// UrgentClient is a client whose every request is urgent.
type UrgentClient struct{ *Client }

// Get reads a key.
func (u UrgentClient) Get(ctx context.Context, key string) (wire.Item, error) {
	return u.Client.Get(WithPriority(ctx, Urgent), key)
}

// Txn applies a transaction and returns its revision.
func (u UrgentClient) Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error) {
	return u.Client.Txn(WithPriority(ctx, Urgent), guards, ops...)
}

// Watch follows a prefix, see Client.Watch.
func (u UrgentClient) Watch(ctx context.Context, prefix string, hold time.Duration, reset func([]wire.Item), change func([]wire.Event)) {
	u.Client.Watch(WithPriority(ctx, Urgent), prefix, hold, reset, change)
}
