package planner

import (
	"math"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

const (
	maxPlacements      = 2   // maximum number of workers on which a task is queued at the same time
	maxRebalancedTasks = 32  // maximum number of overdue tasks handled by one Rebalance
	maxCountedWaitS    = 600 // cap of a single wait in its job's average
)

// rebalanceState is the view of the queues and the scratch space of one run of Rebalance.
type rebalanceState struct {
	schedulable []*jobstate.Worker
	waitS       map[*jobstate.Placement]float64     // remaining wait of queued placements
	average     map[*jobstate.Job]*jobstate.Average // of these waits, by job
	unstartable []*jobstate.Placement               // scratch space
}

// Rebalance examines tasks that are queued and not granted yet. It withdraws placements on
// workers where the task can no longer be expected to start, and places tasks that wait much
// longer than planned on a second worker if that is now cheaper; if both placements of a task
// wait too long, the slower one is replaced. If no worker is better and all waits of a task exceed
// the horizon plus ReplaceAfterS, the task becomes pending again and keeps its place in the
// scheduling order: otherwise later tasks take all the room before the next run, and the task
// waits for minutes. The caller holds the state's Mu.
func (p *Planner) Rebalance() {
	p.state.Now = time.Now()
	r := &rebalanceState{schedulable: p.schedulableWorkers()}
	p.resetCaches()
	p.readQueues(r)
	budget := maxRebalancedTasks
	for _, job := range p.state.JobOrder {
		if job.Cancelled || job.EndStage != "" || job.Spec.Gang() {
			continue
		}
		for _, placements := range job.Placements {
			if p.withdrawUnstartable(r, placements) {
				continue // never granted, so the task can be placed elsewhere at no loss
			}
			task := p.findOverdue(r, job, placements)
			if task == nil {
				continue
			}
			if budget--; budget < 0 {
				return
			}
			if !p.placeDuplicate(r, placements, task) && task.minWaitS > p.state.Operator.QueueHorizonS+p.state.Operator.ReplaceAfterS {
				p.withdrawAll(placements)
			}
		}
	}
}

// readQueues records the waits of queued placements that the workers' views report.
func (p *Planner) readQueues(r *rebalanceState) {
	r.waitS = map[*jobstate.Placement]float64{}
	r.average = map[*jobstate.Job]*jobstate.Average{}
	for _, worker := range p.state.Workers {
		for _, queued := range worker.View.Queue {
			for placement := range worker.Placements {
				if placement.State == jobstate.PlacementRecorded && placement.Attempt == queued.Attempt && placement.Ref == queued.TaskRef {
					r.recordWait(placement, queued.WaitS)
				}
			}
		}
	}
}

// recordWait records the remaining wait in seconds of a queued placement.
func (r *rebalanceState) recordWait(placement *jobstate.Placement, waitS float64) {
	r.waitS[placement] = waitS
	average := r.average[placement.Job]
	if average == nil {
		average = &jobstate.Average{}
		r.average[placement.Job] = average
	}
	average.Add(min(waitS, maxCountedWaitS))
}

// averageWaitS returns the average remaining wait of the job's queued placements; 0 if none is
// known.
func (r *rebalanceState) averageWaitS(job *jobstate.Job) float64 {
	if average := r.average[job]; average != nil {
		return average.Mean()
	}
	return 0
}

// withdrawUnstartable withdraws a task's queued placements that can no longer be expected to
// start, see unstartable. It reports whether there were any.
func (p *Planner) withdrawUnstartable(r *rebalanceState, placements []*jobstate.Placement) bool {
	r.unstartable = r.unstartable[:0]
	for _, placement := range placements {
		if placement.State == jobstate.PlacementRecorded && p.unstartable(placement) {
			r.unstartable = append(r.unstartable, placement)
		}
	}
	for _, placement := range r.unstartable {
		p.state.WithdrawPlacement(placement)
	}
	return len(r.unstartable) > 0
}

// unstartable reports whether a queued placement can no longer be expected to start: its worker
// is silent, unresponsive, draining, about to be reclaimed, has too little of its lease left
// for the task, or is in a zone where the job's zone rule by now refuses the grant.
func (p *Planner) unstartable(placement *jobstate.Placement) bool {
	worker := placement.Worker
	lastSeen := jobstate.Later(worker.LastHeartbeat, placement.CreatedAt)
	return p.state.Now.Sub(lastSeen) > p.heartbeatTimeout() || !worker.ReclaimAt.IsZero() || worker.View.Draining ||
		!worker.UnresponsiveSince.IsZero() || !p.state.FitsLease(placement.Job, worker) || !p.state.FitsZone(placement.Job, worker)
}

// overdueTask is a task whose placements are all queued and wait longer than planned.
type overdueTask struct {
	slowest  *jobstate.Placement // placement with the longest remaining wait
	minWaitS float64             // shortest remaining wait of its placements
	cost     float64             // lowest cost of its placements
}

// findOverdue returns the task if all its placements are queued and wait longer than planned;
// nil otherwise.
func (p *Planner) findOverdue(r *rebalanceState, job *jobstate.Job, placements []*jobstate.Placement) *overdueTask {
	averageS := r.averageWaitS(job)
	task := &overdueTask{slowest: placements[0], minWaitS: math.Inf(1), cost: math.Inf(1)}
	for _, placement := range placements {
		waitS, known := r.waitS[placement]
		if placement.State != jobstate.PlacementRecorded || !known {
			return nil
		}
		queuedS := p.state.Now.Sub(placement.CreatedAt).Seconds()
		if !matching.ShouldReplace(placement.PlannedWaitS, queuedS, waitS, max(averageS, placement.PlannedWaitS), p.state.Operator.ReplaceAfterS) {
			return nil
		}
		if waitS > r.waitS[task.slowest] {
			task.slowest = placement
		}
		worker := placement.Worker
		cost := matching.Cost(p.state.FetchTime(job, worker), waitS, job.RunEstimate(), p.state.SuccessRate(worker), p.state.Operator.WorkerFailureCost)
		task.cost, task.minWaitS = min(task.cost, cost), min(task.minWaitS, waitS)
	}
	return task
}

// withdrawAll withdraws a task's placements, none of which was granted.
func (p *Planner) withdrawAll(placements []*jobstate.Placement) {
	for _, placement := range slices.Clone(placements) { // withdrawing modifies the list
		p.state.WithdrawPlacement(placement)
	}
}

// placeDuplicate places a queued task on a further worker if that costs at least a second less
// than its cheapest placement, and reports whether there is such a worker. If the task already
// has maxPlacements, its slowest placement is withdrawn: otherwise a task that waits on two
// workers behind long-running tasks stays there while other workers are idle.
func (p *Planner) placeDuplicate(r *rebalanceState, placements []*jobstate.Placement, task *overdueTask) bool {
	slowest := task.slowest
	job := slowest.Job
	var best *jobstate.Worker
	bestEstimate := estimate{cost: task.cost - 1}
	for _, worker := range p.candidates(job, p.workersWithRoom(job, r.schedulable)) {
		if slices.ContainsFunc(placements, func(placement *jobstate.Placement) bool { return placement.Worker == worker }) {
			continue
		}
		if e, ok := p.estimate(job, worker); ok && e.cost < bestEstimate.cost {
			best, bestEstimate = worker, e
		}
	}
	if best == nil {
		return false
	}
	if len(placements) >= maxPlacements {
		p.state.WithdrawPlacement(slowest)
	}
	p.state.Stats.Duplicates++
	p.placeTask(job, slowest.Task, best, bestEstimate.waitS)
	return true
}
