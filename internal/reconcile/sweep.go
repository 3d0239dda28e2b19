package reconcile

import (
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
)

// sweep repeats what may have been lost on the way.
func (r *Reconciler) Sweep() {
	for _, job := range r.state.JobOrder {
		r.state.StopOverTime(job)
		if !job.Cancelled && (job.Constraints == nil || job.Finished == job.Done) {
			continue
		}
		for _, ps := range job.Placements {
			for _, placement := range append([]*jobstate.Placement(nil), ps...) {
				if !placement.Exited && (job.Cancelled || placement.Chunk.IsDone(placement.Task)) {
					r.state.HaltTask(placement, 0)
				}
			}
		}
	}
	jobstate.Notify(r.state.WriteSignal) // for changes that were not urgent
	for _, worker := range r.state.Workers {
		if len(worker.Placements) == 0 && time.Since(jobstate.Later(worker.ViewAt, worker.KnownSince)) > 10*time.Minute {
			r.state.WorkersByIndex[worker.Index] = nil
			delete(r.state.Workers, worker.Name)
		}
	}
}
