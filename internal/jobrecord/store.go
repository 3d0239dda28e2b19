package jobrecord

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// TxnTimeout is how long a caller waits for a transaction or a read before its outcome counts
// as unknown.
const TxnTimeout = 2 * time.Second

// Store is the part of the state service that schedulers use.
type Store interface {
	Reader
	Lister
	// Txn applies all ops if all guards hold, and returns the version that the keys have then.
	// Errors are as those of statestore.Client.Txn: a statestore.Conflict names the guards that
	// do not hold, and statestore.ErrUnknown leaves open whether the ops were applied.
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	// BulkTxn is Txn for writes that must not delay others.
	BulkTxn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	// Watch calls reset with all items under the prefix, then change with each later event,
	// and reset again whenever events may have been missed. It returns when ctx ends. A request
	// waits for events for at most hold.
	Watch(ctx context.Context, prefix string, hold time.Duration, reset func([]wire.Item), change func([]wire.Event))
}

// Lister lists keys.
type Lister interface {
	// List returns all items under a prefix, and the oldest revision that they may show.
	List(ctx context.Context, prefix string) ([]wire.Item, uint64, error)
}

// Reader reads single keys.
type Reader interface {
	// Get returns the item at a key. The error is statestore.ErrNotFound if there is none.
	Get(ctx context.Context, key string) (wire.Item, error)
}
