package planner

import (
	"math"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
)

const (
	maxBatchTasks        = 96  // tasks in a batch, at most
	maxBatchJobs         = 24  // jobs that a batch takes tasks from, at most
	maxPlacementsPerPass = 400 // bounds what one pass adds to the shard's log
)

// Pass runs one scheduling pass: it matches waiting tasks in batches, most urgent jobs
// first, until nothing more starts within the horizon or the budget of placements is used
// up, and then preempts for urgent jobs that are left. In the second case PlanSignal is
// set for another pass. Without a second of lease left, or without a shard, it does
// nothing. The caller holds the state's Mu.
func (p *Planner) Pass() {
	if p.state.Membership.LeaseRemaining() < time.Second || len(p.state.Loaded) == 0 {
		return
	}
	p.state.Now = time.Now()
	waiting := p.waitingJobs()
	if len(waiting) == 0 {
		return
	}
	open := p.schedulableWorkers()
	p.resetCaches()
	p.SortJobs(waiting)
	all := append([]*jobstate.Job(nil), waiting...)
	for budget := maxPlacementsPerPass; len(waiting) > 0; {
		if budget <= 0 {
			jobstate.Notify(p.state.PlanSignal) // what is left is for the next pass
			break
		}
		var placed int
		waiting, placed = p.placeNextBatch(waiting, open, budget)
		budget -= placed
	}
	p.preempt(all, open)
	p.releaseReservedRoom(open)
}

// waitingJobs lists the jobs of which a task may be placed now.
func (p *Planner) waitingJobs() []*jobstate.Job {
	var waiting []*jobstate.Job
	for _, job := range p.state.JobOrder {
		if !job.Cancelled && job.EndStage == "" && p.state.Now.After(job.NotBefore) && p.state.PlaceableTasks(job) > 0 {
			waiting = append(waiting, job)
		}
	}
	return waiting
}

// placeNextBatch places tasks of the first jobs in line, and reserves room for those of
// them that got none if jobs of lower priority come next. It returns the jobs that are
// left for the next batch, in the space of waiting, and how many tasks it placed of jobs
// other than gangs.
func (p *Planner) placeNextBatch(waiting []*jobstate.Job, open []*jobstate.Worker, budget int) (left []*jobstate.Job, placed int) {
	rank, mustBegin := waiting[0].Spec.Rank(), p.state.NeedsFirstStart(waiting[0])
	jobs := p.nextBatch(waiting, mustBegin)
	for _, job := range jobs {
		if job.Spec.Gang() {
			p.placeGang(job, open)
		}
	}
	placedOf := p.placeBatch(jobs, open, min(budget, maxBatchTasks))
	for _, n := range placedOf {
		placed += n
	}
	left = p.remainingJobs(waiting, jobs, placedOf)
	if mustBegin {
		// Only for first tasks: what began has its turn with all others.
		jobs = slices.DeleteFunc(jobs, func(job *jobstate.Job) bool { return !p.state.NeedsFirstStart(job) })
		p.SortJobs(left)
	}
	if len(left) > 0 && (mustBegin || left[0].Spec.Rank() < rank) {
		p.reserveRoom(jobs, open)
	}
	return left, placed
}

// nextBatch picks the jobs of a batch: those that must begin, or those of the first job's
// priority and tier.
func (p *Planner) nextBatch(waiting []*jobstate.Job, mustBegin bool) []*jobstate.Job {
	rank, tier := waiting[0].Spec.Rank(), waiting[0].Tier
	var jobs []*jobstate.Job
	for _, job := range waiting {
		if len(jobs) < maxBatchJobs && p.state.NeedsFirstStart(job) == mustBegin && (mustBegin || job.Spec.Rank() == rank && job.Tier == tier) {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// remainingJobs filters waiting in place: without the jobs of which nothing more waits, and
// without those of which the batch placed nothing, which are left for later passes.
func (p *Planner) remainingJobs(waiting, batch []*jobstate.Job, placedOf map[*jobstate.Job]int) []*jobstate.Job {
	left := waiting[:0]
	considered := map[*jobstate.Job]bool{}
	for _, job := range batch {
		considered[job] = true
	}
	for _, job := range waiting {
		if p.state.PlaceableTasks(job) > 0 && (!considered[job] || placedOf[job] > 0) {
			left = append(left, job)
		}
	}
	return left
}

// placePending places the job's last pending task on a worker.
func (p *Planner) placePending(job *jobstate.Job, worker *jobstate.Worker, waitS float64) {
	task := job.Pending[len(job.Pending)-1]
	job.Pending = job.Pending[:len(job.Pending)-1]
	p.placeTask(job, task, worker, waitS)
}

// placeTask places a task on a worker; the dispatcher is notified once the placement is
// recorded. A gang's tasks share an attempt, which placeGang sets.
func (p *Planner) placeTask(job *jobstate.Job, task int, worker *jobstate.Worker, waitS float64) {
	chunk := job.Chunks[task/jobrecord.ChunkSize]
	placement := &jobstate.Placement{
		Job: job, Chunk: chunk, Task: task, Attempt: chunk.NextAttempt, Worker: worker, PlannedWaitS: waitS, CreatedAt: time.Now(),
	}
	if !job.Spec.Gang() {
		chunk.NextAttempt++
	}
	p.state.AddPlacement(placement)
	p.state.RecordChange(jobstate.Change{Kind: jobstate.PlacementAdded, Placement: placement})
	jobstate.Notify(p.state.WriteSignal)
	p.state.Stats.Placed++
	runS := job.RunEstimate() + p.state.FetchTime(job, worker)
	if startS := worker.Matrix.Wait(job.Resources, runS); !math.IsInf(startS, 1) {
		worker.Matrix = worker.Matrix.Reserve(job.Resources, startS, runS)
	}
}
