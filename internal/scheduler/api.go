package scheduler

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/reachability"
)

// ObserveWorker applies a dispatcher's view of a worker to the state. A view without changes is
// applied later, so that the caller does not wait for a scheduling pass.
func (s *Scheduler) ObserveWorker(v dispatch.WorkerView) { s.reconciler.ObserveWorker(v) }

// GrantLocal decides whether a task may start now. A request that was granted before is granted
// again.
func (s *Scheduler) GrantLocal(r dispatch.GrantRequest) dispatch.GrantReply {
	return s.reconciler.GrantLocal(r)
}

// GrantAll decides a batch of requests while holding the state's lock once. The replies are in
// the order of the requests.
func (s *Scheduler) GrantAll(requests []dispatch.GrantRequest) []dispatch.GrantReply {
	return s.reconciler.GrantAll(requests)
}

// WorkerResponded records that a worker responded to a request of any controller.
func (s *Scheduler) WorkerResponded(name string) { s.reconciler.WorkerResponded(name) }

// WorkerDeleted ends the placements on a worker that the cloud has deleted, except those of
// exited tasks, and forgets the worker.
func (s *Scheduler) WorkerDeleted(name string) { s.reconciler.WorkerDeleted(name) }

// LeaseAttestedExpired ends the placements created on a worker until placedBefore, except those of
// exited tasks. All controllers have attested, to requests sent at placedBefore, that they have not
// responded to the worker for the duration of a lease, so it has killed its tasks. The call has no
// effect if a view of the worker arrived at placedBefore or later.
func (s *Scheduler) LeaseAttestedExpired(name string, placedBefore time.Time) {
	s.reconciler.LeaseAttestedExpired(name, placedBefore)
}

// UnresponsiveWorkers returns the number of known workers, and the workers that have sent no
// heartbeat, or on which no command has had an effect, for at least atLeast.
func (s *Scheduler) UnresponsiveWorkers(atLeast time.Duration) (known int, unresponsive []reachability.UnresponsiveWorker) {
	return s.reconciler.UnresponsiveWorkers(atLeast)
}

// RemoteWorkers returns the addresses, by worker name, of the workers whose last heartbeat was
// received by another controller.
func (s *Scheduler) RemoteWorkers() map[string]string { return s.reconciler.RemoteWorkers() }

// StuckWorkers returns the workers on which a task of a cancelled job may still be running although
// its first halt was sent more than a third of Workers.CancelS ago, as a map from the worker's name
// to the reason for deleting it.
func (s *Scheduler) StuckWorkers() map[string]string { return s.reconciler.StuckWorkers() }

// UnstoppedWorkers returns the addresses, by worker name, of the workers on which a cancelled
// task may still be running although its first halt was sent more than after ago. The result may
// be out of date, because this controller's lease is not checked.
func (s *Scheduler) UnstoppedWorkers(after time.Duration) map[string]string {
	return s.reconciler.UnstoppedWorkers(after)
}

// HandleExpiringLeases stops tasks on workers whose leases are about to expire without being
// renewed, and returns the addresses, by worker name, of the workers to poll now. The caller
// must call it several times a second.
func (s *Scheduler) HandleExpiringLeases() map[string]string {
	return s.reconciler.HandleExpiringLeases()
}

// Demand returns the work that waits for workers, in scheduling order, and the load of each
// worker. bootS is the time in seconds until a new worker is ready.
func (s *Scheduler) Demand(bootS float64) ([]planner.Demand, []planner.WorkerLoad) {
	return s.planner.Demand(bootS)
}

// AdmittedWork returns the expected work of the jobs that this leader has accepted since its
// process started, in CPU-seconds. Services, and jobs that their constraints kept waiting when
// they were accepted, are left out.
func (s *Scheduler) AdmittedWork() float64 { return s.planner.AdmittedWork() }

// SetCordoned replaces the set of cordoned workers, by name. A cordoned worker gets only tasks
// that are expected to end well before tasks that already run on it.
func (s *Scheduler) SetCordoned(names map[string]bool) { s.planner.SetCordoned(names) }

// LeadsAutoscaling reports whether this controller leads the first shard, whose leader runs the
// autoscaler.
func (s *Scheduler) LeadsAutoscaling() bool { return s.planner.LeadsAutoscaling() }
