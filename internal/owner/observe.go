package owner

import (
	"math"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/machine"
	"github.com/wallrack/wallrack/internal/placement"
	"github.com/wallrack/wallrack/internal/wire"
)

// learning is the weight of a newly finished task in its class's ratio.
const learning = 0.08

// Observe takes a holder's view of a machine and settles what it shows.
func (o *Owner) Observe(v machine.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.loaded) == 0 || o.returned.has(v.Name) {
		return
	}
	m := o.machineOf(v.Name)
	old := &m.view
	if m.gone || v.Session < old.Session || v.Session == old.Session && v.Seq < old.Seq {
		return
	}
	if v.Session == old.Session && v.Seq == old.Seq && v.Holder == old.Holder {
		// The same report with a changed queue: settling it again would only
		// repeat the directions that changed the queue.
		m.view, m.matrix = v, v.Matrix
		o.reserveUnshown(m)
		return
	}
	if old.Zone == "" && v.Zone != "" {
		// Places counted in every zone move to the right one.
		for p := range m.places {
			o.count(p, -1)
		}
		m.view.Zone = v.Zone
		for p := range m.places {
			o.count(p, 1)
		}
	}
	now := time.Now()
	m.view, m.at, m.matrix = v, now, v.Matrix
	// What a holder heard some time ago says nothing of the time since: places
	// were made on machines that were long gone.
	m.heard = now.Add(-seconds(v.AgeS))
	m.notice = time.Time{}
	if v.NoticeS != nil {
		m.notice = now.Add(time.Duration(*v.NoticeS * float64(time.Second)))
	}
	if o.member.Held() <= 0 {
		// There may be another owner by now, whose tasks would look like
		// strays here. If there is none, the next report settles all this.
		return
	}
	o.views++
	for i := range v.Tasks {
		t := &v.Tasks[i]
		o.shown(m, machine.Ref{Machine: v.Name, Task: t.Task.Task, Attempt: t.Attempt}, t)
	}
	for p := range m.places {
		// What a predecessor had queued is settled by the worker's word alone:
		// its holder may go on asking that predecessor for ever.
		if p.shownIn != o.views && (p.state == placeUnsettled || !queued(v.Queue, p.ref)) {
			o.absent(m, p)
		}
	}
	for i := range v.Queue {
		o.checkQueued(m, v.Queue[i].Ref)
	}
	o.drainNotice(m)
	o.reserveUnshown(m)
	poke(o.wake)
}

func queued(queue []machine.QueueView, ref machine.Ref) bool {
	for i := range queue {
		if queue[i].Attempt == ref.Attempt && queue[i].Ref == ref {
			return true
		}
	}
	return false
}

// reserveUnshown takes what this owner has placed on the machine, and its
// holder does not know yet, off the published matrix.
func (o *Owner) reserveUnshown(m *mach) {
	if len(m.matrix) == 0 {
		return
	}
	for p := range m.places {
		if p.exited || p.on() || p.sentTo == m.view.Holder && p.sentAt.Before(m.at) {
			continue
		}
		if queued(m.view.Queue, p.ref) {
			continue
		}
		run := p.job.runEstimate() + o.fetchTime(p.job, m)
		if w := m.matrix.Wait(p.job.shape, run); !math.IsInf(w, 1) {
			m.matrix = m.matrix.Reserve(p.job.shape, w, run)
		}
	}
}

