package scheduler

import (
	"math"
	"math/rand/v2"

	"github.com/wallrack/wallrack/internal/matching"
)

// batch matches up to limit tasks of the jobs and dispatches the matches that
// wait no longer than the horizon.
func (o *Scheduler) batch(jobs []*Job, open []*Worker, limit int) map[*Job]int {
	var options [][]matching.Candidate
	var of []*Job
	arena, opts := o.arena[:0], o.options
	defer func() { o.arena, o.options = arena, opts }()
	for _, j := range jobs {
		if j.Spec.Gang() {
			continue
		}
		opts = opts[:0]
		for _, m := range o.candidates(j, o.roomFor(j, open)) {
			if e, ok := o.estimate(j, m); ok && e.wait <= o.op.HorizonS {
				opts = append(opts, matching.Candidate{Machine: m.Index, Wait: e.wait, Cost: e.cost})
			}
		}
		if len(opts) == 0 {
			continue
		}
		for k := 0; k < min(o.room(j), len(opts)) && len(options) < limit; k++ {
			// Each task draws its own random term. All of a batch's options
			// share an arena, which was most of what a pass allocated.
			from := len(arena)
			for _, x := range opts {
				x.Cost += rand.Float64() * o.op.RandomS
				arena = append(arena, x)
			}
			options = append(options, arena[from:len(arena):len(arena)])
			of = append(of, j)
		}
	}
	placed := map[*Job]int{}
	for _, pair := range matching.Match(options, matchRounds) {
		j := of[pair.Task]
		m := o.byIndex[pair.Machine]
		if !o.roomInLimit(j, 1) || !o.zoneFits(j, m) {
			continue
		}
		t := j.Pending[len(j.Pending)-1]
		j.Pending = j.Pending[:len(j.Pending)-1]
		o.put(j, t, m, pair.Wait)
		placed[j]++
	}
	return placed
}

// zoneFits reports whether one more place there agrees with the zones of the
// job's other places, granted or not.
func (o *Scheduler) zoneFits(j *Job, m *Worker) bool {
	if !j.Spec.OneZone && !j.Spec.Spread {
		return true
	}
	there := 1
	for _, ps := range j.Placements {
		for _, p := range ps {
			same := p.Worker.View.Zone == m.View.Zone
			if j.Spec.OneZone && !same && !p.Exited {
				return false
			}
			if same && !p.Exited {
				there++
			}
		}
	}
	return !j.Spec.Spread || there <= (j.Spec.Tasks+1)/2
}

// roomInLimit keeps a team's queued work within its limit too, so that tasks
// that can't be granted yet do not clog the queues.
func (o *Scheduler) roomInLimit(j *Job, more int) bool {
	t := j.Team
	if t.CPUsMax <= 0 && t.GPUsMax <= 0 {
		return true
	}
	queued := t.Used
	if t.Leased != nil {
		queued = t.Leased.UsedByShard[j.Shard]
	}
	for _, x := range o.order {
		if x.Team != t || t.Leased != nil && x.Shard != j.Shard {
			continue
		}
		for _, ps := range x.Placements {
			for _, p := range ps {
				if !p.MayRun() && !p.Exited {
					queued = queued.Add(x.Resources, 1)
				}
			}
		}
	}
	queued = queued.Add(j.Resources, float64(more))
	if t.Leased != nil {
		return t.Allows(j.Shard, queued)
	}
	return (t.CPUsMax <= 0 || queued.CPUs <= t.CPUsMax+1e-6) && (t.GPUsMax <= 0 || queued.GPUs <= t.GPUsMax+1e-6)
}

// hold keeps, for this pass, the room that jobs which found no place soon
// would get first, so that small tasks of lower priority do not fill every gap
// before it grows large enough.
func (o *Scheduler) hold(jobs []*Job, open []*Worker) {
	budget := holdTasks
	for _, j := range jobs {
		for n := min(o.room(j), budget); n > 0; n-- {
			var best *Worker
			soonest := math.Inf(1)
			run := j.RunEstimate()
			for _, m := range open {
				if m.Cordoned || !o.allowed(j, m) || !o.fitsLease(j, m) {
					continue
				}
				if w := m.Matrix.WaitWithin(j.Resources, run, min(soonest, holdWithin)); w < soonest && w <= holdWithin {
					best, soonest = m, w
				}
			}
			if best == nil {
				break
			}
			best.Matrix = best.Matrix.Reserve(j.Resources, soonest, run)
			best.RoomReserved = true
			budget--
		}
	}
}
