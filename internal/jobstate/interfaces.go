package jobstate

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// Cancellations is what this controller knows of cancelled jobs, its own and others'.
type Cancellations interface {
	IsCancelled(uid string) bool
	// RecordCancelled notes a cancel that the state service has.
	RecordCancelled(uids ...string)
}

// Membership is this controller's standing.
type Membership interface {
	Name() string
	LeaseRemaining() time.Duration
	OwnsShard(shard int) (version uint64, ok bool)
	ClaimedShards() map[int]uint64
	NextToken(ctx context.Context) (uint64, error)
	ShardKey(shard int) string
}

// MachineTypes knows the cloud's machine types.
type MachineTypes interface {
	Type(name string) (wire.MachineType, bool)
}
