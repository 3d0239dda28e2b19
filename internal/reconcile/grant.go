package reconcile

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

// grantLeaseMargin is the minimum remaining time of the leader's own lease: with less, the leader
// grants no start.
const grantLeaseMargin = 200 * time.Millisecond

// GrantLocal decides whether a task may start now. No dispatcher sends a start command without
// this grant. At most one placement of a task is granted at a time; quota, zone and constraints
// are checked against all placements whose tasks may still be running.
func (r *Reconciler) GrantLocal(request dispatch.GrantRequest) dispatch.GrantReply {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	return r.grantStart(request)
}

// GrantAll decides a batch of requests from a dispatcher while it holds the lock once. The
// replies are in the order of the requests.
func (r *Reconciler) GrantAll(requests []dispatch.GrantRequest) []dispatch.GrantReply {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	replies := make([]dispatch.GrantReply, len(requests))
	for i, request := range requests {
		replies[i] = r.grantStart(request)
	}
	return replies
}

// grantStart decides one request. A repeated request for a granted placement is granted again.
// The reply is to start the task, to request the grant again later, or to drop the task from the
// dispatcher's queue.
func (r *Reconciler) grantStart(request dispatch.GrantRequest) dispatch.GrantReply {
	retryLater, drop := dispatch.GrantReply{}, dispatch.GrantReply{Drop: true}
	if r.state.Membership.LeaseRemaining() < grantLeaseMargin || len(r.state.Loaded) == 0 {
		return retryLater
	}
	uid, task, err := wire.ParseTask(request.Task)
	if err != nil {
		return drop
	}
	job := r.state.Jobs[uid]
	if job == nil {
		// Another leader may have the job, unless this one leads all shards.
		return dispatch.GrantReply{Drop: len(r.state.Loaded) == r.state.Operator.Shards}
	}
	if !r.state.LeadsJob(job) {
		return retryLater
	}
	placement, blocked := requestedPlacement(job, task, request)
	if blocked {
		r.state.Stats.Refused++
		return retryLater // until the other placement ends or is withdrawn
	}
	if placement == nil {
		return drop
	}
	switch {
	case job.Cancelled || placement.Chunk.IsOver(task):
		return drop
	case grantedInEarlierSession(placement, request.Session):
		r.state.EndPlacement(placement)
		return drop
	case !r.mayStart(placement):
		return retryLater
	}
	r.state.CountUse(placement, -1)
	fits := r.state.FitsZone(job, placement.Worker) && r.state.FitsTeamLimit(job)
	if fits {
		r.markGranted(placement, request)
	} else {
		r.state.Stats.Refused++
	}
	r.state.CountUse(placement, 1)
	if !fits {
		return retryLater
	}
	r.withdrawOthers(placement)
	return dispatch.GrantReply{OK: true}
}

// requestedPlacement returns the placement that a request is for, or nil. blocked is true if
// another placement of the task may be running, or has completed the task and is being recorded.
func requestedPlacement(job *jobstate.Job, task int, request dispatch.GrantRequest) (placement *jobstate.Placement, blocked bool) {
	for _, candidate := range job.Placements[task] {
		if candidate.Worker.Name == request.Worker && candidate.Attempt == request.Attempt {
			placement = candidate
		} else if candidate.MayRun() || candidate.Exited {
			return nil, true
		}
	}
	return placement, false
}

// grantedInEarlierSession reports whether the placement was granted for a session of its worker
// before the session of the request. The task may have run in that earlier session, and was lost
// when the session ended: see checkGranted.
func grantedInEarlierSession(placement *jobstate.Placement, session uint64) bool {
	neverReported := placement.State == jobstate.PlacementRecorded || placement.State == jobstate.PlacementGranted
	return !placement.Exited && placement.Session > 0 && session > placement.Session && neverReported
}

// mayStart reports whether the placement may be granted. The limits of its zone and its team are not
// checked here, but by grantStart.
func (r *Reconciler) mayStart(placement *jobstate.Placement) bool {
	job, worker := placement.Job, placement.Worker
	switch {
	case r.state.Cancellations != nil && r.state.Cancellations.IsCancelled(job.Spec.UID):
		return false // cancelled by another controller; the record has not arrived here yet
	case placement.State != jobstate.PlacementRecorded && placement.State != jobstate.PlacementGranted:
		return false
	case !placement.LastHaltAt.IsZero():
		return false
	case worker.Removed || worker.View.Draining || !r.state.AllowedOn(job, worker):
		return false
	case (!worker.UnresponsiveSince.IsZero() || !r.state.FitsLease(job, worker)) && placement.State != jobstate.PlacementGranted:
		return false
	}
	return job.Constraints == nil || r.state.ConstraintsAllow(job, placement.Task)
}

// markGranted records a grant, or a repeated grant, on the placement and its worker.
func (r *Reconciler) markGranted(placement *jobstate.Placement, request dispatch.GrantRequest) {
	if placement.State != jobstate.PlacementGranted {
		placement.State, placement.GrantedAt, placement.MinToken = jobstate.PlacementGranted, time.Now(), request.Token
		r.state.Stats.Granted++
	}
	placement.MinToken = min(placement.MinToken, request.Token)
	placement.MaxToken = max(placement.MaxToken, request.Token)
	placement.Session = max(placement.Session, request.Session)
	worker := placement.Worker
	worker.MaxToken = max(worker.MaxToken, request.Token)
}

// withdrawOthers withdraws the task's other placements after one was granted.
func (r *Reconciler) withdrawOthers(granted *jobstate.Placement) {
	// Withdrawing modifies the list.
	for _, placement := range append([]*jobstate.Placement(nil), granted.Job.Placements[granted.Task]...) {
		if placement != granted {
			r.state.WithdrawPlacement(placement)
		}
	}
}
