package planner

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
)

const (
	matchRounds  = 4   // rounds of proposals in a batch
	batchTasks   = 96  // tasks in a batch
	batchJobs    = 24  // jobs that a batch takes tasks from
	wholeFleet   = 64  // up to so many machines, every one is a candidate
	lookedAt     = 512 // machines without the image that are looked at for a job
	maxPlaces    = 2   // machines that a task is queued at, at once
	holdTasks    = 24  // tasks that room is held for
	holdWithin   = 45  // seconds from now within which room is held
	placesAtOnce = 400 // bounds what one pass writes
	lookAtOnce   = 32  // queued tasks that look elsewhere in one pass
)

// place is one scheduling pass: batches of matches, most urgent jobs first,
// until nothing more starts within the horizon.
func (p *Planner) Pass() {
	if p.state.Member.LeaseRemaining() < time.Second || len(p.state.Loaded) == 0 {
		return
	}
	p.state.Now = time.Now()
	var waiting []*jobstate.Job
	for _, job := range p.state.JobOrder {
		if !job.Cancelled && job.EndStage == "" && p.state.Now.After(job.NotBefore) && p.state.PlaceableTasks(job) > 0 {
			waiting = append(waiting, job)
		}
	}
	if len(waiting) == 0 {
		return
	}
	open := p.openMachines()
	p.resetRoom()
	p.SortJobs(waiting)
	budget := placesAtOnce
	all := append([]*jobstate.Job(nil), waiting...)
	for len(waiting) > 0 {
		if budget <= 0 {
			jobstate.Notify(p.state.PlanSignal) // the rest is for the next pass
			break
		}
		// A batch holds tasks of similar priority, that can be in time or not alike.
		rank, tier, first := waiting[0].Spec.Rank(), waiting[0].Tier, p.state.MustBegin(waiting[0])
		var jobs []*jobstate.Job
		for _, job := range waiting {
			if len(jobs) < batchJobs && p.state.MustBegin(job) == first && (first || job.Spec.Rank() == rank && job.Tier == tier) {
				jobs = append(jobs, job)
			}
		}
		for _, job := range jobs {
			if job.Spec.Gang() {
				p.placeGang(job, open)
			}
		}
		placed := p.placeBatch(jobs, open, min(budget, batchTasks))
		for _, n := range placed {
			budget -= n
		}
		// A job that got nothing in this batch is left for later passes.
		rest := waiting[:0]
		considered := map[*jobstate.Job]bool{}
		for _, job := range jobs {
			considered[job] = true
		}
		for _, job := range waiting {
			if p.state.PlaceableTasks(job) > 0 && (!considered[job] || placed[job] > 0) {
				rest = append(rest, job)
			}
		}
		if first {
			// Only for first tasks: what began has its turn with all others.
			jobs = slices.DeleteFunc(jobs, func(job *jobstate.Job) bool { return !p.state.MustBegin(job) })
			p.SortJobs(rest)
		}
		if len(rest) > 0 && (first || rest[0].Spec.Rank() < rank) {
			p.reserveRoom(jobs, open)
		}
		waiting = rest
	}
	p.preempt(all, open)
	for _, worker := range open {
		if worker.RoomReserved {
			worker.RoomReserved = false
			worker.Matrix = worker.View.Matrix
			p.state.ReserveUnreported(worker)
		}
	}
}

// sortJobs orders jobs: first those that have to begin, then within their team's guarantee first, then by priority, then
// those that can be done in time before those that can't, then by when they are due.
func (p *Planner) SortJobs(jobs []*jobstate.Job) {
	within, first := map[*jobstate.Job]bool{}, map[*jobstate.Job]bool{}
	for _, job := range jobs {
		first[job] = p.state.MustBegin(job)
		team := job.Team
		if team.Leased != nil {
			within[job] = team.BelowGuarantee(job.Shard)
			continue
		}
		within[job] = team.CPUs > 0 && team.Used.CPUs+job.Resources.CPUs <= team.CPUs+1e-6 || team.GPUs > 0 && team.Used.GPUs+job.Resources.GPUs <= team.GPUs+1e-6
	}
	sort.SliceStable(jobs, func(a, b int) bool {
		x, y := jobs[a], jobs[b]
		if first[x] != first[y] {
			return first[x]
		}
		if within[x] != within[y] {
			return within[x]
		}
		if x.Spec.Rank() != y.Spec.Rank() {
			return x.Spec.Rank() > y.Spec.Rank()
		}
		if x.Tier != y.Tier {
			return x.Tier < y.Tier
		}
		return x.DueAt() < y.DueAt()
	})
}

// put places a task on a machine; the holder hears of it once it is recorded.
func (o *Planner) placeTask(job *jobstate.Job, task int, worker *jobstate.Worker, wait float64) {
	chunk := job.Chunks[task/jobrecord.ChunkSize]
	placement := &jobstate.Placement{Job: job, Chunk: chunk, Task: task, Attempt: chunk.NextAttempt, Worker: worker, PlannedWait: wait, CreatedAt: time.Now()}
	if !job.Spec.Gang() {
		chunk.NextAttempt++
	}
	o.state.AddPlacement(placement)
	o.state.RecordChange(jobstate.Change{Kind: jobstate.PlacementAdded, Placement: placement})
	jobstate.Notify(o.state.WriteSignal)
	o.state.Stats.Placed++
	run := job.RunEstimate() + o.state.FetchTime(job, worker)
	if w := worker.Matrix.Wait(job.Resources, run); !math.IsInf(w, 1) {
		worker.Matrix = worker.Matrix.Reserve(job.Resources, w, run)
	}
}
