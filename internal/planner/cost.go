package planner

import (
	"math"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

// expectedWait returns how many seconds a task of this size that runs for runS would wait on the
// worker; +Inf if it never fits. If the worker's view is overdue, the size is scaled up, because
// other tasks may have taken room in the meantime.
func (p *Planner) expectedWait(worker *jobstate.Worker, size matching.Resources, runS float64) float64 {
	ageS := p.state.Now.Sub(worker.ViewAt).Seconds()
	if overdueS := ageS - 1.5*p.state.Platform.Params.Workers.ReportS; overdueS > 0 {
		size = size.Scale(1 + min(0.5, 0.05*overdueS))
	}
	return max(0, worker.Matrix.WaitWithin(size, runS, p.state.Operator.QueueHorizonS+ageS)-ageS)
}

// estimate is the expected delays and cost of a task on a worker.
type estimate struct {
	waitS  float64 // time until its resources are free
	cost   float64 // see matching.Cost; includes the operator's surcharges
	fetchS float64 // time to fetch its image
}

// eligible reports whether one more task of the job may be placed on the worker, regardless of
// free room.
func (p *Planner) eligible(job *jobstate.Job, worker *jobstate.Worker) bool {
	return p.state.AllowedOn(job, worker) && p.state.FitsZone(job, worker) && p.state.FitsTeamLimit(job) && p.state.FitsLease(job, worker)
}

// estimate estimates a task of the job on the worker. ok is false if the task may not be placed
// there, if the job avoids the worker until a later time, if the task never fits, or if it would
// outlast the tasks that keep a cordoned worker occupied. It deletes the job's AvoidUntil entry for the worker once that time has
// passed.
func (p *Planner) estimate(job *jobstate.Job, worker *jobstate.Worker) (e estimate, ok bool) {
	if !p.eligible(job, worker) {
		return estimate{}, false
	}
	if until, avoided := job.AvoidUntil[worker.Index]; len(job.AvoidUntil) > 0 && avoided {
		if p.state.Now.Before(until) {
			return estimate{}, false
		}
		delete(job.AvoidUntil, worker.Index)
	}
	runS, fetchS := job.RunEstimate(), p.state.FetchTime(job, worker)
	occupancyS := fetchS + job.OccupancyEstimate()
	if worker.Cordoned && !worker.EndsWhileOccupied(occupancyS) {
		return estimate{}, false
	}
	waitS := p.expectedWait(worker, job.Resources, occupancyS)
	if math.IsInf(waitS, 1) {
		return estimate{}, false
	}
	cost := matching.Cost(fetchS, waitS, runS, p.state.SuccessRate(worker), p.state.Operator.WorkerFailureCost)
	if !hasRoomNow(job, worker) {
		cost += matching.WaitUnderestimateS
	}
	if p.missesStartObjective(job, waitS+fetchS) {
		cost += p.state.Operator.LateStartCostS
	}
	return estimate{waitS, cost + p.packingCost(job, worker, cost), fetchS}, true
}

// hasRoomNow reports whether, by the worker's last view, a task of the job fits without waiting
// for another task to end. An old view does not show whether a task that should have ended since
// then has ended.
func hasRoomNow(job *jobstate.Job, worker *jobstate.Worker) bool {
	return job.Resources.Fits(worker.Matrix[0].Free)
}

// packingCost returns an addition to a task's cost. Among workers that would finish the task at
// about the same time, it favors the cheaper and the fuller one, so that others become idle and
// can be scaled in. The surcharge for an on-demand worker grows with the task's cost. A worker
// without room now gets no advantage for being full: otherwise tasks queue there for seconds
// while other workers are idle.
func (p *Planner) packingCost(job *jobstate.Job, worker *jobstate.Worker, cost float64) float64 {
	machine := p.state.TypeOf(worker)
	if machine.CPUs <= 0 {
		return 0
	}
	freeShare := 1.0
	if hasRoomNow(job, worker) {
		freeShare = max(0, worker.Matrix[0].Free.CPUs) / machine.CPUs
	}
	surcharge := 0.0 // excess of the on-demand price, relative to the spot price
	if !worker.View.Spot && machine.SpotPrice > 0 {
		surcharge = max(0, machine.Price/machine.SpotPrice-1)
	}
	return p.state.Operator.PackingPreferenceS*freeShare*(1+surcharge) + p.state.Operator.SpotPreferenceShare*cost*surcharge
}