// shown handles a task that the worker reported.
func (o *Owner) shown(m *mach, ref machine.Ref, t *machine.TaskView) {
	uid, n, err := wire.ParseTask(ref.Task)
	if err != nil {
		return
	}
	j := o.jobs[uid]
	if j == nil {
		if o.ended(uid) {
			o.stray(m, ref, t)
		}
		return
	}
	var p *place
	for _, x := range j.places[n] {
		if x.mach == m && x.attempt == ref.Attempt {
			p = x
		}
	}
	if p == nil {
		o.stray(m, ref, t)
		return
	}
	p.shownIn = o.views
	if p.exited {
		return // until its completion is recorded
	}
	if t.State == wire.TaskExited {
		o.exited(m, p, t)
		return
	}
	if p.state != placeSeen {
		if !p.on() {
			o.log.Error("a task runs without a grant", "task", ref.Task, "machine", m.name, "attempt", ref.Attempt, "state", p.state,
				"told", p.sentTo, "age", time.Since(p.made), "holder", m.view.Holder, "token", m.view.Token, "reported", t.State, "for", t.ForS, "halted", p.haltAt)
		}
		unsettled := p.state == placeUnsettled
		p.whole = !unsettled
		o.count(p, -1)
		p.state, p.session = placeSeen, m.view.Session
		o.count(p, 1)
		if unsettled || p.sentTo != m.view.Holder {
			o.tell(p, true)
		}
	} else if p.sentTo != m.view.Holder {
		o.tell(p, true)
	}
	p.session = max(p.session, m.view.Session)
	if t.State != wire.TaskFetching && j.spec.Image != "" {
		o.cache(j, m)
	}
	if (t.State == wire.TaskRunning || t.State == wire.TaskSaving) && p.running.IsZero() {
		p.running = time.Now().Add(-time.Duration(t.ForS * float64(time.Second)))
		j.running++
		j.started++
	}
	if j.cancelled {
		o.halt(p, 0)
	}
}

// checkQueued takes an entry that has no place in the books out of its machine's
// queue. Nobody would ever grant it, but it would keep its room.
func (o *Owner) checkQueued(m *mach, ref machine.Ref) {
	for p := range m.places {
		if p.attempt == ref.Attempt && p.ref == ref {
			return
		}
	}
	uid, _, err := wire.ParseTask(ref.Task)
	if err != nil || o.jobs[uid] == nil && !o.ended(uid) {
		return
	}
	d := o.direction(m.view.Holder)
	d.Halt = append(d.Halt, machine.Halt{Ref: ref})
	poke(o.out)
}

// ended reports whether a job that is not among the living was, surely, this
// owner's to know: it ended, or was never accepted.
func (o *Owner) ended(uid string) bool {
	if len(o.loaded) < o.op.Shards {
		return false // another owner's, perhaps
	}
	_, over := o.final[uid]
	return over || time.Since(o.loadedAt) >= 3*time.Second // else just accepted, perhaps
}

// stray handles a task that has no place in the books: a leftover.
func (o *Owner) stray(m *mach, ref machine.Ref, t *machine.TaskView) {
	if t.State == wire.TaskExited {
		o.direction(m.view.Holder).Clear = append(o.direction(m.view.Holder).Clear, ref)
	} else {
		d := o.direction(m.view.Holder)
		d.Halt = append(d.Halt, machine.Halt{Ref: ref})
	}
	poke(o.out)
}

// exited handles the end of an attempt.
func (o *Owner) exited(m *mach, p *place, t *machine.TaskView) {
	j := p.job
	if t.Cause == wire.CauseDone {
		o.stats.Done++
		m.done, m.errors = m.done*0.98+1, 0
		if m.view.Spot {
			o.spotDone = o.spotDone*0.995 + 1
		}
		o.cache(j, m)
		if p.whole && !p.running.IsZero() && !j.cancelled {
			ran := time.Since(p.running).Seconds()
			j.runs.add(ran)
			j.class.runs.add(ran)
			if j.spec.Estimate > 0 {
				r := min(4, max(0.25, ran/j.spec.Estimate))
				j.class.ratio += learning * (r - j.class.ratio)
			}
		}
		if !j.spec.Service() && !p.chunk.isDone(p.task) {
			p.chunk.setDone(p.task)
			j.done++
			p.exited = true
			// Every other place of the task is needless now; the ones
			// that were never granted simply go.
			for _, q := range append([]*place(nil), j.places[p.task]...) {
				if q != p && !q.on() {
					o.unqueue(q)
				}
			}
			// The place itself stays until the completion is recorded:
			// only then may the worker forget it.
			o.count(p, -1)
			if !p.running.IsZero() {
				j.running--
				p.running = time.Time{}
			}
			p.state = placeWriting
			o.record(change{doneChange, p})
			poke(o.flush)
			o.finish(j)
			return
		}
	}
	switch t.Cause {
	case wire.CauseError:
		o.stats.Errors++
		m.errors++
		m.errJobs[j.spec.UID] = true
		j.errors++
		j.avoid[m.index] = time.Now().Add(time.Minute)
		if j.errors > 3 {
			j.notBefore = time.Now().Add(min(30*time.Second, time.Second<<min(j.errors-3, 5)))
		}
	case wire.CauseNoRoom, wire.CauseBusy:
		j.avoid[m.index] = time.Now().Add(2 * time.Second)
	case wire.CauseUnknown:
		j.errors++
		j.notBefore = time.Now().Add(2 * time.Second)
	}
	o.clear(p)
}

