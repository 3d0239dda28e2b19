package scheduler

import (
	"math"
	"slices"
	"sort"
	"time"
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
	startTakes   = 0.3 // seconds from a match to the start, without wait and fetch
	lookAtOnce   = 32  // queued tasks that look elsewhere in one pass
)

// place is one scheduling pass: batches of matches, most urgent jobs first,
// until nothing more starts within the horizon.
func (o *Scheduler) place() {
	if o.member.LeaseRemaining() < time.Second || len(o.loaded) == 0 {
		return
	}
	o.now = time.Now()
	var waiting []*Job
	for _, j := range o.order {
		if !j.Cancelled && j.EndStage == "" && o.now.After(j.NotBefore) && o.room(j) > 0 {
			waiting = append(waiting, j)
		}
	}
	if len(waiting) == 0 {
		return
	}
	open := o.openMachines()
	o.forgetRoom()
	o.sortJobs(waiting)
	budget := placesAtOnce
	all := append([]*Job(nil), waiting...)
	for len(waiting) > 0 {
		if budget <= 0 {
			poke(o.wake) // the rest is for the next pass
			break
		}
		// A batch holds tasks of similar priority, that can be in time or not alike.
		rank, tier, first := waiting[0].Spec.Rank(), waiting[0].Tier, o.first(waiting[0])
		var jobs []*Job
		for _, j := range waiting {
			if len(jobs) < batchJobs && o.first(j) == first && (first || j.Spec.Rank() == rank && j.Tier == tier) {
				jobs = append(jobs, j)
			}
		}
		for _, j := range jobs {
			if j.Spec.Gang() {
				o.gang(j, open)
			}
		}
		placed := o.batch(jobs, open, min(budget, batchTasks))
		for _, n := range placed {
			budget -= n
		}
		// A job that got nothing in this batch is left for later passes.
		rest := waiting[:0]
		considered := map[*Job]bool{}
		for _, j := range jobs {
			considered[j] = true
		}
		for _, j := range waiting {
			if o.room(j) > 0 && (!considered[j] || placed[j] > 0) {
				rest = append(rest, j)
			}
		}
		if first {
			// Only for first tasks: what began has its turn with all others.
			jobs = slices.DeleteFunc(jobs, func(j *Job) bool { return !o.first(j) })
			o.sortJobs(rest)
		}
		if len(rest) > 0 && (first || rest[0].Spec.Rank() < rank) {
			o.hold(jobs, open)
		}
		waiting = rest
	}
	o.preempt(all, open)
	for _, m := range open {
		if m.RoomReserved {
			m.RoomReserved = false
			m.Matrix = m.View.Matrix
			o.reserveUnshown(m)
		}
	}
}

// sortJobs orders jobs: first those that have to begin, then within their team's guarantee first, then by priority, then
// those that can be done in time before those that can't, then by when they are due.
func (o *Scheduler) sortJobs(jobs []*Job) {
	within, first := map[*Job]bool{}, map[*Job]bool{}
	for _, j := range jobs {
		first[j] = o.first(j)
		t := j.Team
		if t.Leased != nil {
			within[j] = t.BelowGuarantee(j.Shard)
			continue
		}
		within[j] = t.CPUs > 0 && t.Used.CPUs+j.Resources.CPUs <= t.CPUs+1e-6 || t.GPUs > 0 && t.Used.GPUs+j.Resources.GPUs <= t.GPUs+1e-6
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
func (o *Scheduler) put(j *Job, task int, m *Worker, wait float64) {
	c := j.Chunks[task/ChunkSize]
	p := &Placement{Job: j, Chunk: c, Task: task, Attempt: c.NextAttempt, Worker: m, PlannedWait: wait, CreatedAt: time.Now()}
	if !j.Spec.Gang() {
		c.NextAttempt++
	}
	o.attach(p)
	o.record(Change{Kind: PlacementAdded, Placement: p})
	poke(o.flush)
	o.stats.Placed++
	run := j.RunEstimate() + o.fetchTime(j, m)
	if w := m.Matrix.Wait(j.Resources, run); !math.IsInf(w, 1) {
		m.Matrix = m.Matrix.Reserve(j.Resources, w, run)
	}
}
