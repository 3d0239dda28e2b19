package jobrecord

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// TxnTimeout is the maximum duration of a transaction or a read. After it the outcome of a
// transaction counts as unknown.
const TxnTimeout = 2 * time.Second

// Store is the part of the state service that schedulers use.
type Store interface {
	Reader
	Lister
	// Txn applies all operations if all guards hold, and returns the new version of the written
	// keys. Errors are those of statestore.Client.Txn: a statestore.ConflictError names the
	// keys whose guards failed, and after statestore.ErrUnknown the operations may or may not
	// have been applied.
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	// BulkTxn is Txn with an additional rate limit, for writes that must not delay others.
	BulkTxn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	// Watch calls reset with all items under the prefix, then change with each later batch of
	// events, and reset again whenever events may have been missed. It returns when ctx ends. A
	// single request waits for events for at most hold.
	Watch(ctx context.Context, prefix string, hold time.Duration, reset func([]wire.Item), change func([]wire.Event))
}

// Lister lists keys.
type Lister interface {
	// List returns all items under a prefix, as of the returned revision or later.
	List(ctx context.Context, prefix string) ([]wire.Item, uint64, error)
}

// Reader reads single keys.
type Reader interface {
	// Get returns the item at a key. The error wraps statestore.ErrNotFound if there is none.
	Get(ctx context.Context, key string) (wire.Item, error)
}
