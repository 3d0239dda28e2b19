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

// WorkerDeleted ends every placement on a worker that the cloud has deleted.
func (s *Scheduler) WorkerDeleted(name string) { s.reconciler.WorkerDeleted(name) }

// LeaseAttestedExpired ends the placements made before placedBefore on a worker whose lease has
// expired: all controllers attest that they have not renewed it for a full lease, so the worker
// has killed its tasks. It has no effect if a view of the worker has arrived since.
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

// StuckWorkers returns the workers with a cancelled task that can't be stopped in time, as a
// map from the worker's name to the reason for deleting the worker.
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

// AdmittedWork returns the work accepted since this process started, in CPU-seconds.
func (s *Scheduler) AdmittedWork() float64 { return s.planner.AdmittedWork() }

// SetCordoned replaces the set of cordoned workers, by name. A cordoned worker gets only tasks
// that are expected to end before the worker would be empty without them.
func (s *Scheduler) SetCordoned(names map[string]bool) { s.planner.SetCordoned(names) }

// LeadsAutoscaling reports whether this controller leads the first shard, whose leader runs the
// autoscaler.
func (s *Scheduler) LeadsAutoscaling() bool { return s.planner.LeadsAutoscaling() }
