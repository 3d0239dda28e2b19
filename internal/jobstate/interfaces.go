package jobstate

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// Cancellations holds the cancelled jobs known to this controller, including those of other
// leaders.
type Cancellations interface {
	// IsCancelled reports whether the job is known to be cancelled.
	IsCancelled(uid string) bool
	// RecordCancelled adds jobs whose cancels the state service has recorded.
	RecordCancelled(uids ...string)
}

// Membership is this controller's membership in the cluster: its lease and its shards.
type Membership interface {
	// Name returns the controller's name.
	Name() string
	// LeaseRemaining returns the time for which the controller's lease is certain to last; the
	// lease may have expired if it is not positive.
	LeaseRemaining() time.Duration
	// LeadsShard reports whether the controller is certain to lead the shard now, and returns
	// the version of the shard's key.
	LeadsShard(shard int) (version uint64, ok bool)
	// ClaimedShards returns the versions of the keys of the shards that the controller has
	// claimed, by shard, whether or not its lease has expired.
	ClaimedShards() map[int]uint64
	// NextToken returns a fencing token higher than all previous ones.
	NextToken(ctx context.Context) (uint64, error)
	// ShardKey returns the key under which the state service stores the shard's leader.
	ShardKey(shard int) string
}

// MachineTypes are the machine types of the cloud.
type MachineTypes interface {
	// Type returns the machine type of that name; false if it is unknown.
	Type(name string) (wire.MachineType, bool)
}