// clear ends the place of an exited task and lets its worker forget it.
func (o *Owner) clear(p *place) {
	o.detach(p)
	d := o.direction(p.mach.view.Holder)
	d.Clear = append(d.Clear, p.ref)
	poke(o.out)
}

// absent handles a place that the worker's report does not show.
func (o *Owner) absent(m *mach, p *place) {
	switch {
	case p.exited: // goes when its completion is recorded
	case !p.on():
		if p.state == placeRecorded && (p.sentTo != m.view.Holder || time.Since(p.sentAt) > 2*time.Second) {
			o.tell(p, false)
		}
	case m.view.Token > p.token || p.state != placeUnsettled && m.view.Session > p.session:
		// Newer than any start command for this attempt can be, and the
		// task is not there: it is off this machine.
		if p.state == placeSeen {
			o.lose(p)
		}
		o.detach(p)
	case p.state == placeGranted && !p.job.cancelled && p.haltAt.IsZero():
		if p.sentTo != m.view.Holder || time.Since(p.sentAt) > 2*time.Second {
			o.tell(p, false)
		}
	default:
		// Perhaps a late command: a newer token settles it.
		if time.Since(p.haltAt) > time.Second {
			p.haltAt = time.Now()
			d := o.direction(m.view.Holder)
			d.Halt = append(d.Halt, machine.Halt{Ref: p.ref})
			d.RaiseAbove = max(d.RaiseAbove, p.token)
			poke(o.out)
		}
	}
}

func (o *Owner) lose(p *place) {
	o.stats.Lost++
	p.mach.lost = p.mach.lost*0.98 + 1
	if p.mach.view.Spot {
		o.spotLost = o.spotLost*0.995 + 1
	}
}

// direction returns what is to be told to a holder next.
func (o *Owner) direction(holder string) *machine.Direction {
	d := o.pend[holder]
	if d == nil {
		d = &machine.Direction{From: o.member.Name()}
		o.pend[holder] = d
	}
	return d
}

// tell sends a place to the machine's holder, to be queued, or as facts about
// a task that it lists.
func (o *Owner) tell(p *place, isListed bool) {
	m, j := p.mach, p.job
	if m.view.Holder == "" {
		return
	}
	p.sentTo, p.sentAt = m.view.Holder, time.Now()
	d := o.direction(m.view.Holder)
	d.Assign = append(d.Assign, machine.Entry{
		Ref: p.ref, Owner: o.member.Name(), Shape: j.shape, Run: j.runEstimate(), Fetch: o.fetchTime(j, m),
		Rank: j.spec.Rank(), DueAt: j.dueAt(), Listed: isListed,
	})
	poke(o.out)
}

