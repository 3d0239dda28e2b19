// Package reconcile squares the state with what workers report: which placements run, ended,
// were lost or never started, which workers are responsive, and when a worker's lease ends.
// It also decides at the last moment, by GrantLocal, whether a task may start. A placement
// ends only by proof that the task is off the worker; silence proves nothing.
package reconcile

import (
	"log/slog"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wallrack/wallrack/internal/jobstate"
)

// Reconciler applies workers' reports to the state. Its exported methods take the state's Mu
// unless they say that the caller holds it.
type Reconciler struct {
	state *jobstate.State
	log   *slog.Logger

	// Guarded by the state's Mu.
	deleted   *lru.Cache[string, struct{}] // workers that the cloud deleted: late views of them say nothing
	viewCount uint64                       // counts views, to tell which placements one lists

	deferredMu sync.Mutex
	deferred   []deferredView // see deferView
}

// New returns a reconciler of a state.
func New(state *jobstate.State, log *slog.Logger) *Reconciler {
	deleted, _ := lru.New[string, struct{}](maxGone) // fails for sizes below 1 only
	return &Reconciler{state: state, log: log, deleted: deleted}
}
