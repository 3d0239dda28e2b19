package planner

import (
	"math"
	"sort"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	minEvictionGain = 3    // minimum ratio of the cost that evictions save to the cost of the work that they waste
	maxEvictionLoss = 0.35 // maximum share of a task's run that its eviction may waste
)

// Evict stops the tasks with the longest remaining time on a cordoned worker if the wasted work
// costs much less than keeping the machine until these tasks end, and if other workers have enough
// free CPUs for them. Otherwise a few small tasks would occupy a large machine for minutes. Evict also
// withdraws placements that have waited for a grant on a cordoned worker for more than
// cordonedQueueWait. The caller holds the state's Mu.
func (p *Planner) Evict() {
	cordoned, freeCPUs := p.cordonedWorkers()
	if len(cordoned) == 0 {
		return
	}
	for _, job := range p.state.JobOrder {
		if !job.Cancelled {
			freeCPUs -= float64(len(job.Pending)) * job.Resources.CPUs
		}
	}
	sort.Slice(cordoned, func(a, b int) bool {
		x, y := cordoned[a], cordoned[b]
		if len(x.Placements) != len(y.Placements) {
			return len(x.Placements) < len(y.Placements)
		}
		return x.Index < y.Index
	})
	for _, worker := range cordoned {
		p.withdrawQueued(worker)
		for _, candidate := range p.selectEvictions(worker, freeCPUs) {
			freeCPUs -= candidate.placement.Job.Resources.CPUs
			p.evictTask(candidate.placement)
		}
	}
}

// cordonedWorkers returns the cordoned workers, and the free CPUs of the workers that are not
// cordoned, draining or about to be reclaimed. It omits workers without a wait matrix.
func (p *Planner) cordonedWorkers() (cordoned []*jobstate.Worker, freeCPUs float64) {
	for _, worker := range p.state.WorkersByIndex {
		switch {
		case worker == nil || len(worker.Matrix) == 0:
		case worker.Cordoned:
			cordoned = append(cordoned, worker)
		case !worker.View.Draining && worker.ReclaimAt.IsZero():
			freeCPUs += max(0, worker.Matrix[0].Free.CPUs)
		}
	}
	return cordoned, freeCPUs
}

// withdrawQueued withdraws the placements on a cordoned worker that have waited for a grant for
// more than cordonedQueueWait: their tasks can be placed elsewhere at no loss.
func (p *Planner) withdrawQueued(worker *jobstate.Worker) {
	for placement := range worker.Placements {
		if !placement.MayRun() && !placement.Exited && p.state.Now.Sub(placement.CreatedAt) > cordonedQueueWait {
			p.state.WithdrawPlacement(placement)
		}
	}
}

// evictTask stops a task to empty its worker.
func (p *Planner) evictTask(placement *jobstate.Placement) {
	job := placement.Job
	if job.Evicted == nil {
		job.Evicted = map[int]bool{}
	}
	job.Evicted[placement.Task] = true
	p.state.HaltTask(placement, job.Spec.CheckpointSaveS+1)
	p.state.Stats.Evicted++
}

// evictionCandidate is a task on a cordoned worker.
type evictionCandidate struct {
	placement         *jobstate.Placement
	remainingS, lossS float64 // time until it ends, and run time that stopping it wastes
	evictable         bool
}

// evictionCandidates returns the tasks on a worker that are not being stopped, in descending
// order of remaining time.
func (p *Planner) evictionCandidates(worker *jobstate.Worker) []evictionCandidate {
	var candidates []evictionCandidate
	for placement := range worker.Placements {
		if placement.Exited || !placement.FirstHaltAt.IsZero() {
			continue
		}
		candidate := evictionCandidate{placement: placement, remainingS: placement.Job.RunEstimate()}
		if !placement.RunningSince.IsZero() {
			elapsedS := p.state.Now.Sub(placement.RunningSince).Seconds()
			candidate.remainingS = matching.RemainingRun(candidate.remainingS, elapsedS)
		}
		candidate.lossS, candidate.evictable = p.evictable(placement)
		candidates = append(candidates, candidate)
	}
	sort.Slice(candidates, func(a, b int) bool {
		if candidates[a].remainingS != candidates[b].remainingS {
			return candidates[a].remainingS > candidates[b].remainingS
		}
		return candidates[a].placement.Attempt < candidates[b].placement.Attempt
	})
	return candidates
}

