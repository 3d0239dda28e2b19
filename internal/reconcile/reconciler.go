// Package reconcile compares workers' heartbeats with the leader's state and applies the
// differences: which placements run, ended, were lost or never started, which workers are
// responsive, and which tasks to stop because their worker's lease is about to expire. It also
// makes the final decision whether a task may start (Reconciler.GrantLocal).
//
// A granted placement whose task has not exited ends only by proof that the task is not on the
// worker: a newer heartbeat that does not list it, a later session of the worker, the deletion of
// the worker, the attested expiry of its lease, or the dispatcher's statement that it sent no start
// command. A missing heartbeat proves nothing. Once the task has exited, the placement ends when
// the completion is recorded. Placements that were never granted are withdrawn without proof.
//
// The package itself holds only deferred views and what it needs to detect late views. It does
// no input or output: messages and records are queued in the state and signalled. It does not
// choose workers for tasks (package planner) or decide which unresponsive workers to delete
// (package reachability).
package reconcile

import (
	"log/slog"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wallrack/wallrack/internal/jobstate"
)

// maxDeleted is the maximum number of deleted workers that are remembered.
const maxDeleted = 4096

// Reconciler applies workers' heartbeats to the state. Its exported methods are safe for
// concurrent use and lock the state's Mu, unless they state that the caller holds it.
type Reconciler struct {
	state *jobstate.State
	log   *slog.Logger

	// Guarded by the state's Mu.
	deleted   *lru.Cache[string, struct{}] // workers deleted by the cloud, whose late views are ignored
	viewCount uint64                       // number of views reconciled so far, see jobstate.Placement.SeenInView

	deferredMu sync.Mutex
	deferred   []deferredView // see deferView
}

// New returns a reconciler for the state.
func New(state *jobstate.State, log *slog.Logger) *Reconciler {
	deleted, _ := lru.New[string, struct{}](maxDeleted) // fails only for sizes below 1
	return &Reconciler{state: state, log: log, deleted: deleted}
}
