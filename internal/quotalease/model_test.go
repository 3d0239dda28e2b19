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
	shards      = 3
	controllers = 3
)

// limits of the teams in the record under test: of one kind, and of both.
var limits = map[string]quotalease.Amount{"a": quotalease.LimitOf(8, 0), "b": quotalease.LimitOf(10, 4)}

var teams = slices.Sorted(maps.Keys(limits))

// task is a task whose start a shard's leader has granted.
type task struct {
	shard int
	team  string
	size  quotalease.Amount
	ended bool // its leader may not know yet
}

// inFlightWrite is a copy of a write in flight.
type inFlightWrite struct {
	from  *controller
	call  int
	write quotalease.Write
}

// controller is a controller with its borrower of the record.
type controller struct {
	name             string
	borrower         *quotalease.Borrower
	led              map[int]uint64 // as far as it knows
	counted          map[*task]bool // tasks that it counts as in use
	demand           map[string]quotalease.Amount
	unit             map[string]quotalease.Amount
	call             int  // number of its last request
	awaitingResponse bool // it waits for the response
}

func (c *controller) restart() {
	c.borrower = quotalease.New(limits, shards)
	c.led, c.counted, c.awaitingResponse = map[int]uint64{}, map[*task]bool{}, false
	c.call++
}

func (c *controller) use(shard int, team string) (sum quotalease.Amount) {
	for t := range c.counted {
		if t.shard == shard && t.team == team {
			sum = sum.Add(t.size)
		}
	}
	return sum
}

func demandKey(shard int, team string) string { return fmt.Sprint(team, shard) }

func (c *controller) need(shard int, team string) quotalease.Need {
	use := c.use(shard, team)
	return quotalease.Need{Use: use, Demand: use.Add(c.demand[demandKey(shard, team)]), Unit: c.unit[demandKey(shard, team)]}
}

// recordSnapshot is the record as of a revision.
type recordSnapshot struct {
	record            quotalease.Record
	version, revision uint64
}

// model is the state service, the controllers and the running tasks.
type model struct {
	t            *rapid.T
	now          time.Time
	revision     uint64
	keys         map[int]uint64 // versions of the shards' keys; a free shard has none
	leaderOf     map[int]*controller
	history      []recordSnapshot
	controllers  []*controller
	inFlight     []inFlightWrite
	tasks        []*task
	withinLimits bool // the parts were within the limits once, so that they must stay so

	startWaiting     func() // starts waiting tasks, as soon as a leader knows that a task ended
	unleasedRevision uint64 // revision up to which leaders that don't lease limits started tasks
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1e9, 0), keys: map[int]uint64{}, leaderOf: map[int]*controller{}, history: []recordSnapshot{{}}}
	for i := range controllers {
		c := &controller{name: fmt.Sprint("controller-", i), demand: map[string]quotalease.Amount{}, unit: map[string]quotalease.Amount{}}
		c.restart()
		m.controllers = append(m.controllers, c)
	}
	// Tasks that were started before the limits were leased. Some have ended, which a new
	// leader does not know.
	for range rapid.IntRange(0, 6).Draw(t, "earlier") {
		task := m.drawTask()
		task.ended = !m.inUse(task.team).Add(task.size).Fits(limits[task.team])
		m.tasks = append(m.tasks, task)
	}
	if rapid.Bool().Draw(t, "owned") {
		for s := range shards {
			m.assignShard(m.drawController(), s, true)
		}
		for _, c := range m.controllers {
			m.observe(c, m.latest())
			m.sendAndDeliver(c, true)
		}
	}
	return m
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

func (w *model) drawController() *controller {
	return rapid.SampledFrom(w.controllers).Draw(w.t, "controller")
}

func (w *model) inUse(team string) (sum quotalease.Amount) {
	for s := range shards {
		sum = sum.Add(w.inUseOf(s, team))
	}
	return sum
}

func (w *model) inUseOf(shard int, team string) (sum quotalease.Amount) {
	for _, t := range w.tasks {
		if !t.ended && t.shard == shard && t.team == team {
			sum = sum.Add(t.size)
		}
	}
	return sum
}

func (w *model) latest() recordSnapshot { return w.history[len(w.history)-1] }

// start starts a task if its shard's leader may. A stale leader's lease has ended before its
// shard's key is deleted, so that it starts nothing.
func (w *model) start(task *task) bool {
	c := w.leaderOf[task.shard]
	if c == nil || c.led[task.shard] != w.keys[task.shard] {
		return false
	}
	if !c.use(task.shard, task.team).Add(task.size).Fits(c.borrower.Ceiling(task.shard, task.team)) {
		return false
	}
	w.tasks = append(w.tasks, task)
	c.counted[task] = true
	return true
}

// observeEndedTasks makes a controller learn which tasks ended.
func (w *model) observeEndedTasks(c *controller) {
	maps.DeleteFunc(c.counted, func(t *task, _ bool) bool { return t.ended })
}

// freeShard deletes a shard's key, as when its leader's lease ends. The leader learns of it
// later.
func (w *model) freeShard(shard int) {
	if w.keys[shard] != 0 {
		w.revision++
		delete(w.keys, shard)
		delete(w.leaderOf, shard)
	}
}