// selectEvictions selects the tasks to stop on a worker: those that would occupy it longest, as
// long as the saving is at least minEvictionGain times the waste and freeCPUs on other workers
// suffice. The remaining tasks end soon by themselves.
func (p *Planner) selectEvictions(worker *jobstate.Worker, freeCPUs float64) []evictionCandidate {
	machine := p.state.TypeOf(worker)
	if machine.CPUs <= 0 || machine.SpotPrice <= 0 {
		return nil
	}
	candidates := p.evictionCandidates(worker)
	return candidates[:evictionCount(candidates, machine, freeCPUs)]
}

// evictionCount returns how many candidates, counted from the first, to stop for the highest gain: the
// price of the machine time saved, less minEvictionGain times the price of the work wasted. It
// returns 0 if no number has a gain. It counts only candidates before the first that is not
// evictable or does not fit into freeCPUs with those before it.
func evictionCount(candidates []evictionCandidate, machine *wire.MachineType, freeCPUs float64) int {
	count, bestGain := 0, 0.0
	wasted, allResume := 0.0, true
	for i, candidate := range candidates {
		job := candidate.placement.Job
		cpus := job.Resources.CPUs
		if freeCPUs -= cpus; !candidate.evictable || freeCPUs < 0 {
			break
		}
		wasted += candidate.lossS * cpus * machine.SpotPrice / machine.CPUs
		allResume = allResume && (job.Spec.CheckpointIntervalS > 0 || candidate.lossS == 0)
		nextRemainingS := 0.0
		if i+1 < len(candidates) {
			nextRemainingS = candidates[i+1].remainingS
		}
		if !allResume && i+1 < len(candidates) {
			continue // a task without checkpoints starts over and may finish late: stop it only if the worker becomes empty
		}
		if gain := machine.Price*(candidates[0].remainingS-nextRemainingS) - minEvictionGain*wasted; gain > bestGain {
			count, bestGain = i+1, gain
		}
	}
	return count
}

// evictable reports whether a task may be stopped to empty its worker, and how many seconds of
// its run that wastes. Each task is evicted at most once.
func (p *Planner) evictable(placement *jobstate.Placement) (lossS float64, ok bool) {
	job := placement.Job
	if placement.State != jobstate.PlacementReported || placement.Exited || !placement.FirstHaltAt.IsZero() ||
		job.Cancelled || job.Spec.Gang() || job.Spec.Service() || job.Evicted[placement.Task] {
		return 0, false
	}
	if placement.RunningSince.IsZero() {
		return 0, true
	}
	elapsedS := p.state.Now.Sub(placement.RunningSince).Seconds()
	if len(job.Class.StartObjectives) > 0 && elapsedS < jobstate.MinCountedRunS {
		return 0, false
	}
	if job.Spec.CheckpointIntervalS > 0 {
		return math.Min(elapsedS, job.Spec.CheckpointSaveS), true
	}
	// A restart must not miss a deadline that the task meets by running on. A task that is
	// already late is not stopped either: its job as a whole would finish even later.
	ageS, runS := p.state.Now.Sub(job.AcceptedAt).Seconds(), job.RunEstimate()
	remainingS, late := max(runS-elapsedS, 1), true
	for _, deadlineS := range p.state.Deadlines(job) {
		late = late && deadlineS < ageS+remainingS
		if deadlineS >= ageS+remainingS && deadlineS < ageS+jobstate.RunTimeMargin*runS+jobstate.RestartOverheadS {
			return 0, false
		}
	}
	return elapsedS, !late && elapsedS < maxEvictionLoss*runS
}
