package planner

import (
	"math"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/admission"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

const (
	triageInterval   = time.Second
	arrivalWindowS   = 40.0 // time constant in seconds for averaging the arrival of work
	overloadStart    = 1.5  // triage of a priority starts if its work takes longer than this multiple of the mean first deadline
	overloadEnd      = 0.75 // triage of the priority ends if its work takes less than this multiple
	minCapacityShare = 0.1  // minimum share of the capacity assumed for a priority, whatever work of higher priority arrives
	usableShare      = 0.75 // share of the capacity that tasks can use; the rest is lost to gaps, fetches and starts
)

// Triage determines, at most once per triageInterval, which jobs can still meet their deadlines,
// and sets their tiers: see package admission. The capacity of the workers is assigned to
// priorities in descending order; a lower priority is assigned what neither the current nor the
// arriving work of higher priorities uses. Without capacity, the tiers stay as they are. The caller holds the state's Mu.
func (p *Planner) Triage() {
	now := time.Now()
	elapsedS := now.Sub(p.triagedAt).Seconds()
	if elapsedS < triageInterval.Seconds() {
		return
	}
	p.updateArrivalRates(elapsedS)
	p.triagedAt = now
	capacity := p.capacity(now)
	if capacity.CPUs <= 0 {
		return
	}
	byRank, ranks := p.jobsByRank()
	t := &triage{now: now, capacity: capacity}
	for _, rank := range ranks {
		p.triageRank(t, rank, byRank[rank])
	}
}

// triage is the progress of one run of Triage, from the highest priority to the lowest.
type triage struct {
	now             time.Time
	capacity        matching.Resources
	higherPriorityS float64 // time that the work of higher priorities takes
	arrivingShare   float64 // share of the capacity used by arriving work of higher priorities
}

// updateArrivalRates updates the averages of the rates at which work arrives, elapsedS after the
// last update.
func (p *Planner) updateArrivalRates(elapsedS float64) {
	first := p.triagedAt.IsZero()
	for _, arriving := range p.state.Arriving {
		if !first {
			arriving.Rate += (1 - math.Exp(-elapsedS/arrivalWindowS)) * ((arriving.Admitted-arriving.LastAdmitted)/elapsedS - arriving.Rate)
		}
		arriving.LastAdmitted = arriving.Admitted
	}
}

// arrivalShare returns the share of the capacity that arriving work of a priority uses.
func (p *Planner) arrivalShare(rank int, capacity matching.Resources) float64 {
	share := 0.0
	for _, arriving := range p.state.Arriving {
		if arriving.Rank == rank {
			share += arriving.Rate / capacity.CPUs
		}
	}
	return share
}

// capacity returns the total resources of the workers that send heartbeats, are not draining and
// were not deleted.
func (p *Planner) capacity(now time.Time) matching.Resources {
	var sum matching.Resources
	timeout := p.heartbeatTimeout()
	for _, worker := range p.state.Workers {
		if machine := p.state.TypeOf(worker); !worker.Removed && !worker.View.Draining && now.Sub(worker.LastHeartbeat) < timeout {
			sum = sum.Add(matching.Resources{CPUs: machine.CPUs, GPUs: machine.GPUs, MemoryGB: machine.MemoryGB}, 1)
		}
	}
	return sum
}

// jobsByRank returns the unfinished jobs, except services, by priority, and the priorities in
// descending order. It clears the tiers of all jobs.
func (p *Planner) jobsByRank() (byRank map[int][]*jobstate.Job, ranks []int) {
	byRank = map[int][]*jobstate.Job{}
	for _, job := range p.state.JobOrder {
		job.Tier = 0
		if job.Cancelled || job.EndStage != "" || job.Spec.Service() {
			continue
		}
		rank := job.Spec.Rank()
		if len(byRank[rank]) == 0 {
			ranks = append(ranks, rank)
		}
		byRank[rank] = append(byRank[rank], job)
	}
	slices.Sort(ranks)
	slices.Reverse(ranks)
	return byRank, ranks
}

// triageRank sets the tiers of the jobs of a priority if the priority is overloaded. For the lower
// priorities, it adds to t the work of these jobs and the share that arriving work uses.
func (p *Planner) triageRank(t *triage, rank int, jobs []*jobstate.Job) {
	workS := 0.0
	remaining := make([]admission.Job, 0, len(jobs))
	for _, job := range jobs {
		left := p.remainingWork(job, t)
		workS += left.Work
		remaining = append(remaining, left)
	}
	share := usableShare * max(minCapacityShare, 1-t.arrivingShare)
	// While all jobs finish on time or only slightly late, the order of their deadlines is best:
	// all make progress, and few are late.
	if deadlineS := p.meanFirstDeadline(jobs); deadlineS > 0 {
		completionS := t.higherPriorityS + workS/share
		p.overloaded[rank] = completionS > overloadStart*deadlineS || p.overloaded[rank] && completionS > overloadEnd*deadlineS
	}
	if p.overloaded[rank] {
		for i, tier := range admission.AssignTiers(remaining, share, t.higherPriorityS) {
			jobs[i].Tier = tier
		}
	}
	t.higherPriorityS += workS / usableShare
	t.arrivingShare += p.arrivalShare(rank, t.capacity) / usableShare
}

// meanFirstDeadline returns the mean of the jobs' first deadlines, in seconds from acceptance; 0
// if no job has a deadline.
func (p *Planner) meanFirstDeadline(jobs []*jobstate.Job) float64 {
	sumS, n := 0.0, 0
	for _, job := range jobs {
		if deadlines := p.state.Deadlines(job); len(deadlines) > 0 {
			sumS += slices.Min(deadlines)
			n++
		}
	}
	return sumS / float64(max(1, n))
}

// remainingWork returns the remaining work and deadlines of a job. The work is the time in
// seconds for which it would occupy the whole capacity.
func (p *Planner) remainingWork(job *jobstate.Job, t *triage) admission.Job {
	capacity := t.capacity
	share := job.Resources.CPUs / capacity.CPUs
	if capacity.GPUs > 0 {
		share = max(share, job.Resources.GPUs/capacity.GPUs)
	}
	if capacity.MemoryGB > 0 {
		share = max(share, job.Resources.MemoryGB/capacity.MemoryGB)
	}
	runS := job.RunEstimate()
	tasks := float64(job.Spec.Tasks-job.Finished) - float64(job.Running)/2 // running tasks are half done on average
	remaining := admission.Job{Work: max(0, tasks) * runS * share, Span: runS / 2}
	if len(job.Pending) > 0 {
		remaining.Span = jobstate.RunTimeMargin*runS + jobstate.RestartOverheadS
	}
	ageS := float64(t.now.UnixMilli()-job.AcceptedMs) / 1000
	for _, deadlineS := range p.state.Deadlines(job) {
		remaining.Deadlines = append(remaining.Deadlines, deadlineS-ageS)
	}
	slices.Sort(remaining.Deadlines)
	remaining.Deadlines = slices.Compact(remaining.Deadlines)
	return remaining
}
