package planner

import (
	"math"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

// wait is for how many seconds a task of this size that runs for runS would wait on the
// worker; +Inf if it never fits. An overdue matrix is read for a larger task, since others
// may have taken room meanwhile.
func (p *Planner) wait(worker *jobstate.Worker, size matching.Resources, runS float64) float64 {
	ageS := p.state.Now.Sub(worker.ViewAt).Seconds()
	if overdueS := ageS - 1.5*p.state.Platform.Params.Workers.ReportS; overdueS > 0 {
		size = size.Scale(1 + min(0.5, 0.05*overdueS))
	}
	return max(0, worker.Matrix.WaitWithin(size, runS, p.state.Operator.QueueHorizonS+ageS)-ageS)
}

// estimate is what a task is expected to meet on a worker.
type estimate struct {
	waitS  float64 // until its resources are free
	cost   float64 // see matching.Cost; the operator's additions included
	fetchS float64 // of its image
}

// eligible reports whether one more task of the job may be placed on the worker, room
// aside.
func (p *Planner) eligible(job *jobstate.Job, worker *jobstate.Worker) bool {
	return p.state.Allowed(job, worker) && p.state.FitsZone(job, worker) && p.state.UnderLimit(job) && p.state.FitsLease(job, worker)
}

// estimate estimates a task of the job on the worker; ok is false if it may not be placed
// there or never fits. It forgets that the job avoids the worker once that is over.
func (p *Planner) estimate(job *jobstate.Job, worker *jobstate.Worker) (e estimate, ok bool) {
	if !p.eligible(job, worker) {
		return estimate{}, false
	}
	if until, avoided := job.Avoid[worker.Index]; len(job.Avoid) > 0 && avoided {
		if p.state.Now.Before(until) {
			return estimate{}, false
		}
		delete(job.Avoid, worker.Index)
	}
	runS, fetchS := job.RunEstimate(), p.state.FetchTime(job, worker)
	if worker.Cordoned && !worker.EndsWhileOccupied(fetchS+runS) {
		return estimate{}, false
	}
	waitS := p.wait(worker, job.Resources, fetchS+runS)
	if math.IsInf(waitS, 1) {
		return estimate{}, false
	}
	cost := matching.Cost(fetchS, waitS, runS, p.state.SuccessRate(worker), p.state.Operator.WorkerFailureCost)
	if !hasRoomNow(job, worker) {
		cost += matching.WaitErrorS
	}
	if p.startsLate(job, waitS+fetchS) {
		cost += p.state.Operator.LateStartCostS
	}
	return estimate{waitS, cost + p.packing(job, worker, cost), fetchS}, true
}

// hasRoomNow reports whether a task of the job fits on the worker without waiting for a task
// there to end, as far as the worker's last view shows. A view that is old does not show
// whether a task that should have ended by now has.
func hasRoomNow(job *jobstate.Job, worker *jobstate.Worker) bool {
	return job.Resources.Fits(worker.Matrix[0].Free)
}

// packing is added to a cost so that of workers which would finish a task at about the
// same time the cheaper and the fuller one wins, and others become idle and can be scaled
// in. What an on-demand worker costs more grows with the task. A worker without room now is
// not preferred for being full: lost tasks were queued there for seconds, beside idle workers.
func (p *Planner) packing(job *jobstate.Job, worker *jobstate.Worker, cost float64) float64 {
	machine := p.state.TypeOf(worker)
	if machine.CPUs <= 0 {
		return 0
	}
	freeShare := 1.0
	if hasRoomNow(job, worker) {
		freeShare = max(0, worker.Matrix[0].Free.CPUs) / machine.CPUs
	}
	surcharge := 0.0 // of the on-demand price, relative to the spot price
	if !worker.View.Spot && machine.SpotPrice > 0 {
		surcharge = max(0, machine.Price/machine.SpotPrice-1)
	}
	return p.state.Operator.PackingPreferenceS*freeShare*(1+surcharge) + p.state.Operator.SpotPreferenceShare*cost*surcharge
}
