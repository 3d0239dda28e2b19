package scheduler

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/reachability"
)

// ObserveWorker takes a dispatcher's view of a worker and settles what it shows.
func (s *Scheduler) ObserveWorker(v dispatch.WorkerView) { s.reconciler.ObserveWorker(v) }

// GrantLocal decides whether a task may start now.
func (s *Scheduler) GrantLocal(r dispatch.GrantRequest) dispatch.GrantReply {
	return s.reconciler.GrantLocal(r)
}

// GrantAll decides a dispatcher's batched requests at once; the replies are in their order.
func (s *Scheduler) GrantAll(requests []dispatch.GrantRequest) []dispatch.GrantReply {
	return s.reconciler.GrantAll(requests)
}

// WorkerAnswered notes that a worker answered a request, by whichever controller.
func (s *Scheduler) WorkerAnswered(name string) { s.reconciler.WorkerAnswered(name) }

// WorkerGone ends every placement on a worker that the cloud has deleted.
func (s *Scheduler) WorkerGone(name string) { s.reconciler.WorkerGone(name) }

// LeaseAttestedExpired ends what was placed before asked on a worker that no controller has
// answered for a full lease.
func (s *Scheduler) LeaseAttestedExpired(name string, asked time.Time) {
	s.reconciler.LeaseAttestedExpired(name, asked)
}

// UnresponsiveWorkers returns how many workers there are, and those that were not heard, or
// on which nothing that was sent had an effect, for from or longer.
func (s *Scheduler) UnresponsiveWorkers(from time.Duration) (known int, unresponsive []reachability.UnresponsiveWorker) {
	return s.reconciler.UnresponsiveWorkers(from)
}

// RemoteWorkers returns the addresses of workers that another controller heard last.
func (s *Scheduler) RemoteWorkers() map[string]string { return s.reconciler.RemoteWorkers() }

// StuckWorkers returns workers with a cancelled task that can't be stopped in time, and why
// they are to be deleted.
func (s *Scheduler) StuckWorkers() map[string]string { return s.reconciler.StuckWorkers() }

// UnstoppedWorkers returns the addresses of workers on which cancelled tasks may be that were
// told to stop longer ago than after. This controller's lease need not hold.
func (s *Scheduler) UnstoppedWorkers(after time.Duration) map[string]string {
	return s.reconciler.UnstoppedWorkers(after)
}

// HandleExpiringLeases stops tasks on workers whose leases are about to end unrenewed, and
// returns the addresses of those to be polled now. Call it several times a second.
func (s *Scheduler) HandleExpiringLeases() map[string]string {
	return s.reconciler.HandleExpiringLeases()
}

// Demand returns the work that has no worker yet, most urgent first, and what each worker's
// future looks like. boot is how many seconds a new machine takes to start.
func (s *Scheduler) Demand(boot float64) ([]planner.Demand, []planner.WorkerLoad) {
	return s.planner.Demand(boot)
}

// AdmittedWork returns the CPU-seconds of work accepted since this process began.
func (s *Scheduler) AdmittedWork() float64 { return s.planner.AdmittedWork() }

// SetCordoned says which workers take no new work.
func (s *Scheduler) SetCordoned(names map[string]bool) { s.planner.SetCordoned(names) }

// LeadsAutoscaling reports whether this controller leads the first shard, and with it the
// autoscaling.
func (s *Scheduler) LeadsAutoscaling() bool { return s.planner.LeadsAutoscaling() }