// halt stops a task; it is repeated until the task is off its machine.
func (o *Owner) halt(p *place, grace float64) {
	if !p.on() {
		o.unqueue(p)
		return
	}
	if time.Since(p.haltAt) < time.Second {
		return
	}
	p.haltAt = time.Now()
	if p.halted.IsZero() {
		p.halted = p.haltAt
	}
	if p.mach.view.Holder == "" {
		return
	}
	d := o.direction(p.mach.view.Holder)
	d.Halt = append(d.Halt, machine.Halt{Ref: p.ref, GraceS: grace})
	poke(o.out)
}

// unqueue takes back a place that was never granted, so that nothing can have
// been started by it.
func (o *Owner) unqueue(p *place) {
	if p.sentTo != "" {
		d := o.direction(p.sentTo)
		d.Halt = append(d.Halt, machine.Halt{Ref: p.ref})
		poke(o.out)
	}
	o.detach(p)
}

// drainNotice saves what can be saved before the cloud takes a machine.
func (o *Owner) drainNotice(m *mach) {
	if m.notice.IsZero() {
		return
	}
	left := time.Until(m.notice).Seconds()
	for p := range m.places {
		if p.exited {
			continue
		}
		if !p.on() {
			o.unqueue(p)
			continue
		}
		s := p.job.spec
		if s.MarkS > 0 && !p.running.IsZero() && p.halted.IsZero() && left < s.SaveS+2*o.cfg.Params.Workers.ReportS+1 {
			o.halt(p, s.SaveS+1)
		}
	}
}

// GrantHere decides whether a task may start now. One place of a task is
// granted at a time; quota, place and kind are checked against everything
// that may still be on.
func (o *Owner) GrantHere(r machine.GrantRequest) machine.GrantReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	no, drop := machine.GrantReply{}, machine.GrantReply{Drop: true}
	if o.member.Held() < 200*time.Millisecond || len(o.loaded) == 0 {
		return no
	}
	uid, n, err := wire.ParseTask(r.Task)
	if err != nil {
		return drop
	}
	j := o.jobs[uid]
	if j == nil {
		return machine.GrantReply{Drop: len(o.loaded) == o.op.Shards}
	}
	if v, ok := o.member.Owns(j.shard); !ok || o.loaded[j.shard] != v {
		return no
	}
	var p *place
	for _, x := range j.places[n] {
		if x.mach.name == r.Machine && x.attempt == r.Attempt {
			p = x
		} else if x.on() || x.exited {
			o.stats.Refused++
			return no // settled later, or dropped by unqueue
		}
	}
	if p == nil {
		return drop
	}
	m := p.mach
	switch {
	case j.cancelled || p.chunk.isDone(n):
		return drop
	case p.state == placeWriting || p.state == placeUnsettled || p.state == placeSeen || !p.haltAt.IsZero():
		return no
	case m.gone || m.view.Draining || !o.allowed(j, m):
		return no
	}
	o.count(p, -1)
	if !o.within(j, m) || !o.underLimit(j) {
		o.count(p, 1)
		o.stats.Refused++
		return no
	}
	p.state = placeGranted
	p.token, p.session = max(p.token, r.Token), max(p.session, r.Session)
	o.count(p, 1)
	o.stats.Granted++
	for _, x := range append([]*place(nil), j.places[n]...) {
		if x != p {
			o.unqueue(x)
		}
	}
	return machine.GrantReply{OK: true}
}

// allowed reports whether the job may run on that machine at all.
func (o *Owner) allowed(j *job, m *mach) bool {
	s := j.spec
	if m.view.Spot && !s.Spot || s.Zone != nil && *s.Zone != m.view.Zone {
		return false
	}
	if s.Types == nil {
		return true
	}
	for _, t := range s.Types {
		if t == m.view.Type {
			return true
		}
	}
	return false
}

