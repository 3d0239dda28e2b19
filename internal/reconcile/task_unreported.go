package reconcile

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	// grantTimeout is how long a granted start may be neither reported nor surely off its worker
	// before a newer token is to show which it is.
	grantTimeout = 10 * time.Second
	// haltRetryInterval is how long after a halt of a task that its worker does not report the next
	// one is sent.
	haltRetryInterval = time.Second
)

// settledByHeartbeat reports whether the placement is settled by the worker's report alone, which
// does not list it, and not by the dispatcher's queue. Of what a predecessor had queued, or was
// seen to run, the queue says nothing: the dispatcher may request grants of that predecessor for
// ever, or have the task queued from before it ran, as another dispatcher saw, and was lost.
func settledByHeartbeat(worker *jobstate.Worker, placement *jobstate.Placement) bool {
	return placement.State == jobstate.PlacementUnconfirmed || placement.State == jobstate.PlacementReported || !jobstate.IsQueued(worker.View.Queue, placement.Ref)
}

// provenAbsent reports whether the task of a placement that the worker's report does not list is
// surely not on that worker: the report is newer than any start command for this attempt can be.
func provenAbsent(worker *jobstate.Worker, placement *jobstate.Placement) bool {
	return worker.View.Token > placement.MaxToken || placement.State != jobstate.PlacementUnconfirmed && worker.View.Session > placement.Session
}

// observeMissing settles a placement that neither the worker's report nor the dispatcher's queue
// lists.
func (r *Reconciler) observeMissing(worker *jobstate.Worker, placement *jobstate.Placement) {
	switch {
	case placement.Exited: // goes when its completion is recorded
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
		// Perhaps a late command: a newer token settles it. Only what is to stop is halted:
		// the report may be older than the start, and a halt would end a task that a
		// predecessor started after it.
		instructions := r.state.InstructionsFor(worker.View.Dispatcher)
		instructions.RaiseTokenAbove = max(instructions.RaiseTokenAbove, placement.MaxToken)
		if (placement.Job.Cancelled || !placement.LastHaltAt.IsZero()) && time.Since(placement.LastHaltAt) > haltRetryInterval {
			placement.LastHaltAt = time.Now()
			instructions.Halt = append(instructions.Halt, dispatch.Halt{TaskRef: placement.Ref})
		}
		jobstate.Notify(r.state.SendSignal)
	}
}

// assignIfDue sends a placement to the worker's dispatcher if it was sent to another one, or
// long enough ago for the dispatcher to show it if it had come.
func (r *Reconciler) assignIfDue(worker *jobstate.Worker, placement *jobstate.Placement) {
	if placement.SentTo != worker.View.Dispatcher || time.Since(placement.SentAt) > assignRetryInterval {
		r.state.AssignPlacement(placement, false)
	}
}

// checkGranted settles a placement whose start was granted, which the worker does not report
// and the dispatcher still has queued. One that surely came to nothing waits for its turn: it
// may be placed elsewhere, like all that waits. One that is not sure for long is settled by a
// newer token: its start command may be lost, and its room taken by what another dispatcher
// started. Both kinds stood for ever behind tasks that ran for long, beside idle workers.
//
// An attempt is started in one session of its worker only. It may have run, and ended, in a
// session of which no report came. A report of that session that comes late, to the next
// leader too, would be taken for what became of the attempt in the session after it.
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

// checkQueued takes an entry that has no placement in the state out of the dispatcher's queue.
// Nobody would ever grant it, but it would keep its room.
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
