package jobstate

import (
	"math"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// maxViewLag is the maximum age assumed for a view from another controller when it arrives.
const maxViewLag = 1500 * time.Millisecond

// IsQueued reports whether a dispatcher's queue contains the attempt.
func IsQueued(queue []dispatch.QueueView, ref dispatch.TaskRef) bool {
	for i := range queue {
		if queue[i].Attempt == ref.Attempt && queue[i].TaskRef == ref {
			return true
		}
	}
	return false
}

// ReserveUnreported reserves, in the worker's published matrix, the resources of the placements
// of which the dispatcher may not have known when it published the matrix.
func (s *State) ReserveUnreported(worker *Worker) {
	if len(worker.Matrix) == 0 {
		return
	}
	// A view from another controller is older than its arrival. Without the lag, resources
	// assigned in the meantime would be assigned twice.
	lag := time.Duration(0)
	if worker.View.Dispatcher != s.Membership.Name() {
		lag = maxViewLag
	}
	for placement := range worker.Placements {
		if placement.reflectedInMatrix(lag) || IsQueued(worker.View.Queue, placement.Ref) {
			continue
		}
		resources := placement.Job.Resources
		run := placement.Job.OccupancyEstimate() + s.FetchTime(placement.Job, worker)
		if wait := worker.Matrix.Wait(resources, run); !math.IsInf(wait, 1) {
			worker.Matrix = worker.Matrix.Reserve(resources, wait, run)
		}
	}
}

// reflectedInMatrix reports whether the placement needs no reservation in the worker's matrix:
// the dispatcher knew the placement when it published the matrix, or the placement uses no
// resources. The view may have been lag old when it arrived.
func (p *Placement) reflectedInMatrix(lag time.Duration) bool {
	switch {
	case p.Exited:
		return true
	case p.MayRun():
		return p.State != PlacementGranted || lag == 0 || time.Since(p.GrantedAt) > lag
	}
	return p.SentTo == p.Worker.View.Dispatcher && p.SentAt.Before(p.Worker.ViewAt.Add(-lag))
}
