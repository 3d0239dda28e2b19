package dispatch

import (
	"context"

	"github.com/wallrack/wallrack/internal/wire"
)

// Schedulers are the leaders of the tasks, here or elsewhere.
type Schedulers interface {
	// ObserveWorker passes a new view to the scheduler in this process. It is called without
	// the Dispatcher's lock.
	ObserveWorker(WorkerView)
	// GrantLocal requests a grant from the scheduler in this process. It is called with the
	// Dispatcher's lock held, and must not call the Dispatcher.
	GrantLocal(GrantRequest) GrantReply
	// GrantRemote requests grants from a leader elsewhere; the replies are in the order of the
	// requests.
	GrantRemote(ctx context.Context, owner string, requests []GrantRequest) ([]GrantReply, error)
}

// Tokens are this controller's fencing tokens.
type Tokens interface {
	// FencingToken is the token that this controller's commands carry now; 0 without one.
	FencingToken() uint64
	// RaiseTokenAbove draws a higher token and returns it.
	RaiseTokenAbove(ctx context.Context, above uint64) (uint64, error)
	// ReservedTokenAbove is a higher token that was drawn ahead of time, for when none can be
	// drawn now, or 0.
	ReservedTokenAbove(above uint64) uint64
}

// MachineTypes knows the cloud's machine types.
type MachineTypes interface {
	// Type returns false if the type is not known.
	Type(name string) (wire.MachineType, bool)
}

// Cancellations knows which jobs were cancelled.
type Cancellations interface {
	IsCancelled(uid string) bool
}

// Routing says whether this controller may act for a worker, and which one
// should instead.
type Routing interface {
	// LeaderFor names the controller to which a worker should report, "" for none.
	LeaderFor(worker string) string
	// MayAnswerWorkers reports whether this controller may answer workers.
	MayAnswerWorkers() bool
	// Isolated reports whether this controller can start nothing, and knows of no
	// other that can, while there may be one.
	Isolated() bool
}
