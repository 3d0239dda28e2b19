package scheduler

import (
	"math"
	"math/rand/v2"

	"github.com/wallrack/wallrack/internal/matching"
)

// batch matches up to limit tasks of the jobs and dispatches the matches that
// wait no longer than the horizon.
func (o *Owner) batch(jobs []*job, open []*mach, limit int) map[*job]int {
	var options [][]matching.Option
	var of []*job
	arena, opts := o.arena[:0], o.options
	defer func() { o.arena, o.options = arena, opts }()
	for _, j := range jobs {
		if j.spec.Gang() {
			continue
		}
		opts = opts[:0]
		for _, m := range o.candidates(j, o.roomFor(j, open)) {
			if e, ok := o.estimate(j, m); ok && e.wait <= o.op.HorizonS {
				opts = append(opts, matching.Option{Machine: m.index, Wait: e.wait, Cost: e.cost})
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
	placed := map[*job]int{}
	for _, pair := range matching.Match(options, matchRounds) {
		j := of[pair.Task]
		m := o.byIndex[pair.Machine]
		if !o.roomInLimit(j, 1) || !o.zoneFits(j, m) {
			continue
		}
		t := j.pending[len(j.pending)-1]
		j.pending = j.pending[:len(j.pending)-1]
		o.put(j, t, m, pair.Wait)
		placed[j]++
	}
	return placed
}

// zoneFits reports whether one more place there agrees with the zones of the
// job's other places, granted or not.
func (o *Owner) zoneFits(j *job, m *mach) bool {
	if !j.spec.OneZone && !j.spec.Spread {
		return true
	}
	there := 1
	for _, ps := range j.places {
		for _, p := range ps {
			same := p.mach.view.Zone == m.view.Zone
			if j.spec.OneZone && !same && !p.exited {
				return false
			}
			if same && !p.exited {
				there++
			}
		}
	}
	return !j.spec.Spread || there <= (j.spec.Tasks+1)/2
}

// roomInLimit keeps a team's queued work within its limit too, so that tasks
// that can't be granted yet do not clog the queues.
func (o *Owner) roomInLimit(j *job, more int) bool {
	t := j.team
	if t.CPUsMax <= 0 && t.GPUsMax <= 0 {
		return true
	}
	queued := t.use
	if t.lent != nil {
		queued = t.lent.use[j.shard]
	}
	for _, x := range o.order {
		if x.team != t || t.lent != nil && x.shard != j.shard {
			continue
		}
		for _, ps := range x.places {
			for _, p := range ps {
				if !p.on() && !p.exited {
					queued = queued.Add(x.shape, 1)
				}
			}
		}
	}
	queued = queued.Add(j.shape, float64(more))
	if t.lent != nil {
		return t.allows(j.shard, queued)
	}
	return (t.CPUsMax <= 0 || queued.CPUs <= t.CPUsMax+1e-6) && (t.GPUsMax <= 0 || queued.GPUs <= t.GPUsMax+1e-6)
}

// hold keeps, for this pass, the room that jobs which found no place soon
// would get first, so that small tasks of lower priority do not fill every gap
// before it grows large enough.
func (o *Owner) hold(jobs []*job, open []*mach) {
	budget := holdTasks
	for _, j := range jobs {
		for n := min(o.room(j), budget); n > 0; n-- {
			var best *mach
			soonest := math.Inf(1)
			run := j.runEstimate()
			for _, m := range open {
				if m.closing || !o.allowed(j, m) || !o.fitsLease(j, m) {
					continue
				}
				if w := m.matrix.WaitWithin(j.shape, run, min(soonest, holdWithin)); w < soonest && w <= holdWithin {
					best, soonest = m, w
				}
			}
			if best == nil {
				break
			}
			best.matrix = best.matrix.Reserve(j.shape, soonest, run)
			best.held = true
			budget--
		}
	}
}
