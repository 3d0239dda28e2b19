package statestore

import (
	"context"
	"strconv"
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
	// they would use up the service's budget, so that no controller could join.
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

// WithPriority sets the priority of the requests made with ctx; others are Ordinary.
func WithPriority(ctx context.Context, priority PriorityClass) context.Context {
	return context.WithValue(ctx, priorityKey{}, priority)
}

func priorityOf(ctx context.Context) PriorityClass {
	priority, _ := ctx.Value(priorityKey{}).(PriorityClass)
	return priority
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
