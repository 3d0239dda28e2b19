package planner

import (
	"math"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
)

const (
	maxBatchTasks        = 96  // maximum number of tasks in a batch
	maxBatchJobs         = 24  // maximum number of jobs from which a batch takes tasks
	maxPlacementsPerPass = 400 // bounds the records that one pass adds to the shard's log
)

// Pass runs one scheduling pass: it matches waiting tasks in batches, in the order of SortJobs,
// until no further task starts within QueueHorizonS or maxPlacementsPerPass tasks, not counting gangs, are placed, and then
// preempts for urgent jobs that still wait. If that limit stopped it, it signals PlanSignal for
// another pass. It does nothing if less than a second of the lease remains or no shard is
// loaded. The caller holds the state's Mu.
func (p *Planner) Pass() {
	if p.state.Membership.LeaseRemaining() < time.Second || len(p.state.Loaded) == 0 {
		return
	}
	p.state.Now = time.Now()
	waiting := p.waitingJobs()
	if len(waiting) == 0 {
		return
	}
	schedulable := p.schedulableWorkers()
	p.resetCaches()
	p.SortJobs(waiting)
	all := append([]*jobstate.Job(nil), waiting...)
	for budget := maxPlacementsPerPass; len(waiting) > 0; {
		if budget <= 0 {
			jobstate.Notify(p.state.PlanSignal) // the next pass places the remaining tasks
			break
		}
		var placed int
		waiting, placed = p.placeNextBatch(waiting, schedulable, budget)
		budget -= placed
	}
	p.preempt(all, schedulable)
	p.releaseReservedRoom(schedulable)
}

// waitingJobs returns the jobs with tasks that may be placed now.
func (p *Planner) waitingJobs() []*jobstate.Job {
	var waiting []*jobstate.Job
	for _, job := range p.state.JobOrder {
		if !job.Cancelled && job.EndStage == "" && p.state.Now.After(job.NotBefore) && p.state.PlaceableTasks(job) > 0 {
			waiting = append(waiting, job)
		}
	}
	return waiting
}

// placeNextBatch places tasks of the first jobs in waiting. If the next jobs have a lower priority,
// it reserves resources for the jobs of the batch that still wait. A batch of first starts reserves
// them whatever the next jobs' priority, but only for the jobs that still need a first start. It returns the jobs that remain
// for the next batch, reusing the array of waiting, and the number of tasks placed, except those
// of gangs.
func (p *Planner) placeNextBatch(waiting []*jobstate.Job, schedulable []*jobstate.Worker, budget int) (remaining []*jobstate.Job, placed int) {
	rank, needsFirstStart := waiting[0].Spec.Rank(), p.state.NeedsFirstStart(waiting[0])
	jobs := p.nextBatch(waiting, needsFirstStart)
	for _, job := range jobs {
		if job.Spec.Gang() {
			p.placeGang(job, schedulable)
		}
	}
	placedOf := p.placeBatch(jobs, schedulable, min(budget, maxBatchTasks))
	for _, n := range placedOf {
		placed += n
	}
	remaining = p.remainingJobs(waiting, jobs, placedOf)
	if needsFirstStart {
		// Room is reserved for first starts only: jobs that have started are sorted among the
		// others again.
		jobs = slices.DeleteFunc(jobs, func(job *jobstate.Job) bool { return !p.state.NeedsFirstStart(job) })
		p.SortJobs(remaining)
	}
	if len(remaining) > 0 && (needsFirstStart || remaining[0].Spec.Rank() < rank) {
		p.reserveRoom(jobs, schedulable)
	}
	return remaining, placed
}

// nextBatch returns the jobs of a batch: those that need their first start, or those with the
// priority and tier of the first job.
func (p *Planner) nextBatch(waiting []*jobstate.Job, needsFirstStart bool) []*jobstate.Job {
	rank, tier := waiting[0].Spec.Rank(), waiting[0].Tier
	var jobs []*jobstate.Job
	for _, job := range waiting {
		if len(jobs) < maxBatchJobs && p.state.NeedsFirstStart(job) == needsFirstStart && (needsFirstStart || job.Spec.Rank() == rank && job.Tier == tier) {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// remainingJobs filters waiting in place: it removes the jobs without placeable tasks, and those
// for which the batch placed nothing, which wait for a later pass.
func (p *Planner) remainingJobs(waiting, batch []*jobstate.Job, placedOf map[*jobstate.Job]int) []*jobstate.Job {
	remaining := waiting[:0]
	considered := map[*jobstate.Job]bool{}
	for _, job := range batch {
		considered[job] = true
	}
	for _, job := range waiting {
		if p.state.PlaceableTasks(job) > 0 && (!considered[job] || placedOf[job] > 0) {
			remaining = append(remaining, job)
		}
	}
	return remaining
}

// placePending places the job's last pending task on a worker.
func (p *Planner) placePending(job *jobstate.Job, worker *jobstate.Worker, waitS float64) {
	task := job.Pending[len(job.Pending)-1]
	job.Pending = job.Pending[:len(job.Pending)-1]
	p.placeTask(job, task, worker, waitS)
}

// placeTask places a task on a worker; the dispatcher is told once the placement is recorded. A
// gang's tasks share an attempt, which placeGang sets.
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
	runS := job.OccupancyEstimate() + p.state.FetchTime(job, worker)
	if startS := worker.Matrix.Wait(job.Resources, runS); !math.IsInf(startS, 1) {
		worker.Matrix = worker.Matrix.Reserve(job.Resources, startS, runS)
	}
}