// assignShard makes a controller the leader of a shard. The controller counts all tasks that
// may run there and, if all is true, also those that ended, since their ends need not have
// been recorded.
func (w *model) assignShard(c *controller, shard int, all bool) {
	w.freeShard(shard)
	w.revision++
	w.keys[shard], w.leaderOf[shard] = w.revision, c
	maps.DeleteFunc(c.counted, func(t *task, _ bool) bool { return t.shard == shard })
	for _, t := range w.tasks {
		if t.shard == shard && (all || !t.ended) {
			c.counted[t] = true
		}
	}
	c.led[shard] = w.revision
	c.borrower.SetShards(c.led, w.unleasedRevision)
}

// runUnleasedLeader makes a controller that does not lease limits lead all shards for a while,
// and start tasks within the limits in any shard. All other controllers have ended before.
func (w *model) runUnleasedLeader() {
	for s := range shards {
		w.freeShard(s)
	}
	for _, c := range w.controllers {
		c.restart()
	}
	for range rapid.IntRange(1, 6).Draw(w.t, "tasks") {
		for _, t := range w.tasks {
			t.ended = t.ended || rapid.Bool().Draw(w.t, "over")
		}
		task := w.drawTask()
		if w.inUse(task.team).Add(task.size).Fits(limits[task.team]) {
			w.tasks = append(w.tasks, task)
			w.revision++
			w.unleasedRevision = w.revision
			w.withinLimits = false
		}
	}
}

// observeLostShards makes a controller learn which shards it lost.
func (w *model) observeLostShards(c *controller) {
	maps.DeleteFunc(c.led, func(s int, version uint64) bool { return w.keys[s] != version })
	maps.DeleteFunc(c.counted, func(t *task, _ bool) bool { _, mine := c.led[t.shard]; return !mine })
	c.borrower.SetShards(c.led, w.unleasedRevision)
}

// send makes a controller send its next write, if there is one.
func (w *model) send(c *controller) {
	if c.awaitingResponse {
		return
	}
	if c.borrower.NeedsReread() {
		p := w.latest()
		c.borrower.Reread(p.record, p.version, p.version)
		return
	}
	if write, ok := c.borrower.Plan(w.now, c.need); ok {
		c.call++
		c.awaitingResponse = true
		w.inFlight = append(w.inFlight, inFlightWrite{c, c.call, write})
	}
}

// sendAndDeliver makes a controller send its next write, which is delivered at once.
func (w *model) sendAndDeliver(c *controller, answered bool) {
	w.send(c)
	if n := len(w.inFlight); n > 0 && w.inFlight[n-1].from == c {
		sent := w.inFlight[n-1]
		w.inFlight = w.inFlight[:n-1]
		w.deliver(sent, answered)
	}
}

// deliver applies a write in flight if its conditions hold; the response may be lost.
func (w *model) deliver(sent inFlightWrite, answered bool) {
	applied := sent.write.Guard == w.latest().version
	for s, version := range sent.write.Shards {
		applied = applied && w.keys[s] == version
	}
	if applied {
		w.revision++
		w.history = append(w.history, recordSnapshot{encodeAndParse(w.t, sent.write.Record), w.revision, w.revision})
	}
	if !answered || !sent.from.awaitingResponse || sent.from.call != sent.call {
		return
	}
	sent.from.awaitingResponse = false
	if applied {
		sent.from.borrower.Applied(sent.write, w.revision)
	} else {
		sent.from.borrower.Rejected(sent.write)
	}
}

// encodeAndParse returns a record as it is after encoding and decoding.
func encodeAndParse(t *rapid.T, r quotalease.Record) quotalease.Record {
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

func (w *model) observe(c *controller, p recordSnapshot) {
	c.borrower.Observe(p.record, p.version, p.revision)
}

// maxUse returns the amount of a team's limit that a shard's tasks would use if the shard's
// leader now started all tasks that it may.
func (w *model) maxUse(shard int, team string) quotalease.Amount {
	runs := w.inUseOf(shard, team)
	c := w.leaderOf[shard]
	if c == nil || c.led[shard] != w.keys[shard] {
		return runs
	}
	return runs.Add(c.borrower.Ceiling(shard, team).Sub(c.use(shard, team)))
}

// check fails if a limit may be exceeded from this state on, or if a shard's tasks are not
// covered by its part.
func (w *model) check() {
	r := w.latest().record
	complete, within := len(r.Rows) == shards, true
	for _, team := range teams {
		var sum, mayUse quotalease.Amount
		for s := range shards {
			mayUse = mayUse.Add(w.maxUse(s, team))
		}
		if !mayUse.Fits(limits[team]) {
			w.t.Fatalf("team %s uses %v, and may use %v, of %v; record %+v", team, w.inUse(team), mayUse, limits[team], r)
		}
		for _, row := range r.Rows {
			part := row.Teams[team].Part
			sum = sum.Add(part)
			if row.LeaderVersion < w.unleasedRevision {
				continue // not valid until the next leader counts the use again
			}
			if may := w.maxUse(row.Shard, team); !may.Fits(part) {
				w.t.Fatalf("shard %d may use %v of team %s with a part of %v; record %+v", row.Shard, may, team, part, r)
			}
		}
		within = within && sum.Fits(limits[team])
		if w.withinLimits && !sum.Fits(limits[team]) {
			w.t.Fatalf("parts of team %s are %v of %v; record %+v", team, sum, limits[team], r)
		}
	}
	for _, row := range r.Rows {
		complete = complete && row.LeaderVersion > w.unleasedRevision
	}
	w.withinLimits = w.withinLimits || complete && within
}
