package reconcile

import (
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
)

// WorkerDeleted ends every placement on a worker that the cloud has deleted, and forgets the
// worker. Its name never comes back; late views of it are ignored.
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

// LeaseAttestedExpired ends what was placed on a worker until requestedAt. All controllers have
// attested, by requests sent then, that none has answered the worker for a full lease: it has
// killed every task. A worker of which a view came since is left as it is.
func (r *Reconciler) LeaseAttestedExpired(name string, requestedAt time.Time) {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	if worker := r.state.Workers[name]; worker != nil && worker.ViewAt.Before(requestedAt) {
		r.endLostPlacements(worker, requestedAt)
	}
}

// endLostPlacements ends the placements on a lost worker that were made until a time.
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

// forgetWorker drops a worker from memory. Its index is not used again.
func (r *Reconciler) forgetWorker(worker *jobstate.Worker) {
	r.state.WorkersByIndex[worker.Index] = nil
	delete(r.state.Workers, worker.Name)
}
