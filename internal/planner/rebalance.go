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
	rebalancedTasks = 32  // queued tasks that one Rebalance looks for another worker for, at most
	countedWaitS    = 600 // a longer wait counts as this in its job's average
)

// rebalancing is what one Rebalance knows of the queues.
type rebalancing struct {
	open        []*jobstate.Worker
	waitS       map[*jobstate.Placement]float64     // still, of queued placements
	average     map[*jobstate.Job]*jobstate.Average // of these, by job
	unreachable []*jobstate.Placement               // scratch space
}

// Rebalance looks at tasks that are queued and not granted yet. It withdraws those on
// workers where none may start, and places those that wait much longer than planned on a
// second worker where that is now better; of two placements of a task that both wait too
// long the longer one makes room for a third. A task for which no worker is better now goes
// back to those that wait for room, in its place in line: later tasks took all room before
// the next look, and it waited for minutes beside them. The caller holds the state's Mu.
func (p *Planner) Rebalance() {
	p.state.Now = time.Now()
	r := &rebalancing{open: p.openWorkers()}
	p.resetRoom()
	p.readQueues(r)
	budget := rebalancedTasks
	for _, job := range p.state.JobOrder {
		if job.Cancelled || job.EndStage != "" || job.Spec.Gang() {
			continue
		}
		for _, placements := range job.Placements {
			if p.withdrawUnreachable(r, placements) {
				continue // never granted: the task can simply be placed elsewhere
			}
			task := p.overdue(r, job, placements)
			if task == nil {
				continue
			}
			if budget--; budget < 0 {
				return
			}
			if !p.placeAgain(r, placements, task) && task.leastWaitS > p.state.Operator.QueueHorizonS+p.state.Operator.ReplaceAfterS {
				p.withdrawAll(placements)
			}
		}
	}
}

// readQueues notes the waits that the workers' views report of queued placements.
func (p *Planner) readQueues(r *rebalancing) {
	r.waitS = map[*jobstate.Placement]float64{}
	r.average = map[*jobstate.Job]*jobstate.Average{}
	for _, worker := range p.state.Workers {
		for _, queued := range worker.View.Queue {
			for placement := range worker.Placements {
				if placement.State == jobstate.PlacementRecorded && placement.Attempt == queued.Attempt && placement.Ref == queued.TaskRef {
					r.noteWait(placement, queued.WaitS)
				}
			}
		}
	}
}

// noteWait notes for how many seconds a queued placement still waits.
func (r *rebalancing) noteWait(placement *jobstate.Placement, waitS float64) {
	r.waitS[placement] = waitS
	average := r.average[placement.Job]
	if average == nil {
		average = &jobstate.Average{}
		r.average[placement.Job] = average
	}
	average.Add(min(waitS, countedWaitS))
}

// averageWaitS is the average wait of the job's queued placements; 0: none is known.
func (r *rebalancing) averageWaitS(job *jobstate.Job) float64 {
	if average := r.average[job]; average != nil {
		return average.Mean()
	}
	return 0
}

// withdrawUnreachable withdraws those of a task's placements that are queued on workers
// where the task may not start, and reports whether there were any.
func (p *Planner) withdrawUnreachable(r *rebalancing, placements []*jobstate.Placement) bool {
	r.unreachable = r.unreachable[:0]
	for _, placement := range placements {
		if placement.State == jobstate.PlacementRecorded && p.unreachable(placement) {
			r.unreachable = append(r.unreachable, placement)
		}
	}
	for _, placement := range r.unreachable {
		p.state.WithdrawPlacement(placement)
	}
	return len(r.unreachable) > 0
}

// unreachable reports whether the worker of a queued placement is unresponsive, about to
// leave, or without enough of its lease left for the task.
func (p *Planner) unreachable(placement *jobstate.Placement) bool {
	worker := placement.Worker
	lastSign := jobstate.Later(worker.LastHeartbeat, placement.CreatedAt)
	return p.state.Now.Sub(lastSign) > p.heartbeatTimeout() || !worker.NoticeAt.IsZero() || worker.View.Draining ||
		!worker.UnresponsiveSince.IsZero() || !p.state.FitsLease(placement.Job, worker)
}

// overdueTask is a task all of whose placements are queued and wait longer than planned.
type overdueTask struct {
	slowest    *jobstate.Placement // the one that waits longest
	leastWaitS float64             // that any of them still waits
	cost       float64             // the lowest of any
}

// overdue returns a task if all its placements are queued and wait longer than planned; else
// nil.
func (p *Planner) overdue(r *rebalancing, job *jobstate.Job, placements []*jobstate.Placement) *overdueTask {
	averageS := r.averageWaitS(job)
	task := &overdueTask{slowest: placements[0], leastWaitS: math.Inf(1), cost: math.Inf(1)}
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
		task.cost, task.leastWaitS = min(task.cost, cost), min(task.leastWaitS, waitS)
	}
	return task
}

// withdrawAll withdraws a task's placements, none of which was granted.
func (p *Planner) withdrawAll(placements []*jobstate.Placement) {
	for _, placement := range slices.Clone(placements) { // withdrawing takes each out of the list
		p.state.WithdrawPlacement(placement)
	}
}

// placeAgain places a queued task on another worker too if that costs at least a second
// less than its cost, and reports whether one does. If it has maxPlacements already, the
// slowest is withdrawn: else a task that waits on two workers behind long ones stays there
// beside an idle worker.
func (p *Planner) placeAgain(r *rebalancing, placements []*jobstate.Placement, task *overdueTask) bool {
	slowest := task.slowest
	job := slowest.Job
	var best *jobstate.Worker
	bestEstimate := estimate{cost: task.cost - 1}
	for _, worker := range p.candidates(job, p.workersWithRoom(job, r.open)) {
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
