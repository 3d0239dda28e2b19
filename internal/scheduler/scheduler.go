// Package scheduler leads shards of jobs. Each shard has at most one leader among the
// controllers at a time. The package runs the event loop over the in-memory state (package
// jobstate) and calls the packages that make the decisions: planner places tasks, reconcile
// compares workers' heartbeats with the state and grants starts, shardlog persists changes
// before they take effect, and quota leases parts of teams' limits. The package also loads
// shards at a failover, cancels and updates jobs, and answers queries for them.
//
// It does not elect leaders (package membership), communicate with workers (package dispatch),
// or accept submissions (package submission).
package scheduler

import (
	"context"
	"log/slog"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/quota"
	"github.com/wallrack/wallrack/internal/reconcile"
	"github.com/wallrack/wallrack/internal/shardlog"
)

// Dispatchers sends instructions to the dispatcher of a worker, on this controller or a peer.
type Dispatchers interface {
	// SendInstructions returns the halted tasks for which the dispatcher has sent no start
	// command. If it returns an error, the instructions may nevertheless have been carried out.
	SendInstructions(ctx context.Context, dispatcher string, instructions dispatch.Instructions) (dispatch.Unlaunched, error)
}

// Options holds the dependencies and settings of a scheduler.
type Options struct {
	Platform     *config.Platform
	Operator     *config.Operator
	Store        jobrecord.Store
	Member       jobstate.Membership
	Dispatchers  Dispatchers
	MachineTypes jobstate.MachineTypes
	Log          *slog.Logger

	Cancellations     jobstate.Cancellations // cancelled jobs known to this controller, whoever leads their shards; nil: none are tracked
	RemoteJobs        RemoteJobs             // queries other leaders for their jobs; nil: other leaders are not queried
	AccountingEnabled bool                   // accounting rows are written
	LogSlots          int                    // log records per shard before the oldest is overwritten; 0: shardlog.DefaultSlots
}

// Scheduler leads shards of jobs. It is safe for concurrent use.
type Scheduler struct {
	state      *jobstate.State
	planner    *planner.Planner
	reconciler *reconcile.Reconciler
	writer     *shardlog.Writer
	quota      *quota.Manager

	store       jobrecord.Store
	dispatchers Dispatchers
	remoteJobs  RemoteJobs
	log         *slog.Logger

	liveJobs liveJobs // has a lock of its own

	// Guarded by state.Mu.
	listedRevision  map[int]uint64   // shard -> revision of the listing of live jobs from which the shard was loaded
	leadershipEpoch uint64           // incremented each time this scheduler begins to lead shards after leading none
	loading         bool             // shards are being loaded
	bufferedRecords []bufferedRecord // live records received while loading
}

// New returns a scheduler that leads no shard. It does nothing until Run is called.
func New(o Options) *Scheduler {
	state := jobstate.New(o.Platform, o.Operator, o.Member, o.MachineTypes, o.Log)
	state.Cancellations, state.AccountingEnabled = o.Cancellations, o.AccountingEnabled
	limits := quota.New(state, o.Store, o.Log)
	return &Scheduler{
		state:      state,
		planner:    planner.New(state),
		reconciler: reconcile.New(state, o.Log),
		writer:     shardlog.New(state, o.Store, limits, o.LogSlots, o.Log),
		quota:      limits,
		store:      o.Store, dispatchers: o.Dispatchers, remoteJobs: o.RemoteJobs, log: o.Log,
		listedRevision: map[int]uint64{},
	}
}

// LeadershipChanged notifies the scheduler that the set of shards it leads may have changed. It
// does not block.
func (s *Scheduler) LeadershipChanged() { jobstate.Notify(s.state.PlanSignal) }

// LeadershipEpoch returns 0 while this scheduler leads no shard and therefore ignores views.
// Each time it begins to lead shards it returns a new number: views of workers that were sent
// before must then be sent again.
func (s *Scheduler) LeadershipEpoch() uint64 {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	if len(s.state.Loaded) == 0 {
		return 0
	}
	return s.leadershipEpoch
}
