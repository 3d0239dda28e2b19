// Package scheduler leads shards of jobs: for each shard at most one controller does so at a
// time. It runs the event loop over the state (package jobstate) with the packages that
// decide for it: planner places tasks, reconcile squares workers' heartbeats with the state
// and grants starts, shardlog writes what happened before it is acted on, quota leases parts
// of teams' limits. It takes shards over at a failover and answers for their jobs.
package scheduler

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/quota"
	"github.com/wallrack/wallrack/internal/reconcile"
	"github.com/wallrack/wallrack/internal/shardlog"
	"github.com/wallrack/wallrack/internal/usage"
)

// Dispatchers carries instructions to the dispatcher of a worker, here or at a peer.
type Dispatchers interface {
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

	Cancellations     jobstate.Cancellations // cancelled jobs known here, own and others'; nil: none
	RemoteJobs        RemoteJobs             // answers for jobs of other leaders; nil: nobody does
	AccountingEnabled bool                   // whether accounting rows are written
	LogSlots          int                    // log records of a shard before they are written over; 0: the default
}

// Scheduler leads shards of jobs.
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
	listedRevision map[int]uint64 // shard -> revision of the listing of living jobs that it was loaded with
	ownershipEpoch uint64         // counts the times that this scheduler began to lead shards
	loading        bool           // shards are being read
	early          []earlyRecord  // what came in the meantime
}

// New returns a scheduler that leads no shard yet.
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

// OwnershipChanged tells the owner that ownership may have changed.
func (s *Scheduler) OwnershipChanged() { jobstate.Notify(s.state.PlanSignal) }

// Run owns jobs until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){s.writer.Run, s.sendInstructions, s.watch, s.watchConstraints, s.quota.Run} {
		wg.Add(1)
		go func() { defer wg.Done(); f(ctx) }()
	}
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	var sweep time.Time
	var took time.Duration
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-s.state.PlanSignal:
		}
		s.syncShards(ctx)
		start := time.Now()
		s.state.Mu.Lock()
		s.reconciler.ObserveDeferred()
		s.planner.Triage()
		s.planner.Pass()
		if time.Since(sweep) > time.Second {
			sweep = time.Now()
			if s.state.Member.LeaseRemaining() > 0 {
				// Else a successor may own these tasks already.
				s.planner.Rebalance()
				s.planner.Evict()
			}
			s.reconciler.Sweep()
		}
		s.state.Mu.Unlock()
		took = time.Since(start)
		usage.Count(usage.Passes, start)
		// Gather what comes in the meantime into one batch, and keep passes
		// to a small part of the processor, however long they take.
		select {
		case <-ctx.Done():
		case <-time.After(20*time.Millisecond + jobstate.PassShare*took):
		}
	}
	wg.Wait()
	return ctx.Err()
}

// OwnershipEpoch is 0 while this owner has no jobs, and so ignores views, and another number each
// time that it comes to have some: who told it of machines before has to tell it again.
func (s *Scheduler) OwnershipEpoch() uint64 {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	if len(s.state.Loaded) == 0 {
		return 0
	}
	return s.ownershipEpoch
}
