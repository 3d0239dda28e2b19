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
	triageInterval = time.Second
	arrivalWindowS = 40.0 // over which arriving work is averaged
	overloadStart   = 1.5  // times the usual first limit, that all work of a priority must take for triage to begin
	overloadEnd  = 0.75 // times the same, below which it ends
	minCapacityShare     = 0.1  // of the capacity, that a priority is taken to get whatever arrives above it
	usableShare    = 0.75 // of the capacity, that tasks keep busy: the rest is gaps, fetches and starts
)

// Triage finds, at most once in triageInterval, which jobs can still be done in time, and
// sets their tiers: see package admission. The capacity of the workers goes to priorities
// from the highest on; what a lower one gets is what the work above it, and its arrival,
// leave. The caller holds the state's Mu.
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

// triage is one run of Triage, on its way from the highest priority to the lowest.
type triage struct {
	now      time.Time
	capacity matching.Resources
	higherPriorityS   float64 // that the work of higher priorities takes
	arrivalShare     float64 // share of the capacity that the arrival of such work keeps busy
}

// updateArrivalRates averages the rates at which work arrives, elapsedS after the last time.
func (p *Planner) updateArrivalRates(elapsedS float64) {
	first := p.triagedAt.IsZero()
	for _, arriving := range p.state.Arriving {
		if !first {
			arriving.Rate += (1 - math.Exp(-elapsedS/arrivalWindowS)) * ((arriving.Admitted-arriving.LastAdmitted)/elapsedS - arriving.Rate)
		}
		arriving.LastAdmitted = arriving.Admitted
	}
}

// arrivalShare is the share of the capacity that arriving work of a priority keeps busy.
func (p *Planner) arrivalShare(rank int, capacity matching.Resources) float64 {
	share := 0.0
	for _, arriving := range p.state.Arriving {
		if arriving.Rank == rank {
			share += arriving.Rate / capacity.CPUs
		}
	}
	return share
}

// capacity sums up the machines of the workers that are here to stay.
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

// jobsByRank returns the living jobs that end by themselves, by priority, and the
// priorities, highest first. It clears the tiers of all jobs.
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

// triageRank sets the tiers of the jobs of a priority if it is overloaded, and counts them to
// what is above the next one.
func (p *Planner) triageRank(t *triage, rank int, jobs []*jobstate.Job) {
	workS := 0.0
	remaining := make([]admission.Job, 0, len(jobs))
	for _, job := range jobs {
		left := p.remainingWork(job, t)
		workS += left.Work
		remaining = append(remaining, left)
	}
	share := usableShare * max(minCapacityShare, 1-t.arrivalShare)
	// While all can be done a little late at the worst, the order of their limits
	// serves them best: all are served, and few late.
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
	t.arrivalShare += p.arrivalShare(rank, t.capacity) / usableShare
}

// meanFirstDeadline is the mean of the ages, in seconds, by which jobs should be done first; 0 if
// none has a limit.
func (p *Planner) meanFirstDeadline(jobs []*jobstate.Job) float64 {
	sumS, n := 0.0, 0
	for _, job := range jobs {
		if limits := p.state.Deadlines(job); len(limits) > 0 {
			sumS += slices.Min(limits)
			n++
		}
	}
	return sumS / float64(max(1, n))
}

// remainingWork is what is left of a job, with its work in seconds of the whole capacity.
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
	tasks := float64(job.Spec.Tasks-job.Finished) - float64(job.Running)/2 // what runs is half done
	remaining := admission.Job{Work: max(0, tasks) * runS * share, Span: runS / 2}
	if len(job.Pending) > 0 {
		remaining.Span = jobstate.RunTimeMargin*runS + jobstate.RestartOverheadS
	}
	ageS := float64(t.now.UnixMilli()-job.AcceptedMs) / 1000
	for _, limitS := range p.state.Deadlines(job) {
		remaining.Deadlines = append(remaining.Deadlines, limitS-ageS)
	}
	slices.Sort(remaining.Deadlines)
	remaining.Deadlines = slices.Compact(remaining.Deadlines)
	return remaining
}