// within reports whether one more task of the job may be in the machine's
// zone, counting all that may be on.
func (o *Owner) within(j *job, m *mach) bool {
	zone := m.view.Zone
	if j.spec.OneZone {
		if j.unzoned > 0 {
			return false
		}
		for z, n := range j.zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	if j.spec.Spread && j.zones[zone]+j.unzoned+1 > (j.spec.Tasks+1)/2 {
		return false
	}
	return true
}

// underLimit reports whether the job's team may use one more task of it.
func (o *Owner) underLimit(j *job) bool {
	t := j.team
	u := t.use.Add(j.shape, 1)
	const tiny = 1e-6
	return (t.CPUsMax <= 0 || u.CPUs <= t.CPUsMax+tiny) && (t.GPUsMax <= 0 || u.GPUs <= t.GPUsMax+tiny)
}

// Gone settles every place on a machine that the cloud has deleted.
func (o *Owner) Gone(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.returned.add(name)
	m := o.machines[name]
	if m == nil {
		return
	}
	m.gone = true
	o.settleLost(m, time.Now())
	// The name never comes back; the index stays taken.
	o.byIndex[m.index] = nil
	delete(o.machines, name)
}

// Vouched settles what was on a machine when all controllers vouched that
// none has answered it for a full lease: its worker has killed every task.
func (o *Owner) Vouched(name string, asked time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if m := o.machines[name]; m != nil && m.at.Before(asked) {
		o.settleLost(m, asked)
	}
}

func (o *Owner) settleLost(m *mach, before time.Time) {
	for p := range m.places {
		if p.made.After(before) {
			continue
		}
		if p.state == placeSeen || p.state == placeGranted {
			o.lose(p)
		}
		if !p.exited {
			o.detach(p)
		}
	}
}

const (
	massLeast = 8    // machines below which silence says nothing about the listener
	maxGone   = 4096 // returned machines that are remembered
)

// massSilence reports whether most machines fell silent together. Then it is
// likelier that they are not heard than that they stopped: to return them would
// throw away all that they do.
func (o *Owner) massSilence(now time.Time, limit time.Duration) bool {
	known, silent := 0, 0
	for _, m := range o.machines {
		s := now.Sub(later(m.heard, m.since))
		if s > limit+seconds(o.cfg.Params.Workers.LeaseS) {
			continue // it has been gone for long
		}
		known++
		if s >= limit {
			silent++
		}
	}
	return known >= massLeast && 2*silent > known
}

// names is a set of bounded size that forgets the oldest.
type names struct {
	set   map[string]bool
	order []string
}

func (n *names) has(name string) bool { return n.set[name] }

func (n *names) add(name string) {
	if n.set[name] {
		return
	}
	if n.set == nil {
		n.set = map[string]bool{}
	}
	n.set[name] = true
	if n.order = append(n.order, name); len(n.order) > maxGone {
		delete(n.set, n.order[0])
		n.order = n.order[1:]
	}
}

// Suspects returns the machines that tasks may be on and that have been
// silent for too long: the cloud's deletion settles them.
func (o *Owner) Suspects() map[string]time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	out := map[string]time.Duration{}
	limit := seconds(o.op.SilentS)
	if o.massSilence(now, limit) {
		limit = max(limit, seconds(o.cfg.Params.Workers.LeaseS*1.002+1))
	}
	for name, m := range o.machines {
		if silent := now.Sub(later(m.heard, m.since)); silent >= limit && len(m.places) > 0 {
			out[name] = silent
		}
	}
	// A cancelled task that can't be stopped in time goes with its machine.
	for _, j := range o.order {
		if !j.cancelled {
			continue
		}
		for _, ps := range j.places {
			for _, p := range ps {
				if p.on() && !p.halted.IsZero() && now.Sub(p.halted).Seconds() > o.cfg.Params.Workers.CancelS/3 {
					out[p.mach.name] = max(out[p.mach.name], limit)
				}
			}
		}
	}
	return out
}

var seconds = config.Seconds

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Demand is work that waits.
type Demand struct {
	Shape placement.Shape
	Job   *wire.Job
	Count int
	Run   float64
	Rank  int
	Slack float64 // how long it may wait and still meet an aim that a new machine can help with
}

