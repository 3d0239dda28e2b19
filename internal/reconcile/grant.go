package reconcile

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

// GrantLocal decides whether a task may start now. One place of a task is
// granted at a time; quota, place and kind are checked against everything
// that may still be on.
func (o *Reconciler) GrantLocal(r dispatch.GrantRequest) dispatch.GrantReply {
	o.state.Mu.Lock()
	defer o.state.Mu.Unlock()
	return o.grant(r)
}

// GrantAll decides a holder's gathered requests at once.
func (o *Reconciler) GrantAll(requests []dispatch.GrantRequest) []dispatch.GrantReply {
	o.state.Mu.Lock()
	defer o.state.Mu.Unlock()
	replies := make([]dispatch.GrantReply, len(requests))
	for i, r := range requests {
		replies[i] = o.grant(r)
	}
	return replies
}

func (o *Reconciler) grant(r dispatch.GrantRequest) dispatch.GrantReply {
	no, drop := dispatch.GrantReply{}, dispatch.GrantReply{Drop: true}
	if o.state.Member.LeaseRemaining() < 200*time.Millisecond || len(o.state.Loaded) == 0 {
		return no
	}
	uid, n, err := wire.ParseTask(r.Task)
	if err != nil {
		return drop
	}
	job := o.state.Jobs[uid]
	if job == nil {
		return dispatch.GrantReply{Drop: len(o.state.Loaded) == o.state.Operator.Shards}
	}
	if !o.state.OwnsJob(job) {
		return no
	}
	var placement *jobstate.Placement
	for _, x := range job.Placements[n] {
		if x.Worker.Name == r.Machine && x.Attempt == r.Attempt {
			placement = x
		} else if x.MayRun() || x.Exited {
			o.state.Stats.Refused++
			return no // settled later, or dropped by unqueue
		}
	}
	if placement == nil {
		return drop
	}
	worker := placement.Worker
	switch {
	case job.Cancelled || placement.Chunk.IsDone(n):
		return drop
	case !placement.Exited && placement.Session > 0 && r.Session > placement.Session && (placement.State == jobstate.PlacementRecorded || placement.State == jobstate.PlacementGranted):
		// Its worker has lost whatever it was granted in the session before, in which it
		// may have run: see granted.
		o.state.EndPlacement(placement)
		return drop
	case o.state.Cancellations != nil && o.state.Cancellations.IsCancelled(uid):
		return no // recorded by another; the record is on its way here
	case placement.State == jobstate.PlacementRecording || placement.State == jobstate.PlacementUnconfirmed || placement.State == jobstate.PlacementReported || !placement.LastHaltAt.IsZero():
		return no
	case worker.Gone || worker.View.Draining || !o.state.Allowed(job, worker):
		return no
	case (!worker.UnresponsiveSince.IsZero() || !o.state.FitsLease(job, worker)) && placement.State != jobstate.PlacementGranted:
		return no
	case job.Constraints != nil && !o.state.ConstraintsAllow(job, n):
		return no
	}
	o.state.CountUse(placement, -1)
	if !o.state.FitsZone(job, worker) || !o.state.UnderLimit(job) {
		o.state.CountUse(placement, 1)
		o.state.Stats.Refused++
		return no
	}
	if placement.State != jobstate.PlacementGranted { // else the start is repeated
		placement.State, placement.GrantedAt, placement.MinToken = jobstate.PlacementGranted, time.Now(), r.Token
		o.state.Stats.Granted++
	}
	placement.MinToken, placement.MaxToken, placement.Session = min(placement.MinToken, r.Token), max(placement.MaxToken, r.Token), max(placement.Session, r.Session)
	worker.MaxToken = max(worker.MaxToken, r.Token)
	o.state.CountUse(placement, 1)
	for _, x := range append([]*jobstate.Placement(nil), job.Placements[n]...) {
		if x != placement {
			o.state.WithdrawPlacement(x)
		}
	}
	return dispatch.GrantReply{OK: true}
}
