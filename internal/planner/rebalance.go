package planner

import (
	"math"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

const (
	maxPlacements   = 2   // workers where a task is queued at once, at most
	maxRebalancedTasks = 32  // queued tasks that one Rebalance looks for another worker for, at most
	maxCountedWaitS    = 600 // a longer wait counts as this in its job's average
)

// rebalanceState is what one Rebalance knows of the queues.
type rebalanceState struct {
	schedulable        []*jobstate.Worker
	waitS       map[*jobstate.Placement]float64     // still, of queued placements
	average     map[*jobstate.Job]*jobstate.Average // of these, by job
	unstartable []*jobstate.Placement               // scratch space
}

// Rebalance looks at tasks that are queued and not granted yet. It withdraws those on
// workers where none may start, and places those that wait much longer than planned on a
// second worker where that is now better; of two placements of a task that both wait too
// long the longer one makes room for a third. A task for which no worker is better now goes
// back to those that wait for room, in its place in line: later tasks took all room before
// the next look, and it waited for minutes beside them. The caller holds the state's Mu.
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
				continue // never granted: the task can simply be placed elsewhere
			}
			task := p.findOverdue(r, job, placements)
			if task == nil {
				continue
			}
			if budget--; budget < 0 {
				return
			}
			if !p.placeDuplicate(r, placements, task) && task.minWaitS > p.state.Operator.HorizonS+p.state.Operator.ReplaceAfterS {
				p.withdrawAll(placements)
			}
		}
	}
}

// readQueues notes the waits that the workers' views report of queued placements.
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

// recordWait notes for how many seconds a queued placement still waits.
func (r *rebalanceState) recordWait(placement *jobstate.Placement, waitS float64) {
	r.waitS[placement] = waitS
	average := r.average[placement.Job]
	if average == nil {
		average = &jobstate.Average{}
		r.average[placement.Job] = average
	}
	average.Add(min(waitS, maxCountedWaitS))
}

// averageWaitS is the average wait of the job's queued placements; 0: none is known.
func (r *rebalanceState) averageWaitS(job *jobstate.Job) float64 {
	if average := r.average[job]; average != nil {
		return average.Mean()
	}
	return 0
}

// withdrawUnstartable withdraws those of a task's placements that are queued on workers
// where the task may not start, and reports whether there were any.
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

// unstartable reports whether the worker of a queued placement is unresponsive, about to
// leave, or without enough of its lease left for the task.
func (p *Planner) unstartable(placement *jobstate.Placement) bool {
	worker := placement.Worker
	lastSeen := jobstate.Later(worker.LastHeartbeat, placement.CreatedAt)
	return p.state.Now.Sub(lastSeen) > p.heartbeatTimeout() || !worker.ReclaimAt.IsZero() || worker.View.Draining ||
		!worker.UnresponsiveSince.IsZero() || !p.state.FitsLease(placement.Job, worker)
}

// overdueTask is a task all of whose placements are queued and wait longer than planned.
type overdueTask struct {
	slowest    *jobstate.Placement // the one that waits longest
	minWaitS float64             // that any of them still waits
	cost       float64             // the lowest of any
}

// findOverdue returns a task if all its placements are queued and wait longer than planned; else
// nil.
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
		cost := matching.Cost(p.state.FetchTime(job, worker), waitS, job.RunEstimate(), p.state.SuccessRate(worker), p.state.Operator.KFail)
		task.cost, task.minWaitS = min(task.cost, cost), min(task.minWaitS, waitS)
	}
	return task
}

// withdrawAll withdraws a task's placements, none of which was granted.
func (p *Planner) withdrawAll(placements []*jobstate.Placement) {
	for _, placement := range slices.Clone(placements) { // withdrawing takes each out of the list
		p.state.WithdrawPlacement(placement)
	}
}

// placeDuplicate places a queued task on another worker too if that costs at least a second
// less than its cost, and reports whether one does. If it has maxPlacements already, the
// slowest is withdrawn: else a task that waits on two workers behind long ones stays there
// beside an idle worker.
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
