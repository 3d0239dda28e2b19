package reconcile

import (
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
)

// forgetAfter is the time without a view after which an idle worker is forgotten.
const forgetAfter = 10 * time.Minute

// RepeatUnconfirmed repeats halts of tasks that must not run any more, because the messages may
// have been lost, and signals the writer for changes that were not urgent. It stops tasks that
// exceed their time limit, and forgets idle workers without a recent view. It is to be called
// about once a second; the caller holds the state's Mu.
func (r *Reconciler) RepeatUnconfirmed() {
	for _, job := range r.state.JobOrder {
		r.state.StopOverTime(job)
		r.haltUnneeded(job)
	}
	jobstate.Notify(r.state.WriteSignal)
	for _, worker := range r.state.Workers {
		if len(worker.Placements) == 0 && time.Since(jobstate.Later(worker.ViewAt, worker.KnownSince)) > forgetAfter {
			r.forgetWorker(worker)
		}
	}
}

// haltUnneeded halts the tasks of a cancelled job, and those that were completed elsewhere or
// cancelled individually.
func (r *Reconciler) haltUnneeded(job *jobstate.Job) {
	if !job.Cancelled && (job.Constraints == nil || job.Finished == job.Done) {
		return
	}
	for _, placements := range job.Placements {
		// Halting may modify the list.
		for _, placement := range append([]*jobstate.Placement(nil), placements...) {
			if !placement.Exited && (job.Cancelled || placement.Chunk.IsOver(placement.Task)) {
				r.state.HaltTask(placement, 0)
			}
		}
	}
}
