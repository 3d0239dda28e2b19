package reconcile

import (
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
)

// WorkerDeleted ends the placements on a worker that the cloud has deleted, except those of exited
// tasks, and forgets the worker. Its name is never used again; late views of it are ignored.
func (r *Reconciler) WorkerDeleted(name string) {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	r.deleted.ContainsOrAdd(name, struct{}{})
	worker := r.state.Workers[name]
	if worker == nil {
		return
	}
	worker.Removed = true
	r.endLostPlacements(worker, time.Now())
	r.forgetWorker(worker)
}

// LeaseAttestedExpired ends the placements created on a worker until requestedAt, except those of
// exited tasks. All controllers have attested, in response to requests sent at that time, that
// none has responded to the worker for a full lease, so that the worker has killed every task. It
// does nothing if a view of the worker arrived at requestedAt or later.
func (r *Reconciler) LeaseAttestedExpired(name string, requestedAt time.Time) {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	if worker := r.state.Workers[name]; worker != nil && worker.ViewAt.Before(requestedAt) {
		r.endLostPlacements(worker, requestedAt)
	}
}

// endLostPlacements ends the placements on a lost worker that were created until the given time.
// Those of exited tasks remain until their completion is recorded.
func (r *Reconciler) endLostPlacements(worker *jobstate.Worker, until time.Time) {
	for placement := range worker.Placements {
		if placement.CreatedAt.After(until) {
			continue
		}
		if placement.State == jobstate.PlacementReported || placement.State == jobstate.PlacementGranted {
			r.countLost(placement)
		}
		if !placement.Exited {
			r.state.EndPlacement(placement)
		}
	}
}

// forgetWorker removes a worker from memory. Its index is not reused.
func (r *Reconciler) forgetWorker(worker *jobstate.Worker) {
	r.state.WorkersByIndex[worker.Index] = nil
	delete(r.state.Workers, worker.Name)
}
