package owner

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/placement"
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

// openMachines lists the machines that may take work, in order of their index.
func (o *Owner) openMachines() []*mach {
	var open []*mach
	fresh := seconds(3*o.cfg.Params.Workers.ReportS + 1)
	for _, m := range o.byIndex {
		if m != nil && !m.gone && (!m.closing || o.staysOccupied(m)) && m.deaf.IsZero() && !m.view.Draining && m.notice.IsZero() && len(m.matrix) > 0 && o.now.Sub(m.heard) < fresh {
			open = append(open, m)
		}
	}
	return open
}

// roomKey is what a job asks of a machine, image apart: jobs alike in it have room
// on the same machines.
type roomKey struct {
	shape       placement.Shape
	zone, types string
	spot        bool
}

type cacheKey struct {
	roomKey
	image int
}

func (j *job) roomKey() roomKey {
	if j.key == (roomKey{}) {
		j.key = roomKey{shape: j.shape, types: strings.Join(j.spec.Types, "\x00"), spot: j.spec.Spot}
		if j.spec.Zone != nil {
			j.key.zone = *j.spec.Zone
		}
	}
	return j.key
}

// forgetRoom begins a pass: what had room in the last one may have none.
func (o *Owner) forgetRoom() {
	clear(o.rooms)
	clear(o.cachers)
}

// roomFor lists the machines where a task of the job may run and fits within the
// horizon, as of the first time that a job like it asked in this pass. Within a pass
// room only shrinks: what the list has beyond it is found out by its estimate. On a
// busy fleet the lists are short, and jobs alike share one, so that a pass costs what
// has room, and not the fleet for each job.
func (o *Owner) roomFor(j *job, open []*mach) []*mach {
	key := j.roomKey()
	if ms, known := o.rooms[key]; known {
		return ms
	}
	ms := []*mach{}
	for _, m := range open {
		if !o.allowed(j, m) || !o.fitsLease(j, m) {
			continue
		}
		most := o.op.HorizonS + o.now.Sub(m.at).Seconds()
		for _, r := range m.matrix {
			if r.Wait > most {
				break
			}
			if j.shape.Fits(r.Free) {
				ms = append(ms, m)
				break
			}
		}
	}
	o.rooms[key] = ms
	return ms
}

// caching lists those of the machines with room for the job that have its image.
func (o *Owner) caching(j *job, image int, room []*mach) []*mach {
	key := cacheKey{j.roomKey(), image}
	ms, known := o.cachers[key]
	if !known {
		ms = []*mach{}
		for _, m := range room {
			if m.images[image] != nil {
				ms = append(ms, m)
			}
		}
		o.cachers[key] = ms
	}
	return ms
}

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

