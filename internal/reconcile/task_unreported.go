package reconcile

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	// grantTimeout is the time after a grant at which the fencing token is raised to settle the
	// placement, if its task is neither reported by the worker nor proven absent from it.
	grantTimeout = 10 * time.Second
	// haltRetryInterval is the time after which the halt of a task that its worker does not
	// report is sent again.
	haltRetryInterval = time.Second
)

// settledByHeartbeat reports whether the absence of the placement from the worker's heartbeat is
// decisive, whatever the dispatcher's queue contains. The queue proves nothing about placements
// that a predecessor queued, or that were seen to run: the dispatcher may keep requesting grants
// from that predecessor, or may still have a task queued that another dispatcher saw run and
// that was lost since.
func settledByHeartbeat(worker *jobstate.Worker, placement *jobstate.Placement) bool {
	return placement.State == jobstate.PlacementUnconfirmed || placement.State == jobstate.PlacementReported || !jobstate.IsQueued(worker.View.Queue, placement.Ref)
}

// provenAbsent reports whether the task of a placement that the worker's heartbeat does not list
// is proven not to be on the worker: the heartbeat is newer than any start command for this
// attempt can be.
func provenAbsent(worker *jobstate.Worker, placement *jobstate.Placement) bool {
	return worker.View.Token > placement.MaxToken || placement.State != jobstate.PlacementUnconfirmed && worker.View.Session > placement.Session
}

// observeMissing handles a placement that the worker's heartbeat does not list and for which
// settledByHeartbeat is true.
func (r *Reconciler) observeMissing(worker *jobstate.Worker, placement *jobstate.Placement) {
	switch {
	case placement.Exited: // ends when its completion is recorded
	case !placement.MayRun():
		if placement.State == jobstate.PlacementRecorded {
			r.assignIfDue(worker, placement)
		}
	case provenAbsent(worker, placement):
		if placement.State == jobstate.PlacementReported {
			r.countLost(placement)
		}
		r.state.EndPlacement(placement)
	case placement.State == jobstate.PlacementGranted && !placement.Job.Cancelled && placement.LastHaltAt.IsZero():
		r.assignIfDue(worker, placement)
	default:
		// A start command may still be delayed: a newer token settles that. Only tasks that are
		// to be stopped are halted: the heartbeat may be older than the start, and a halt would
		// end a task that a predecessor started after the heartbeat.
		instructions := r.state.InstructionsFor(worker.View.Dispatcher)
		instructions.RaiseTokenAbove = max(instructions.RaiseTokenAbove, placement.MaxToken)
		if (placement.Job.Cancelled || !placement.LastHaltAt.IsZero()) && time.Since(placement.LastHaltAt) > haltRetryInterval {
			placement.LastHaltAt = time.Now()
			instructions.Halt = append(instructions.Halt, dispatch.Halt{TaskRef: placement.Ref})
		}
		jobstate.Notify(r.state.SendSignal)
	}
}

// assignIfDue sends a placement to the worker's dispatcher if it was last sent to another one,
// or if the dispatcher should have received it by now.
func (r *Reconciler) assignIfDue(worker *jobstate.Worker, placement *jobstate.Placement) {
	if placement.SentTo != worker.View.Dispatcher || time.Since(placement.SentAt) > assignRetryInterval {
		r.state.AssignPlacement(placement, false)
	}
}

// checkGranted handles a placement whose start was granted, which the worker does not report and
// which the dispatcher still has queued. If the task is proven absent, the grant is revoked, so
// that the task can be placed elsewhere like any other queued task. If that stays uncertain for
// grantTimeout, a newer token is requested to settle it: the start command may be lost, and
// another dispatcher's task may have taken the room. Without this check such placements would
// wait indefinitely behind long-running tasks while other workers are idle.
//
// A placement granted in an earlier session of the worker is withdrawn, because an attempt is
// started in only one session. It may have run, and ended, in the earlier session without a
// heartbeat of that session having arrived. If it were started again, a late heartbeat of that
// session, possibly received by the next leader, would be mistaken for the result of the new start.
func (r *Reconciler) checkGranted(worker *jobstate.Worker, placement *jobstate.Placement, now time.Time) {
	switch {
	case worker.View.Session > placement.Session:
		r.state.WithdrawPlacement(placement)
	case provenAbsent(worker, placement):
		r.state.CountUse(placement, -1)
		placement.State, placement.GrantedAt = jobstate.PlacementRecorded, time.Time{}
		r.state.CountUse(placement, 1)
	case now.Sub(placement.GrantedAt) > grantTimeout && worker.View.Dispatcher != "":
		instructions := r.state.InstructionsFor(worker.View.Dispatcher)
		instructions.RaiseTokenAbove = max(instructions.RaiseTokenAbove, placement.MaxToken)
		jobstate.Notify(r.state.SendSignal)
	}
}

// checkQueued removes an entry from the dispatcher's queue if the state has no placement for it,
// unless another leader may have the job: the entry would never be granted, but would still
// reserve resources.
func (r *Reconciler) checkQueued(worker *jobstate.Worker, ref dispatch.TaskRef) {
	for placement := range worker.Placements {
		if placement.Attempt == ref.Attempt && placement.Ref == ref {
			return
		}
	}
	uid, _, err := wire.ParseTask(ref.Task)
	if err != nil || r.state.Jobs[uid] == nil && !r.knownEnded(uid) {
		return
	}
	instructions := r.state.InstructionsFor(worker.View.Dispatcher)
	instructions.Halt = append(instructions.Halt, dispatch.Halt{TaskRef: ref})
	jobstate.Notify(r.state.SendSignal)
}
