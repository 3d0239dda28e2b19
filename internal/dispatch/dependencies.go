package dispatch

import (
	"context"

	"github.com/wallrack/wallrack/internal/wire"
)

// Schedulers are the schedulers that lead the tasks, in this process and on other controllers.
type Schedulers interface {
	// ObserveWorker passes a new view to the scheduler in this process. The Dispatcher's lock is not
	// held.
	ObserveWorker(WorkerView)
	// GrantLocal requests a grant from the scheduler in this process. The Dispatcher's lock is held,
	// so GrantLocal must not call the Dispatcher.
	GrantLocal(GrantRequest) GrantReply
	// GrantRemote requests grants from a leader on another controller. The replies are in the order
	// of the requests.
	GrantRemote(ctx context.Context, leader string, requests []GrantRequest) ([]GrantReply, error)
}

// Tokens are this controller's fencing tokens.
type Tokens interface {
	// FencingToken returns the token that this controller's commands carry now, 0 if it has none.
	FencingToken() uint64
	// RaiseTokenAbove obtains a token higher than above and returns it.
	RaiseTokenAbove(ctx context.Context, above uint64) (uint64, error)
	// ReservedTokenAbove returns a higher token that was obtained in advance, for use while
	// RaiseTokenAbove fails, or 0.
	ReservedTokenAbove(above uint64) uint64
}

// MachineTypes looks up the cloud's machine types.
type MachineTypes interface {
	// Type returns false if the type is unknown.
	Type(name string) (wire.MachineType, bool)
}

// Cancellations tells which jobs were cancelled.
type Cancellations interface {
	IsCancelled(uid string) bool
}

// Routing tells whether this controller may act for a worker, and to which controller the worker
// should report instead.
type Routing interface {
	// LeaderFor returns the controller to which a worker should report, "" if there is none.
	LeaderFor(worker string) string
	// MayAnswerWorkers reports whether this controller may answer workers.
	MayAnswerWorkers() bool
	// Isolated reports whether this controller can start no tasks and knows of no controller that
	// can, although there may be one.
	Isolated() bool
}
