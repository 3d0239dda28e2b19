package planner

import (
	"math"
	"sort"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

const (
	maxPreemptionsPerPass = 24  // maximum number of tasks stopped in one pass
	maxPreemptionWorkers  = 200 // maximum number of workers examined in one pass
	maxPreemptionLoss     = 0.5 // maximum ratio of the work wasted to the work that can start
	nearlyDoneS           = 3   // a task without checkpoints that ends within this time is not stopped
	minLossCPUs           = 0.1 // minimum number of CPUs assumed for a stopped task
)

// preemptionCandidate is a running task that may be stopped for another job.
type preemptionCandidate struct {
	placement *jobstate.Placement
	lossS     float64 // run time that stopping it now wastes
}

// preempt makes room for urgent jobs that are about to miss a start objective or a deadline, by
// stopping tasks of lower priority that have enough slack to run again and of whose work little is
// wasted. It makes no room for gangs. One pass examines at most maxPreemptionWorkers workers; the next
// pass continues from there.
func (p *Planner) preempt(waiting []*jobstate.Job, schedulable []*jobstate.Worker) {
	var urgent []*jobstate.Job
	for _, job := range waiting {
		if p.state.PlaceableTasks(job) > 0 && !job.Cancelled && !job.Spec.Gang() && p.mustStartSoon(job) {
			urgent = append(urgent, job)
		}
	}
	budget := maxPreemptionsPerPass
	for range min(len(schedulable), maxPreemptionWorkers) {
		for len(urgent) > 0 && len(urgent[0].Pending) == 0 {
			urgent = urgent[1:]
		}
		if budget <= 0 || len(urgent) == 0 {
			return
		}
		p.lastPreemptIndex++
		budget -= p.preemptOnWorker(urgent[0], schedulable[p.lastPreemptIndex%len(schedulable)], budget)
	}
}

// preemptOnWorker stops up to limit tasks on a worker and places tasks of the job there instead.
// It returns how many it stopped.
func (p *Planner) preemptOnWorker(job *jobstate.Job, worker *jobstate.Worker, limit int) int {
	if worker.Cordoned || !p.eligible(job, worker) {
		return 0
	}
	if fetchS := p.state.FetchTime(job, worker); fetchS > 0 && p.missesStartObjective(job, fetchS) && !p.missesStartObjective(job, 0) {
		return 0 // the image fetch would miss a start objective; prefer a worker that caches the image
	}
	use := zoneUseOf(job)
	maxStarts := min(p.state.PlaceableTasks(job), use.Room(job.Spec, worker.View.Zone))
	stopped, starts := p.selectPreemptions(job, worker, maxStarts, limit)
	if starts == 0 {
		return 0
	}
	for placement := range worker.Placements {
		// Tasks queued on the worker must not take the freed room.
		if placement.State == jobstate.PlacementRecorded && placement.Job.Spec.Rank() < job.Spec.Rank() {
			p.state.WithdrawPlacement(placement)
		}
	}
	for _, candidate := range stopped {
		p.state.HaltTask(candidate.placement, 0)
		worker.Matrix[0].Free = worker.Matrix[0].Free.Add(candidate.placement.Job.Resources, 1)
	}
	p.state.Stats.Preempted += len(stopped)
	for ; starts > 0 && p.state.PlaceableTasks(job) > 0; starts-- {
		p.placePending(job, worker, 0)
	}
	return len(stopped)
}

// selectPreemptions selects up to limit tasks to stop on a worker, as long as they waste little
// work compared with the work of the job that can then start. It also returns how many tasks of
// the job can start, at most maxStarts.
func (p *Planner) selectPreemptions(job *jobstate.Job, worker *jobstate.Worker, maxStarts, limit int) (picked []preemptionCandidate, starts int) {
	free := worker.Matrix[0].Free
	runS := job.RunEstimate()
	loss := 0.0 // CPU-seconds
	for _, candidate := range p.preemptionCandidates(job, worker) {
		if starts >= maxStarts || len(picked) >= limit {
			break
		}
		victim := candidate.placement.Job
		freed := free.Add(victim.Resources, 1)
		n := startableTasks(job, freed, starts, maxStarts)
		newLoss := loss + candidate.lossS*max(victim.Resources.CPUs, minLossCPUs)
		if n > 0 && newLoss > maxPreemptionLoss*runS*job.Resources.CPUs*float64(n) {
			break
		}
		free, loss, starts = freed, newLoss, n
		picked = append(picked, candidate)
	}
	return picked, starts
}

// startableTasks returns how many of at most maxStarts tasks of the job fit into free together, given
// that at least n of them do.
func startableTasks(job *jobstate.Job, free matching.Resources, n, maxStarts int) int {
	for n < maxStarts && job.Resources.Scale(float64(n+1)).Fits(free) {
		n++
	}
	return n
}

// preemptionCandidates returns the tasks on a worker that may be stopped for a job, in ascending
// order of loss. It omits tasks without checkpoints that should end within nearlyDoneS.
func (p *Planner) preemptionCandidates(job *jobstate.Job, worker *jobstate.Worker) []preemptionCandidate {
	var candidates []preemptionCandidate
	for placement := range worker.Placements {
		if !p.preemptible(placement, job) {
			continue
		}
		spec := placement.Job.Spec
		elapsedS := p.state.Now.Sub(placement.RunningSince).Seconds()
		lossS := elapsedS
		if spec.CheckpointIntervalS > 0 {
			lossS = math.Mod(elapsedS, spec.CheckpointIntervalS)
		}
		if placement.Job.RunEstimate()-elapsedS < nearlyDoneS && spec.CheckpointIntervalS == 0 {
			continue
		}
		candidates = append(candidates, preemptionCandidate{placement, lossS})
	}
	sort.Slice(candidates, func(a, b int) bool {
		if candidates[a].lossS != candidates[b].lossS {
			return candidates[a].lossS < candidates[b].lossS
		}
		return candidates[a].placement.Attempt < candidates[b].placement.Attempt
	})
	return candidates
}

// preemptible reports whether the task of a placement is running, has lower priority than the
// job, and has enough slack to run again.
func (p *Planner) preemptible(placement *jobstate.Placement, job *jobstate.Job) bool {
	victim := placement.Job
	if placement.State != jobstate.PlacementReported || placement.RunningSince.IsZero() || !placement.FirstHaltAt.IsZero() || placement.Exited {
		return false
	}
	return !victim.Cancelled && !victim.Spec.Service() && !victim.Spec.Gang() && victim.Spec.Rank() < job.Spec.Rank() && p.slack(victim, 0) >= lateSlackS
}
