package quotalease_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/goccy/go-json"
	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/quotalease"
)

const (
	shards = 3
	owners = 3
)

// limits of the teams in the record under test: of one kind, and of both.
var limits = map[string]quotalease.Amount{"a": quotalease.LimitOf(8, 0), "b": quotalease.LimitOf(10, 4)}

var teams = slices.Sorted(maps.Keys(limits))

// task may run, as a shard's owner granted its start.
type task struct {
	shard int
	team  string
	size  quotalease.Amount
	over  bool // it ended; its owner may not know yet
}

// sent is a copy of a write that is under way.
type sent struct {
	from  *owner
	call  int
	write quotalease.Write
}

// owner is a controller with its side of the record.
type owner struct {
	name   string
	side   *quotalease.Borrower
	owns   map[int]uint64 // as far as it knows
	counts map[*task]bool // what it counts as in use
	demand map[string]quotalease.Amount
	unit   map[string]quotalease.Amount
	call   int  // number of its last request
	busy   bool // it waits for the answer
}

func (o *owner) restart() {
	o.side = quotalease.New(limits, shards)
	o.owns, o.counts, o.busy = map[int]uint64{}, map[*task]bool{}, false
	o.call++
}

func (o *owner) use(shard int, team string) (sum quotalease.Amount) {
	for t := range o.counts {
		if t.shard == shard && t.team == team {
			sum = sum.Add(t.size)
		}
	}
	return sum
}

func place(shard int, team string) string { return fmt.Sprint(team, shard) }

func (o *owner) need(shard int, team string) quotalease.Need {
	use := o.use(shard, team)
	return quotalease.Need{Use: use, Demand: use.Add(o.demand[place(shard, team)]), Unit: o.unit[place(shard, team)]}
}

// past is the record as it was at a revision.
type past struct {
	record            quotalease.Record
	version, revision uint64
}

// model is the state service, the owners and what runs.
type model struct {
	t        *rapid.T
	now      time.Time
	revision uint64
	keys     map[int]uint64 // versions of the shards' keys, none: free
	holder   map[int]*owner
	history  []past
	owners   []*owner
	flights  []sent
	tasks    []*task
	covered  bool // the parts were within the limits once: they stay so

	refill     func() // starts what waits, as soon as an owner knows that a task ended
	unborrowed uint64 // revision up to which owners that don't borrow started tasks
}

func newModel(t *rapid.T) *model {
	w := &model{t: t, now: time.Unix(1e9, 0), keys: map[int]uint64{}, holder: map[int]*owner{}, history: []past{{}}}
	for i := range owners {
		o := &owner{name: fmt.Sprint("o", i), demand: map[string]quotalease.Amount{}, unit: map[string]quotalease.Amount{}}
		o.restart()
		w.owners = append(w.owners, o)
	}
	// What runs from before the limits were lent, and what ended of it, of which a new
	// owner does not know.
	for range rapid.IntRange(0, 6).Draw(t, "earlier") {
		task := w.drawTask()
		task.over = !w.inUse(task.team).Add(task.size).Fits(limits[task.team])
		w.tasks = append(w.tasks, task)
	}
	if rapid.Bool().Draw(t, "owned") {
		for s := range shards {
			w.take(w.drawOwner(), s, true)
		}
		for _, o := range w.owners {
			w.observe(o, w.last())
			w.exchange(o, true)
		}
	}
	return w
}

func drawAmount(t *rapid.T, most quotalease.Amount) quotalease.Amount {
	var a quotalease.Amount
	for k := range a {
		if most[k] > 0 {
			a[k] = 1000 * rapid.Int64Range(1, most[k]/1000).Draw(t, "amount")
		}
	}
	return a
}

func (w *model) drawTask() *task {
	team := rapid.SampledFrom(teams).Draw(w.t, "team")
	return &task{shard: rapid.IntRange(0, shards-1).Draw(w.t, "shard"), team: team, size: drawAmount(w.t, limits[team])}
}

func (w *model) drawOwner() *owner { return rapid.SampledFrom(w.owners).Draw(w.t, "owner") }

func (w *model) inUse(team string) (sum quotalease.Amount) {
	for s := range shards {
		sum = sum.Add(w.inUseOf(s, team))
	}
	return sum
}

func (w *model) inUseOf(shard int, team string) (sum quotalease.Amount) {
	for _, t := range w.tasks {
		if !t.over && t.shard == shard && t.team == team {
			sum = sum.Add(t.size)
		}
	}
	return sum
}

func (w *model) last() past { return w.history[len(w.history)-1] }

// start starts a task if its shard's owner may. A stale owner's lease has ended before
// its shard's key went, so that it starts nothing.
func (w *model) start(task *task) bool {
	o := w.holder[task.shard]
	if o == nil || o.owns[task.shard] != w.keys[task.shard] {
		return false
	}
	if !o.use(task.shard, task.team).Add(task.size).Fits(o.side.Ceiling(task.shard, task.team)) {
		return false
	}
	w.tasks = append(w.tasks, task)
	o.counts[task] = true
	return true
}

