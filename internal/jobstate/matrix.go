package jobstate

import (
	"math"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// viewLag is how old a view from another controller may be when it comes.
const viewLag = 1500 * time.Millisecond

func Queued(queue []dispatch.QueueView, ref dispatch.TaskRef) bool {
	for i := range queue {
		if queue[i].Attempt == ref.Attempt && queue[i].TaskRef == ref {
			return true
		}
	}
	return false
}

// reserveUnshown takes what this owner has placed on the machine, and its
// holder does not know yet, off the published matrix.
func (s *State) ReserveUnreported(worker *Worker) {
	if len(worker.Matrix) == 0 {
		return
	}
	// A view from elsewhere was made before it came: what it lacks its holder may know
	// only since then, and room that was just given away would be given again.
	lag := time.Duration(0)
	if worker.View.Holder != s.Member.Name() {
		lag = viewLag
	}
	for placement := range worker.Placements {
		switch {
		case placement.Exited:
			continue
		case placement.MayRun() && (placement.State != PlacementGranted || lag == 0 || time.Since(placement.GrantedAt) > lag):
			continue
		case !placement.MayRun() && placement.SentTo == worker.View.Holder && placement.SentAt.Before(worker.ViewAt.Add(-lag)):
			continue
		}
		if Queued(worker.View.Queue, placement.Ref) {
			continue
		}
		run := placement.Job.RunEstimate() + s.FetchTime(placement.Job, worker)
		if w := worker.Matrix.Wait(placement.Job.Resources, run); !math.IsInf(w, 1) {
			worker.Matrix = worker.Matrix.Reserve(placement.Job.Resources, w, run)
		}
	}
}
