// Package scheduler leads shards of jobs: each shard is led by at most one controller at a
// time. It runs the event loop over the state (package jobstate) with the packages that
// decide for it: planner places tasks, reconcile compares workers' heartbeats with the state
// and grants starts, shardlog writes what happened before it is acted on, quota leases parts
// of teams' limits. It loads shards at a failover, cancels and updates jobs, and answers
// queries for them.
//
// It does not elect leaders (package membership), speak to workers (package dispatch), or
// accept submissions (package submission).
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
	// SendInstructions returns the halted tasks for which the dispatcher has sent no start.
	// After an error the instructions may have had an effect all the same.
	SendInstructions(ctx context.Context, dispatcher string, instructions dispatch.Instructions) (dispatch.Unlaunched, error)
}

// Options are what a scheduler needs of the rest of its process.
type Options struct {
	Platform     *config.Platform
	Operator     *config.Operator
	Store        jobrecord.Store
	Member       jobstate.Membership
	Dispatchers  Dispatchers
	MachineTypes jobstate.MachineTypes
	Log          *slog.Logger

	Cancellations     jobstate.Cancellations // cancelled jobs known here, this leader's and others'; nil: none
	RemoteJobs        RemoteJobs             // queries other leaders for their jobs; nil: they are not queried
	AccountingEnabled bool                   // accounting rows are written
	LogSlots          int                    // log records of a shard before they are written over; 0: the default
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

	// Guarded by state.Mu.
	listedRevision  map[int]uint64   // shard -> revision of the listing of living jobs that it was loaded with
	leadershipEpoch uint64           // counts the times that this scheduler began to lead shards
	loading         bool             // shards are being read
	bufferedRecords []bufferedRecord // records that arrived while loading
}

// New returns a scheduler that leads no shard yet. Run makes it work.
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

// LeadershipChanged notifies the scheduler that the shards it leads may have changed. It does
// not block.
func (s *Scheduler) LeadershipChanged() { jobstate.Notify(s.state.PlanSignal) }

// LeadershipEpoch is 0 while this scheduler leads no shard, and so ignores views, and another
// number each time that it begins to lead some: whoever sent it views of workers before has
// to send them again.
func (s *Scheduler) LeadershipEpoch() uint64 {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	if len(s.state.Loaded) == 0 {
		return 0
	}
	return s.leadershipEpoch
}
