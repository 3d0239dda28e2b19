package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/usage"
)

const (
	passInterval      = 250 * time.Millisecond // at the longest, when no pass is requested
	reconcileInterval = time.Second
	batchInterval     = 20 * time.Millisecond // between passes at the least: what arrives then shares one
)

// Run leads the shards that this controller is elected for until ctx ends. It returns the
// context's error, once all its goroutines have ended.
func (s *Scheduler) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for _, run := range []func(context.Context){s.writer.Run, s.sendInstructions, s.watch, s.watchConstraints, s.quota.Run} {
		running.Go(func() { run(ctx) })
	}
	s.runPasses(ctx)
	running.Wait()
	return ctx.Err()
}

// runPasses loads and unloads shards and makes scheduling passes until ctx ends.
func (s *Scheduler) runPasses(ctx context.Context) {
	tick := time.NewTicker(passInterval)
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
		// The pause keeps passes to a small part of the processor, however long they take.
		select {
		case <-ctx.Done():
		case <-time.After(batchInterval + jobstate.PassShare*took):
		}
	}
}

// pass makes one scheduling pass, and reconciles all workers if that is due.
// It returns when workers were last reconciled.
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
		// Without the lease a successor may lead these tasks already.
		s.planner.Rebalance()
		s.planner.Evict()
	}
	s.reconciler.RepeatUnconfirmed()
	return lastReconcile
}
