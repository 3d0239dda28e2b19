package reconcile

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

// grantLeaseMargin is how much of the leader's own lease must remain for it to grant a start.
const grantLeaseMargin = 200 * time.Millisecond

// GrantLocal decides whether a task may start now: it is the single grant without which no
// dispatcher sends a start command. At most one placement of a task is granted at a time;
// quota, zone and constraints are checked against everything that may still run.
func (r *Reconciler) GrantLocal(request dispatch.GrantRequest) dispatch.GrantReply {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	return r.grantStart(request)
}

// GrantAll decides a dispatcher's batched requests under one lock. The replies are in the
// order of the requests.
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
// The reply is: start it, not now (the dispatcher requests it again), or drop it from the queue.
func (r *Reconciler) grantStart(request dispatch.GrantRequest) dispatch.GrantReply {
	notNow, drop := dispatch.GrantReply{}, dispatch.GrantReply{Drop: true}
	if r.state.Membership.LeaseRemaining() < grantLeaseMargin || len(r.state.Loaded) == 0 {
		return notNow
	}
	uid, task, err := wire.ParseTask(request.Task)
	if err != nil {
		return drop
	}
	job := r.state.Jobs[uid]
	if job == nil {
		// Another leader's, perhaps, unless all shards are led here.
		return dispatch.GrantReply{Drop: len(r.state.Loaded) == r.state.Operator.Shards}
	}
	if !r.state.LeadsJob(job) {
		return notNow
	}
	placement, blocked := requestedPlacement(job, task, request)
	if blocked {
		r.state.Stats.Refused++
		return notNow // the other placement is settled later, or withdrawn
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
		return notNow
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
		return notNow
	}
	r.withdrawOthers(placement)
	return dispatch.GrantReply{OK: true}
}

// requestedPlacement returns the placement that a request is for, or nil. blocked says that
// another placement of the task may run, or completed it and waits to be recorded.
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

// grantedInEarlierSession reports whether the placement was granted for an earlier session of
// its worker than that of the request. The worker has lost whatever it was granted then, and
// may have run it: see checkGranted.
func grantedInEarlierSession(placement *jobstate.Placement, session uint64) bool {
	neverReported := placement.State == jobstate.PlacementRecorded || placement.State == jobstate.PlacementGranted
	return !placement.Exited && placement.Session > 0 && session > placement.Session && neverReported
}

// mayStart reports whether nothing but zone and quota keeps the placement from being granted.
func (r *Reconciler) mayStart(placement *jobstate.Placement) bool {
	job, worker := placement.Job, placement.Worker
	switch {
	case r.state.Cancellations != nil && r.state.Cancellations.IsCancelled(job.Spec.UID):
		return false // recorded by another controller; the record is on its way here
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

// markGranted records a grant, or its repetition, on the placement and its worker.
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

// withdrawOthers withdraws the other placements of a task whose start was just granted.
func (r *Reconciler) withdrawOthers(granted *jobstate.Placement) {
	// Withdrawing takes a placement out of the list.
	for _, placement := range append([]*jobstate.Placement(nil), granted.Job.Placements[granted.Task]...) {
		if placement != granted {
			r.state.WithdrawPlacement(placement)
		}
	}
}
