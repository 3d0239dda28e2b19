package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/usage"
)

const (
	maxPassInterval   = 250 * time.Millisecond // maximum interval between passes when none is requested
	reconcileInterval = time.Second
	minPassPause      = 20 * time.Millisecond // minimum pause between passes; changes that arrive during it share the next pass
)

// Run leads the shards for which this controller is elected until ctx ends. It returns
// ctx.Err() after all its goroutines have ended.
func (s *Scheduler) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for _, run := range []func(context.Context){s.writer.Run, s.sendInstructions, s.watch, s.watchConstraints, s.quota.Run} {
		running.Go(func() { run(ctx) })
	}
	s.runPasses(ctx)
	running.Wait()
	return ctx.Err()
}

// runPasses loads and unloads shards and runs scheduling passes until ctx ends.
func (s *Scheduler) runPasses(ctx context.Context) {
	tick := time.NewTicker(maxPassInterval)
	defer tick.Stop()
	var lastReconcile time.Time
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-s.state.PlanSignal:
		}
		s.syncShards(ctx)
		start := time.Now()
		lastReconcile = s.pass(lastReconcile)
		took := time.Since(start)
		usage.AddTime(usage.SchedulingPasses, start)
		// The pause limits passes to a small share of CPU time, however long they take.
		periodic.Sleep(ctx, minPassPause+jobstate.PassPauseFactor*took)
	}
}

// pass applies the deferred views and runs one scheduling pass. If more than reconcileInterval has
// passed since lastReconcile, it also calls Rebalance and Evict, unless the lease has expired, and
// RepeatUnconfirmed. It returns the time at which it last did so.
func (s *Scheduler) pass(lastReconcile time.Time) time.Time {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	s.reconciler.ObserveDeferred()
	s.planner.Triage()
	s.planner.Pass()
	if time.Since(lastReconcile) <= reconcileInterval {
		return lastReconcile
	}
	lastReconcile = time.Now()
	if s.state.Membership.LeaseRemaining() > 0 {
		// Without the lease, a successor may already lead the shards of these tasks.
		s.planner.Rebalance()
		s.planner.Evict()
	}
	s.reconciler.RepeatUnconfirmed()
	return lastReconcile
}
