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
func (o *Owner) place() {
	if o.member.Held() < time.Second || len(o.loaded) == 0 {
		return
	}
	o.now = time.Now()
	var waiting []*job
	for _, j := range o.order {
		if !j.cancelled && j.ended == "" && o.now.After(j.notBefore) && o.room(j) > 0 {
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
	all := append([]*job(nil), waiting...)
	for len(waiting) > 0 {
		if budget <= 0 {
			poke(o.wake) // the rest is for the next pass
			break
		}
		// A batch holds tasks of similar priority, that can be in time or not alike.
		rank, tier, first := waiting[0].spec.Rank(), waiting[0].tier, o.first(waiting[0])
		var jobs []*job
		for _, j := range waiting {
			if len(jobs) < batchJobs && o.first(j) == first && (first || j.spec.Rank() == rank && j.tier == tier) {
				jobs = append(jobs, j)
			}
		}
		for _, j := range jobs {
			if j.spec.Gang() {
				o.gang(j, open)
			}
		}
		placed := o.batch(jobs, open, min(budget, batchTasks))
		for _, n := range placed {
			budget -= n
		}
		// A job that got nothing in this batch is left for later passes.
		rest := waiting[:0]
		considered := map[*job]bool{}
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
			jobs = slices.DeleteFunc(jobs, func(j *job) bool { return !o.first(j) })
			o.sortJobs(rest)
		}
		if len(rest) > 0 && (first || rest[0].spec.Rank() < rank) {
			o.hold(jobs, open)
		}
		waiting = rest
	}
	o.preempt(all, open)
	for _, m := range open {
		if m.held {
			m.held = false
			m.matrix = m.view.Matrix
			o.reserveUnshown(m)
		}
	}
}

// sortJobs orders jobs: first those that have to begin, then within their team's guarantee first, then by priority, then
// those that can be done in time before those that can't, then by when they are due.
func (o *Owner) sortJobs(jobs []*job) {
	within, first := map[*job]bool{}, map[*job]bool{}
	for _, j := range jobs {
		first[j] = o.first(j)
		t := j.team
		if t.lent != nil {
			within[j] = t.favoured(j.shard)
			continue
		}
		within[j] = t.CPUs > 0 && t.use.CPUs+j.shape.CPUs <= t.CPUs+1e-6 || t.GPUs > 0 && t.use.GPUs+j.shape.GPUs <= t.GPUs+1e-6
	}
	sort.SliceStable(jobs, func(a, b int) bool {
		x, y := jobs[a], jobs[b]
		if first[x] != first[y] {
			return first[x]
		}
		if within[x] != within[y] {
			return within[x]
		}
		if x.spec.Rank() != y.spec.Rank() {
			return x.spec.Rank() > y.spec.Rank()
		}
		if x.tier != y.tier {
			return x.tier < y.tier
		}
		return x.dueAt() < y.dueAt()
	})
}

// put places a task on a machine; the holder hears of it once it is recorded.
func (o *Owner) put(j *job, task int, m *mach, wait float64) {
	c := j.chunks[task/chunkSize]
	p := &place{job: j, chunk: c, task: task, attempt: c.next, mach: m, planned: wait, made: time.Now()}
	if !j.spec.Gang() {
		c.next++
	}
	o.attach(p)
	o.record(change{kind: placeChange, p: p})
	poke(o.flush)
	o.stats.Placed++
	run := j.runEstimate() + o.fetchTime(j, m)
	if w := m.matrix.Wait(j.shape, run); !math.IsInf(w, 1) {
		m.matrix = m.matrix.Reserve(j.shape, w, run)
	}
}
