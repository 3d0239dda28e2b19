package statestore

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// PriorityClass determines how a request shares the budget with others. The values are those
// in messages between controllers.
type PriorityClass int

const (
	// Ordinary requests share a controller's part of the budget.
	Ordinary PriorityClass = iota
	// Urgent requests never wait: leases, fencing tokens, leaders of shards, and failovers.
	Urgent
	// Lookup is for reads on behalf of a user whose job's leader can't be queried. They are
	// limited first: without a leader every poll of every user causes one, and without a limit
	// they would use up the service's budget, so that no controller could join. Only the first
	// read with a context waits for the budget, see WithPriority.
	Lookup
)

// String returns the class's name.
func (p PriorityClass) String() string {
	switch p {
	case Ordinary:
		return "ordinary"
	case Urgent:
		return "urgent"
	case Lookup:
		return "lookup"
	}
	return "PriorityClass(" + strconv.Itoa(int(p)) + ")"
}

type priorityKey struct{}

// requestPriority is the priority of the requests made with a context.
type requestPriority struct {
	class PriorityClass
	// admittedReads is the number of a lookup's reads that the budget has admitted. All but the first
	// are counted but don't wait: if they could be refused, many lookups at once would use up the
	// budget, and none would complete.
	admittedReads atomic.Int32
}

// isFurtherRead reports whether the next read belongs to a lookup that the budget has admitted.
func (p *requestPriority) isFurtherRead() bool {
	return p.class == Lookup && p.admittedReads.Load() > 0
}

// wasFurtherRead reports whether the read that the budget admitted last belongs to a lookup of which
// an earlier read was admitted.
func (p *requestPriority) wasFurtherRead() bool { return p.admittedReads.Load() > 1 }

// WithPriority sets the priority of the requests made with ctx; others are Ordinary. With the
// priority Lookup, ctx is one lookup, which may consist of several reads, one after the other.
func WithPriority(ctx context.Context, class PriorityClass) context.Context {
	return context.WithValue(ctx, priorityKey{}, &requestPriority{class: class})
}

// ordinary is the priority of requests without one.
var ordinary = &requestPriority{class: Ordinary}

func priorityOf(ctx context.Context) *requestPriority {
	if priority, ok := ctx.Value(priorityKey{}).(*requestPriority); ok {
		return priority
	}
	return ordinary
}

// UrgentClient is a client whose every request is urgent.
type UrgentClient struct{ *Client }

// Get is Client.Get.
func (u UrgentClient) Get(ctx context.Context, key string) (wire.Item, error) {
	return u.Client.Get(WithPriority(ctx, Urgent), key)
}

// Txn is Client.Txn.
func (u UrgentClient) Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error) {
	return u.Client.Txn(WithPriority(ctx, Urgent), guards, ops...)
}

// Watch is Client.Watch.
func (u UrgentClient) Watch(ctx context.Context, prefix string, hold time.Duration, reset func([]wire.Item), change func([]wire.Event)) {
	u.Client.Watch(WithPriority(ctx, Urgent), prefix, hold, reset, change)
}