// settle has an owner learn which tasks ended.
func (w *model) settle(o *owner) {
	maps.DeleteFunc(o.counts, func(t *task, _ bool) bool { return t.over })
}

// free has a shard's key go, as its owner's lease ends. The owner learns of it later.
func (w *model) free(shard int) {
	if w.keys[shard] != 0 {
		w.revision++
		delete(w.keys, shard)
		delete(w.holder, shard)
	}
}

// take gives a shard to an owner, which counts all that may run there: also what ended,
// as far as nobody wrote that down.
func (w *model) take(o *owner, shard int, all bool) {
	w.free(shard)
	w.revision++
	w.keys[shard], w.holder[shard] = w.revision, o
	maps.DeleteFunc(o.counts, func(t *task, _ bool) bool { return t.shard == shard })
	for _, t := range w.tasks {
		if t.shard == shard && (all || !t.over) {
			o.counts[t] = true
		}
	}
	o.owns[shard] = w.revision
	o.side.SetShards(o.owns, w.unborrowed)
}

// interlude has one owner that does not borrow own all shards for a while, and start tasks
// within the limits wherever it likes. All others have ended before.
func (w *model) interlude() {
	for s := range shards {
		w.free(s)
	}
	for _, o := range w.owners {
		o.restart()
	}
	for range rapid.IntRange(1, 6).Draw(w.t, "tasks") {
		for _, t := range w.tasks {
			t.over = t.over || rapid.Bool().Draw(w.t, "over")
		}
		task := w.drawTask()
		if w.inUse(task.team).Add(task.size).Fits(limits[task.team]) {
			w.tasks = append(w.tasks, task)
			w.revision++
			w.unborrowed = w.revision
			w.covered = false
		}
	}
}

// hear has an owner learn which shards it lost.
func (w *model) hear(o *owner) {
	maps.DeleteFunc(o.owns, func(s int, term uint64) bool { return w.keys[s] != term })
	maps.DeleteFunc(o.counts, func(t *task, _ bool) bool { _, mine := o.owns[t.shard]; return !mine })
	o.side.SetShards(o.owns, w.unborrowed)
}

// send has an owner send what it has to write.
func (w *model) send(o *owner) {
	if o.busy {
		return
	}
	if o.side.NeedsReread() {
		p := w.last()
		o.side.Reread(p.record, p.version, p.version)
		return
	}
	if write, ok := o.side.Plan(w.now, o.need); ok {
		o.call++
		o.busy = true
		w.flights = append(w.flights, sent{o, o.call, write})
	}
}

// exchange has an owner send what it has to write, which is carried out at once.
func (w *model) exchange(o *owner, answered bool) {
	w.send(o)
	if n := len(w.flights); n > 0 && w.flights[n-1].from == o {
		f := w.flights[n-1]
		w.flights = w.flights[:n-1]
		w.deliver(f, answered)
	}
}

// deliver carries out a write that is under way; its answer may be lost.
func (w *model) deliver(f sent, answered bool) {
	applied := f.write.Guard == w.last().version
	for s, term := range f.write.Shards {
		applied = applied && w.keys[s] == term
	}
	if applied {
		w.revision++
		w.history = append(w.history, past{copyOf(w.t, f.write.Record), w.revision, w.revision})
	}
	if !answered || !f.from.busy || f.from.call != f.call {
		return
	}
	f.from.busy = false
	if applied {
		f.from.side.Applied(f.write, w.revision)
	} else {
		f.from.side.Rejected(f.write)
	}
}

// copyOf passes a record through its form in the state service.
func copyOf(t *rapid.T, r quotalease.Record) quotalease.Record {
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	out, err := quotalease.Parse(data, shards)
	if err != nil {
		t.Fatalf("%v: %s", err, data)
	}
	return out
}

func (w *model) observe(o *owner, p past) { o.side.Observe(p.record, p.version, p.revision) }

// mayRun is what runs of a team in a shard, or would if its owner started at once all that
// it may.
func (w *model) mayRun(shard int, team string) quotalease.Amount {
	runs := w.inUseOf(shard, team)
	o := w.holder[shard]
	if o == nil || o.owns[shard] != w.keys[shard] {
		return runs
	}
	return runs.Add(o.side.Ceiling(shard, team).Less(o.use(shard, team)))
}

