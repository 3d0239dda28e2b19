// Package reconcile compares workers' heartbeats with the leader's state and settles what they
// show: which placements run, ended, were lost or never started, which workers are responsive,
// and which tasks to stop because their worker's lease is about to expire. It also decides, at
// the last moment, whether a task may start (Reconciler.GrantLocal).
//
// A placement ends only by proof that its task is not on the worker: a newer report that does
// not list it, the deletion of the worker, or the attested end of its lease. A missing
// heartbeat proves nothing.
//
// The package keeps no state of its own but what tells late heartbeats from new ones. It does
// no input or output: what is to be sent or written is added to the state, and signalled. It
// does not choose workers for tasks (package planner) or decide which unresponsive workers are
// deleted (package reachability).
package reconcile

import (
	"log/slog"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wallrack/wallrack/internal/jobstate"
)

// maxDeleted is how many deleted workers are remembered.
const maxDeleted = 4096

// Reconciler applies workers' heartbeats to the state. Its exported methods are safe for
// concurrent use and take the state's Mu, unless they say that the caller holds it.
type Reconciler struct {
	state *jobstate.State
	log   *slog.Logger

	// Guarded by the state's Mu.
	deleted   *lru.Cache[string, struct{}] // workers that the cloud deleted: late views of them are ignored
	viewCount uint64                       // counts views, to tell which placements the current one lists

	deferredMu sync.Mutex
	deferred   []deferredView // see deferView
}

// New returns a reconciler of a state.
func New(state *jobstate.State, log *slog.Logger) *Reconciler {
	deleted, _ := lru.New[string, struct{}](maxDeleted) // fails for sizes below 1 only
	return &Reconciler{state: state, log: log, deleted: deleted}
}
