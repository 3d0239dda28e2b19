package scheduler

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/reachability"
)

// ObserveWorker applies a dispatcher's view of a worker to the state. It does not wait for a
// pass if the view says nothing new.
func (s *Scheduler) ObserveWorker(v dispatch.WorkerView) { s.reconciler.ObserveWorker(v) }

// GrantLocal decides whether a task may start now. Repeating a granted request grants it again.
func (s *Scheduler) GrantLocal(r dispatch.GrantRequest) dispatch.GrantReply {
	return s.reconciler.GrantLocal(r)
}

// GrantAll decides a batch of requests under one lock; the replies are in their order.
func (s *Scheduler) GrantAll(requests []dispatch.GrantRequest) []dispatch.GrantReply {
	return s.reconciler.GrantAll(requests)
}

// WorkerResponded notes that a worker responded to a request of any controller.
func (s *Scheduler) WorkerResponded(name string) { s.reconciler.WorkerResponded(name) }

// WorkerDeleted ends every placement on a worker that the cloud has deleted.
func (s *Scheduler) WorkerDeleted(name string) { s.reconciler.WorkerDeleted(name) }

// LeaseAttestedExpired ends what was placed before a time on a worker whose lease no controller
// has renewed since, as all of them attest.
func (s *Scheduler) LeaseAttestedExpired(name string, placedBefore time.Time) {
	s.reconciler.LeaseAttestedExpired(name, placedBefore)
}

// UnresponsiveWorkers returns how many workers there are, and those that sent no heartbeat, or
// on which no command had an effect, for at least so long.
func (s *Scheduler) UnresponsiveWorkers(atLeast time.Duration) (known int, unresponsive []reachability.UnresponsiveWorker) {
	return s.reconciler.UnresponsiveWorkers(atLeast)
}

// RemoteWorkers returns, by name, the addresses of workers whose last heartbeat another
// controller received.
func (s *Scheduler) RemoteWorkers() map[string]string { return s.reconciler.RemoteWorkers() }

// StuckWorkers returns the names of workers with a cancelled task that can't be stopped in
// time, each with the reason to delete the worker.
func (s *Scheduler) StuckWorkers() map[string]string { return s.reconciler.StuckWorkers() }

// UnstoppedWorkers returns, by name, the addresses of workers on which cancelled tasks may run
// that were sent a halt longer ago than after. This controller's lease need not hold.
func (s *Scheduler) UnstoppedWorkers(after time.Duration) map[string]string {
	return s.reconciler.UnstoppedWorkers(after)
}

// HandleExpiringLeases stops tasks on workers whose leases are about to end unrenewed, and
// returns the addresses of those to be polled now. Call it several times a second.
func (s *Scheduler) HandleExpiringLeases() map[string]string {
	return s.reconciler.HandleExpiringLeases()
}

// Demand returns the work that has no worker yet, most urgent first, and how long each worker
// is expected to be in use. bootS is how many seconds a new machine takes to start.
func (s *Scheduler) Demand(bootS float64) ([]planner.Demand, []planner.WorkerLoad) {
	return s.planner.Demand(bootS)
}

// AdmittedWork returns the CPU-seconds of work accepted since this process began.
func (s *Scheduler) AdmittedWork() float64 { return s.planner.AdmittedWork() }

// SetCordoned replaces the set of workers, by name, that take only tasks which end before the
// worker would be empty anyway.
func (s *Scheduler) SetCordoned(names map[string]bool) { s.planner.SetCordoned(names) }

// LeadsAutoscaling reports whether this controller leads the first shard, and with it the
// autoscaling.
func (s *Scheduler) LeadsAutoscaling() bool { return s.planner.LeadsAutoscaling() }