// check fails if a limit may be exceeded from here, or a shard's tasks are not covered by
// its part.
func (w *model) check() {
	r := w.last().record
	complete, within := len(r.Rows) == shards, true
	for _, team := range teams {
		var sum, may quotalease.Amount
		for s := range shards {
			may = may.Add(w.mayRun(s, team))
		}
		if !may.Fits(limits[team]) {
			w.t.Fatalf("team %s uses %v, and may use %v, of %v; record %+v", team, w.inUse(team), may, limits[team], r)
		}
		for _, row := range r.Rows {
			part := row.Teams[team].Part
			sum = sum.Add(part)
			if row.OwnerVersion < w.unborrowed {
				continue // it says nothing until the next owner counts anew
			}
			if may := w.mayRun(row.Shard, team); !may.Fits(part) {
				w.t.Fatalf("shard %d may use %v of team %s with a part of %v; record %+v", row.Shard, may, team, part, r)
			}
		}
		within = within && sum.Fits(limits[team])
		if w.covered && !sum.Fits(limits[team]) {
			w.t.Fatalf("parts of team %s are %v of %v; record %+v", team, sum, limits[team], r)
		}
	}
	for _, row := range r.Rows {
		complete = complete && row.OwnerVersion > w.unborrowed
	}
	w.covered = w.covered || complete && within
}

// actions are what may happen at any time.
func (w *model) actions() map[string]func(*rapid.T) {
	act := func(f func()) func(*rapid.T) {
		return func(t *rapid.T) { w.t = t; f() }
	}
	return map[string]func(*rapid.T){
		"": act(w.check),
		"start": act(func() { // what may not start asks for its part
			for range 4 {
				task := w.drawTask()
				if o := w.holder[task.shard]; o != nil && !w.start(task) {
					o.demand[place(task.shard, task.team)] = task.size
					o.unit[place(task.shard, task.team)] = task.size
				}
			}
		}),
		"end": act(func() {
			if len(w.tasks) > 0 {
				rapid.SampledFrom(w.tasks).Draw(w.t, "task").over = true
			}
		}),
		"settle": act(func() { w.settle(w.drawOwner()) }),
		"demand": act(func() {
			task := w.drawTask()
			o := w.drawOwner()
			o.unit[place(task.shard, task.team)] = task.size
			o.demand[place(task.shard, task.team)] = drawAmount(w.t, limits[task.team])
		}),
		"no demand": act(func() { w.drawOwner().demand = map[string]quotalease.Amount{} }),
		"all is well": act(func() {
			for range rapid.IntRange(1, 4).Draw(w.t, "rounds") {
				w.round()
			}
		}),
		"send": act(func() { w.send(w.drawOwner()) }),
		"exchange": act(func() {
			w.exchange(w.drawOwner(), true)
		}),
		"lost answer": act(func() { // and the same write again
			o := w.drawOwner()
			w.exchange(o, false)
			o.busy = false
			w.exchange(o, true)
		}),
		"deliver": act(func() {
			if len(w.flights) == 0 {
				return
			}
			i := rapid.IntRange(0, len(w.flights)-1).Draw(w.t, "write")
			w.deliver(w.flights[i], rapid.IntRange(0, 3).Draw(w.t, "answered") > 0)
			if rapid.IntRange(0, 2).Draw(w.t, "once") > 0 { // else it is carried out again
				w.flights = slices.Delete(w.flights, i, i+1)
			}
		}),
		"give up": act(func() { w.drawOwner().busy = false }),
		"try again": act(func() {
			o := w.drawOwner()
			o.busy = false
			w.send(o)
		}),
		"watch": act(func() { w.observe(w.drawOwner(), w.last()) }),
		"late watch": act(func() {
			w.observe(w.drawOwner(), rapid.SampledFrom(w.history).Draw(w.t, "past"))
		}),
		"hear": act(func() { w.hear(w.drawOwner()) }),
		"free": act(func() { w.free(rapid.IntRange(0, shards-1).Draw(w.t, "shard")) }),
		"take": act(func() {
			w.take(w.drawOwner(), rapid.IntRange(0, shards-1).Draw(w.t, "shard"), rapid.Bool().Draw(w.t, "all"))
		}),
		"lease ends": act(func() {
			o := w.drawOwner()
			for s := range shards {
				if w.holder[s] == o {
					w.free(s)
				}
			}
		}),
		"crash":     act(func() { w.drawOwner().restart() }),
		"interlude": act(w.interlude),
		"time":      act(func() { w.now = w.now.Add(time.Duration(rapid.IntRange(50, 5000).Draw(w.t, "ms")) * time.Millisecond) }),
	}
}

// round is a quarter of a second in which everything works.
func (w *model) round() {
	w.now = w.now.Add(250 * time.Millisecond)
	for i := range shards {
		if o := w.holder[i]; o == nil || o.owns[i] != w.keys[i] {
			w.take(w.owners[i%owners], i, false)
		}
	}
	for _, o := range w.owners {
		w.hear(o)
		w.settle(o)
		if w.refill != nil {
			w.refill()
		}
		w.observe(o, w.last())
		o.busy = false
		w.send(o)
		for n := len(w.flights); n > 0; n = len(w.flights) {
			w.deliver(w.flights[0], true)
			w.flights = w.flights[1:]
		}
	}
	w.check()
}
