package submission

import (
	"context"

	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// Store is the part of the state service that a Service uses.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
}

// Jobs is the scheduler in this process. It knows the jobs of the shards that this controller
// leads.
type Jobs interface {
	// LocalState returns the state of a job that this controller leads.
	LocalState(uid string) (wire.JobState, bool)
	// RefineState adds to a stored state what this controller knows of the job's tasks.
	RefineState(stored wire.JobState) wire.JobState
	// JobAccepted notifies the scheduler of a job that was recorded.
	JobAccepted(job *wire.Job, t *jobspec.Constraints, shard int, atMs int64, version uint64)
	// Cancel cancels a job permanently and returns its state.
	Cancel(ctx context.Context, uid string) (wire.JobState, error)
}

// StageAuthority may be implemented by Jobs. The state service records every live job as
// queued, running or not. With a StageAuthority, a job that was not accepted just now is reported as
// queued only on its leader's word; without one, the stored stage is reported.
type StageAuthority interface {
	// SurelyQueued reports whether this controller leads the shard of a live job and knows
	// that no task of the job runs.
	SurelyQueued(uid string, shard int) bool
}

// LiveJobs may be implemented by Jobs with a StageAuthority. The state service does not say of a live
// job whether its tasks run, so that a poll for it waits for the job's leader before it is looked up.
type LiveJobs interface {
	// KnownLive reports whether another controller's job was live and not cancelled when the state service
	// last reported a change, and was not accepted just now.
	KnownLive(uid string) bool
}

// Catalog returns the machine types.
type Catalog interface {
	// All returns every machine type, or none while they are unknown.
	All() []wire.MachineType
}

// Peers are the other controllers.
type Peers interface {
	// ShardLeaders returns the names of the other controllers that lead shards.
	ShardLeaders() []string
	// ServingPeers returns the names of the other controllers that reach the state service.
	ServingPeers() []string
	// QueryPeer makes a peer serve a request.
	QueryPeer(ctx context.Context, peer string, r Request) (*Reply, error)
	// Healthy reports whether this controller should receive users' requests.
	Healthy() bool
}

// Cancellations reports which cancels are effective at all controllers.
type Cancellations interface {
	// Confirm returns nil if every controller knows of the job's cancel, or stops responding to
	// workers before it could start tasks of the job. After an error the job must not be
	// reported as cancelled.
	Confirm(uid string) error
}

// Numbers allocates job numbers and finds jobs by number.
type Numbers interface {
	// Take allocates count consecutive numbers and returns the first.
	Take(ctx context.Context, count int) (uint64, error)
	// Allocated reports whether count numbers from first on were allocated.
	Allocated(ctx context.Context, first uint64, count int) (bool, error)
	// Find returns the job with a number, or statestore.ErrNotFound.
	Find(ctx context.Context, n uint64) (jobid.Job, error)
}