// Demand returns the work that has no machine yet, most urgent first, and what
// each machine's future looks like. boot is how long a new machine takes.
func (o *Owner) Demand(boot float64) ([]Demand, []Load) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.now = time.Now()
	var waiting []*job
	count := map[*job]int{}
	for _, j := range o.order {
		if j.cancelled || j.ended != "" {
			continue
		}
		n := len(j.pending)
		for _, ps := range j.places {
			waits := true
			for _, p := range ps {
				waits = waits && !p.on() && !p.exited
			}
			if waits {
				n++
			}
		}
		if j.errors > 6 {
			n = min(n, 2)
		}
		if n > 0 {
			waiting = append(waiting, j)
			count[j] = n
		}
	}
	o.sortJobs(waiting)
	ds := make([]Demand, 0, len(waiting))
	for _, j := range waiting {
		ds = append(ds, Demand{Shape: j.shape, Job: j.spec, Count: count[j], Run: j.runEstimate(), Rank: j.spec.Rank(), Slack: o.slack(j, boot)})
	}
	var ls []Load
	for _, m := range o.machines {
		m.kind, _ = o.types.Type(m.view.Type) // prices move
		l := Load{Name: m.name, Type: m.view.Type, Zone: m.view.Zone, Spot: m.view.Spot, Matrix: m.matrix, Heard: m.heard,
			Places: len(m.places), Notice: !m.notice.IsZero(), Faulty: m.errors >= 4 && len(m.errJobs) >= 2}
		for p := range m.places {
			if p.on() {
				l.Used = l.Used.Add(p.job.shape, 1)
			}
		}
		ls = append(ls, l)
	}
	return ds, ls
}

// lateSlack is the patience with work that a new machine can't bring in time
// any more: it should still move on.
const lateSlack = 20

// slack is how long the job's tasks may still wait and meet the next aim that
// a machine rented now can help to meet.
func (o *Owner) slack(j *job, boot float64) float64 {
	age := o.now.Sub(j.accepted).Seconds()
	run := pessimism*j.runEstimate() + restartTakes
	best := math.Inf(1)
	offer := func(s float64) {
		if s >= boot && s < best {
			best = s
		}
	}
	for _, within := range j.class.starts {
		offer(within - age)
	}
	for _, limit := range o.limits(j) {
		offer(limit - age - run)
	}
	if math.IsInf(best, 1) {
		return lateSlack
	}
	return best
}

const (
	pessimism    = 1.3 // by which runs are taken to be longer than expected
	restartTakes = 4   // seconds from a decision to a task's run, image included
)

// limits are the ages at which the job should be done.
func (o *Owner) limits(j *job) []float64 {
	if j.ends == nil {
		j.ends = []float64{}
		for _, aim := range o.cfg.Params.Objectives {
			switch {
			case aim.Class != j.spec.Class:
			case aim.Kind == "finished":
				j.ends = append(j.ends, aim.WithinS)
			case aim.Kind == "deadline" && j.spec.DueS != nil:
				j.ends = append(j.ends, *j.spec.DueS*max(1, aim.Times))
			}
		}
		if j.spec.DueS != nil {
			j.ends = append(j.ends, *j.spec.DueS)
		}
	}
	return j.ends
}

// Admitted returns how much work, in CPU-seconds, has been accepted since this
// owner began.
func (o *Owner) Admitted() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.admitted
}

// Closing tells which machines take no new work, so that they fall idle and
// can be returned.
func (o *Owner) Closing(names map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, m := range o.machines {
		m.closing = names[name]
	}
}

// Load is a machine as fleet planning sees it.
type Load struct {
	Name, Type, Zone     string
	Spot, Notice, Faulty bool
	Matrix               placement.Matrix
	Used                 placement.Shape
	Heard                time.Time
	Places               int
}

// Leads reports whether this owner leads the fleet: it owns the first shard.
func (o *Owner) Leads() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, first := o.loaded[0]
	return first && o.member.Held() > 0
}
