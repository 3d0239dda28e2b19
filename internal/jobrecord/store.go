package jobrecord

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

const (
	TxnTimeout = 2 * time.Second
)

// Store is what owners need of the state service.
type Store interface {
	Reader
	Lister
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	// BulkTxn is Txn for writes that must not hold up others.
	BulkTxn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	Watch(ctx context.Context, prefix string, hold time.Duration, reset func([]wire.Item), change func([]wire.Event))
}

// Lister reads all keys with a prefix.
type Lister interface {
	List(ctx context.Context, prefix string) ([]wire.Item, uint64, error)
}

// Reader reads keys.
type Reader interface {
	Get(ctx context.Context, key string) (wire.Item, error)
}