// sortJobs orders jobs: first those that have to begin, then within their team's guarantee first, then by priority, then
// those that can be done in time before those that can't, then by when they are due.
func (o *Owner) sortJobs(jobs []*job) {
	within, first := map[*job]bool{}, map[*job]bool{}
	for _, j := range jobs {
		first[j] = o.first(j)
		t := j.team
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

// candidates limits the search for a job among the machines with room for it: where
// those are many, to ones that cache the image, those in their zones, and two light
// ones, looked for from a random one on and not for ever.
func (o *Owner) candidates(j *job, room []*mach) []*mach {
	if len(room) <= wholeFleet {
		return room
	}
	image := o.images.Of(j.spec.Image)
	zones := map[string]bool{}
	out := make([]*mach, 0, 2*wholeFleet)
	caching := o.caching(j, image, room)
	for i, start := 0, rand.IntN(max(1, len(caching))); i < len(caching) && len(out) < wholeFleet; i++ {
		m := caching[(start+i)%len(caching)]
		zones[m.view.Zone] = true
		out = append(out, m)
	}
	near, light := 0, 0
	start := rand.IntN(len(room))
	for i := 0; i < min(len(room), lookedAt) && (near < wholeFleet/2 || light < 2); i++ {
		m := room[(start+i)%len(room)]
		switch {
		case m.images[image] != nil:
		case near < wholeFleet/2 && zones[m.view.Zone]:
			near++
			out = append(out, m)
		case light < 2 && j.shape.Fits(m.matrix[0].Free):
			light++
			out = append(out, m)
		}
	}
	return out
}

// wait looks a wait up; an older matrix is read at a larger cell.
func (o *Owner) wait(m *mach, s placement.Shape, run float64) float64 {
	age := o.now.Sub(m.at).Seconds()
	if over := age - 1.5*o.cfg.Params.Workers.ReportS; over > 0 {
		s = s.Scale(1 + min(0.5, 0.05*over))
	}
	return max(0, m.matrix.WaitWithin(s, run, o.op.HorizonS+age)-age)
}

type estimate struct{ wait, cost, fetch float64 }

func (o *Owner) estimate(j *job, m *mach) (estimate, bool) {
	if !o.allowed(j, m) || !o.within(j, m) || !o.underLimit(j) || !o.fitsLease(j, m) {
		return estimate{}, false
	}
	if until, ok := j.avoid[m.index]; len(j.avoid) > 0 && ok {
		if o.now.Before(until) {
			return estimate{}, false
		}
		delete(j.avoid, m.index)
	}
	run, fetch := j.runEstimate(), o.fetchTime(j, m)
	if m.closing && !m.endsWhileOccupied(fetch+run) {
		return estimate{}, false
	}
	w := o.wait(m, j.shape, fetch+run)
	if math.IsInf(w, 1) {
		return estimate{}, false
	}
	c := placement.Cost(fetch, w, run, o.success(m), o.op.KFail)
	if o.startLate(j, w+fetch) {
		c += o.op.LateS
	}
	return estimate{w, c + o.packing(m, c), fetch}, true
}

// startLate reports whether a task that starts after so many seconds misses an
// aim for its class's starts that it could still meet.
func (o *Owner) startLate(j *job, after float64) bool {
	age := o.now.Sub(j.accepted).Seconds()
	for _, within := range j.class.starts {
		if age < within && age+after+startTakes > within {
			return true
		}
	}
	return false
}

// packing is added to C so that of machines which would finish a task at about
// the same time the cheap and the fuller one wins, and others fall idle and
// can be returned. What a dear machine costs more grows with the task.
func (o *Owner) packing(m *mach, c float64) float64 {
	t := o.typeOf(m)
	if t.CPUs <= 0 {
		return 0
	}
	free := max(0, m.matrix[0].Free.CPUs) / t.CPUs
	dear := 0.0
	if !m.view.Spot && t.SpotPrice > 0 {
		dear = max(0, t.Price/t.SpotPrice-1)
	}
	return o.op.PackS*free*(1+dear) + o.op.DearShare*c*dear
}

// batch matches up to limit tasks of the jobs and dispatches the matches that
// wait no longer than the horizon.
func (o *Owner) batch(jobs []*job, open []*mach, limit int) map[*job]int {
	var options [][]placement.Option
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
				opts = append(opts, placement.Option{Machine: m.index, Wait: e.wait, Cost: e.cost})
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
	for _, pair := range placement.Match(options, matchRounds) {
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

// gang places all waiting tasks of a gang, or none: the first would only wait
// on their machines for the last.
func (o *Owner) gang(j *job, open []*mach) {
	n := len(j.pending)
	if len(j.places) > 0 {
		return // what is left of the last try goes first
	}
	if n == 0 || n > placesAtOnce || !o.roomInLimit(j, n) {
		return
	}
	zones := map[string]bool{"": true}
	if j.spec.OneZone {
		clear(zones)
		for _, m := range open {
			zones[m.view.Zone] = true
		}
	}
	for zone := range zones {
		if picks := o.gangPicks(j, open, zone, n); picks != nil {
			// Workers let tasks of one attempt wait for each other.
			next := uint64(1)
			for _, c := range j.chunks {
				next = max(next, c.next)
			}
			for _, c := range j.chunks {
				c.next = next
			}
			for _, p := range picks {
				t := j.pending[len(j.pending)-1]
				j.pending = j.pending[:len(j.pending)-1]
				o.put(j, t, p.m, p.wait)
			}
			for _, c := range j.chunks {
				c.next++
			}
			return
		}
	}
}

type gangPick struct {
	m    *mach
	wait float64
}

// gangPicks finds a machine for each of n tasks, in one zone unless it is "".
func (o *Owner) gangPicks(j *job, open []*mach, zone string, n int) []gangPick {
	saved := map[*mach]placement.Matrix{}
	defer func() {
		for m, mx := range saved {
			m.matrix = mx
		}
	}()
	there := map[string]int{}
	for _, ps := range j.places {
		for _, p := range ps {
			there[p.mach.view.Zone]++
		}
	}
	var picks []gangPick
	for len(picks) < n {
		var best *mach
		bestE := estimate{cost: math.Inf(1)}
		for _, m := range open {
			z := m.view.Zone
			if zone != "" && z != zone || j.spec.Spread && there[z]+1 > (j.spec.Tasks+1)/2 || j.spec.OneZone && !o.zoneFits(j, m) {
				continue
			}
			if e, ok := o.estimate(j, m); ok && e.wait <= o.op.HorizonS && e.cost < bestE.cost {
				best, bestE = m, e
			}
		}
		if best == nil {
			return nil
		}
		if _, ok := saved[best]; !ok {
			saved[best] = best.matrix
		}
		run := j.runEstimate() + bestE.fetch
		best.matrix = best.matrix.Reserve(j.shape, bestE.wait, run)
		there[best.view.Zone]++
		picks = append(picks, gangPick{best, bestE.wait})
	}
	return picks
}

// roomInLimit keeps a team's queued work within its limit too, so that tasks
// that can't be granted yet do not clog the queues.
func (o *Owner) roomInLimit(j *job, more int) bool {
	t := j.team
	if t.CPUsMax <= 0 && t.GPUsMax <= 0 {
		return true
	}
	queued := t.use
	for _, x := range o.order {
		if x.team != t {
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
	return (t.CPUsMax <= 0 || queued.CPUs <= t.CPUsMax+1e-6) && (t.GPUsMax <= 0 || queued.GPUs <= t.GPUsMax+1e-6)
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

// lookAgain re-places queued tasks that wait much longer than planned, with a
// duplicate where another machine is now better.
func (o *Owner) lookAgain() {
	o.now = time.Now()
	now := o.now
	fresh := seconds(3*o.cfg.Params.Workers.ReportS + 1)
	open := o.openMachines()
	o.forgetRoom()
	budget := lookAtOnce
	waits := map[*place]float64{}
	stage := map[*job]*average{}
	var silent []*place
	for _, m := range o.machines {
		for _, q := range m.view.Queue {
			for p := range m.places {
				if p.state == placeRecorded && p.attempt == q.Attempt && p.ref == q.Ref {
					waits[p] = q.WaitS
					a := stage[p.job]
					if a == nil {
						a = &average{}
						stage[p.job] = a
					}
					a.add(min(q.WaitS, 600))
				}
			}
		}
	}
	for _, j := range o.order {
		if j.cancelled || j.ended != "" {
			continue
		}
		if j.spec.Gang() {
			continue
		}
		avg := 0.0
		if a := stage[j]; a != nil {
			avg = a.mean()
		}
		for task, ps := range j.places {
			silent = silent[:0]
			for _, p := range ps {
				if m := p.mach; p.state == placeRecorded &&
					(now.Sub(later(m.heard, p.made)) > fresh || !m.notice.IsZero() || m.view.Draining || !m.deaf.IsZero() || !o.fitsLease(j, m)) {
					silent = append(silent, p)
				}
			}
			if len(silent) > 0 {
				// Never granted: the task can simply look elsewhere.
				for _, p := range silent {
					o.unqueue(p)
				}
				continue
			}
			// Of two choices that both prove wrong, the one that waits longer makes
			// room for a third: a task stood for ever behind two that ran for long,
			// beside an idle machine.
			p, current := ps[0], math.Inf(1)
			for _, x := range ps {
				w, known := waits[x]
				if x.state != placeRecorded || !known || !placement.LookAgain(x.planned, now.Sub(x.made).Seconds(), w, max(avg, x.planned), o.op.ReplaceS) {
					p = nil
					break
				}
				if w > waits[p] {
					p = x
				}
				current = min(current, placement.Cost(o.fetchTime(j, x.mach), w, j.runEstimate(), o.success(x.mach), o.op.KFail))
			}
			if p == nil {
				continue
			}
			var best *mach
			bestE := estimate{cost: current - 1}
			if budget--; budget < 0 {
				return
			}
			for _, m := range o.candidates(j, o.roomFor(j, open)) {
				if slices.ContainsFunc(ps, func(x *place) bool { return x.mach == m }) {
					continue
				}
				if e, ok := o.estimate(j, m); ok && e.cost < bestE.cost {
					best, bestE = m, e
				}
			}
			if best != nil {
				if len(ps) >= maxPlaces {
					o.unqueue(p)
				}
				o.stats.Duplicates++
				o.put(j, task, best, bestE.wait)
			}
		}
	}
}

// sweep repeats what may have been lost on the way.
func (o *Owner) sweep() {
	for _, j := range o.order {
		o.overTime(j)
		if !j.cancelled && (j.asked == nil || j.over == j.done) {
			continue
		}
		for _, ps := range j.places {
			for _, p := range append([]*place(nil), ps...) {
				if !p.exited && (j.cancelled || p.chunk.isDone(p.task)) {
					o.halt(p, 0)
				}
			}
		}
	}
	poke(o.flush) // for changes that were not urgent
	for _, m := range o.machines {
		if len(m.places) == 0 && time.Since(later(m.at, m.since)) > 10*time.Minute {
			o.byIndex[m.index] = nil
			delete(o.machines, m.name)
		}
	}
}
