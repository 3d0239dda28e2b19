package scheduler

import (
	"math"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// learning is the weight of a newly finished task in its class's ratio.
const learning = 0.08

// viewLag is how old a view from another controller may be when it comes.
const viewLag = 1500 * time.Millisecond

// tellAgain is how long a holder that was told what a listed task takes may not know it.
const tellAgain = 2 * time.Second

// grantedLong is how long a granted start may neither show nor go before a newer token
// tells which it was.
const grantedLong = 10 * time.Second

// Observe takes a holder's view of a machine and settles what it shows.
func (o *Owner) Observe(v dispatch.View) {
	if v.Same {
		if !o.mu.TryLock() {
			o.keep(v)
			return
		}
	} else {
		o.mu.Lock()
	}
	defer o.mu.Unlock()
	o.observeKept()
	o.observe(v)
}

// keptView is a view that came while this owner was busy.
type keptView struct {
	view dispatch.View
	at   time.Time
}

// keep has a view observed later that tells nothing but that its machine was heard: the
// worker's answer must not wait for a pass.
func (o *Owner) keep(v dispatch.View) {
	o.keptMu.Lock()
	defer o.keptMu.Unlock()
	o.kept = append(o.kept, keptView{v, time.Now()})
}

// observeKept takes the views that were kept, with their ages as of now. A later view of
// the same machine may have come before one of them, which is then a late copy.
func (o *Owner) observeKept() {
	o.keptMu.Lock()
	kept := o.kept
	o.kept = nil
	o.keptMu.Unlock()
	for _, k := range kept {
		since := time.Since(k.at).Seconds()
		k.view.AgeS += since
		k.view.UnansweredS += since
		o.observe(k.view)
	}
}

func (o *Owner) observe(v dispatch.View) {
	if len(o.loaded) == 0 || o.returned.Has(v.Name) {
		return
	}
	m := o.machineOf(v.Name)
	old := &m.view
	if m.gone {
		return
	}
	// A view takes time to come, which makes the same renewal look a little later.
	if at := time.Now().Add(-seconds(v.UnansweredS)); at.Sub(m.renewed) > seconds(sameRenewal*o.cfg.Params.Workers.ReportS) {
		m.renewed, m.renewedIn = at, v.Session
	}
	if (v.Session < old.Session || v.Session == old.Session && v.Seq < old.Seq) && time.Since(m.heard) < seconds(o.cfg.Params.Workers.LeaseS) {
		return // a late copy; after a lease without any other, a worker that counts anew
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
	if !v.Asked {
		m.reported = m.heard
	}
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
		o.shown(m, dispatch.Ref{Machine: v.Name, Task: t.Task.Task, Attempt: t.Attempt}, t)
	}
	for p := range m.places {
		// What a predecessor had queued, or was seen to run, is settled by the worker's
		// word alone: its holder may go on asking that predecessor for ever, or have
		// it queued still from before it ran, as another holder heard, and was lost.
		switch {
		case p.shownIn == o.views:
		case p.state == placeUnsettled || p.state == placeSeen || !queued(v.Queue, p.ref):
			o.absent(m, p)
		case p.state == placeGranted:
			o.granted(m, p, now)
		}
	}
	for i := range v.Queue {
		o.checkQueued(m, v.Queue[i].Ref)
	}
	o.heeds(m, now)
	o.drainNotice(m)
	o.reserveUnshown(m)
	poke(o.wake)
}

func queued(queue []dispatch.QueueView, ref dispatch.Ref) bool {
	for i := range queue {
		if queue[i].Attempt == ref.Attempt && queue[i].Ref == ref {
			return true
		}
	}
	return false
}

// unsent reports whether a holder has a place queued and has sent no start command for it.
func unsent(queue []dispatch.QueueView, ref dispatch.Ref) bool {
	for i := range queue {
		if queue[i].Attempt == ref.Attempt && queue[i].Ref == ref {
			return queue[i].Unsent
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
	// A view from elsewhere was made before it came: what it lacks its holder may know
	// only since then, and room that was just given away would be given again.
	lag := time.Duration(0)
	if m.view.Holder != o.member.Name() {
		lag = viewLag
	}
	for p := range m.places {
		switch {
		case p.exited:
			continue
		case p.on() && (p.state != placeGranted || lag == 0 || time.Since(p.grantedAt) > lag):
			continue
		case !p.on() && p.sentTo == m.view.Holder && p.sentAt.Before(m.at.Add(-lag)):
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
func (o *Owner) shown(m *mach, ref dispatch.Ref, t *dispatch.TaskView) {
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
		m.heeded = m.heeded || p.state == placeGranted
		p.whole = !unsettled
		o.count(p, -1)
		p.state, p.session = placeSeen, m.view.Session
		o.count(p, 1)
		if unsettled || p.sentTo != m.view.Holder {
			o.tell(p, true)
		}
	} else if p.sentTo != m.view.Holder || t.Unknown && time.Since(p.sentAt) > tellAgain {
		// What it was told may have come when it had an older report, in which the task was
		// not listed: it took the machine for full as long as the task ran, and what was
		// queued there never started.
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
		j.begin(p.running)
		j.asked.startedAt(p.running)
	}
	if j.cancelled || p.chunk.isDone(p.task) {
		o.halt(p, 0)
	}
}

// checkQueued takes an entry that has no place in the books out of its machine's
// queue. Nobody would ever grant it, but it would keep its room.
func (o *Owner) checkQueued(m *mach, ref dispatch.Ref) {
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
	d.Halt = append(d.Halt, dispatch.Halt{Ref: ref})
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
func (o *Owner) stray(m *mach, ref dispatch.Ref, t *dispatch.TaskView) {
	d := o.direction(m.view.Holder)
	if t.State == wire.TaskExited {
		// Its place is gone, and with it what its starts may carry: a clear whose
		// message was lost is repeated here, and a start that was held up came later.
		d.Clear = append(d.Clear, dispatch.Clear{Ref: ref, Token: max(m.tokens, o.fence)})
	} else {
		d.Halt = append(d.Halt, dispatch.Halt{Ref: ref})
	}
	poke(o.out)
}

// exited handles the end of an attempt.
func (o *Owner) exited(m *mach, p *place, t *dispatch.TaskView) {
	j := p.job
	p.cause = t.Cause
	if t.Cause == wire.CauseDone {
		o.stats.Done++
		m.done = m.done*0.98 + 1
		clear(m.blame)
		j.faulty, j.failedOn = false, nil
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
			j.begin(time.Now())
			o.taskOver(p)
			return
		}
	}
	if how := j.forGood(p, t); how != 0 {
		o.fail(p, how)
		return
	}
	switch t.Cause {
	case wire.CauseError:
		o.stats.Errors++
		o.failed(j, m)
		if j.errors > 3+j.done {
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

// taskOver ends a task that is done, or over for good, at a place of it.
func (o *Owner) taskOver(p *place) {
	j := p.job
	j.over++
	row := o.attemptRow(p)
	p.exited = true
	// Every other place of the task is needless now; the ones that were never
	// granted simply go.
	for _, q := range append([]*place(nil), j.places[p.task]...) {
		if q != p && !q.on() {
			o.unqueue(q)
		}
	}
	// The place itself stays until the end is recorded: only then may the worker
	// forget it.
	o.count(p, -1)
	if !p.running.IsZero() {
		j.running--
		p.running = time.Time{}
	}
	p.state = placeWriting
	o.record(change{kind: doneChange, p: p, row: row})
	poke(o.flush)
	o.finish(j)
}

// clear ends the place of an exited task and lets its worker forget it.
func (o *Owner) clear(p *place) {
	o.detach(p)
	d := o.direction(p.mach.view.Holder)
	d.Clear = append(d.Clear, dispatch.Clear{Ref: p.ref, Token: p.token})
	poke(o.out)
}

// granted handles a place whose start was granted and does not show, while its machine's
// queue still has it. One that surely came to nothing waits for its turn: it may look
// elsewhere, like all that waits. One that is not sure for long is asked about by a newer
// token: its start may be lost, and the room taken by what another holder started. Both
// stood for ever behind tasks that ran for long, beside idle machines.
//
// An attempt is started in one session of its worker only. It may have run, and ended, in a
// session of which no report came; a report of that session that comes late, to the next
// leader too, would be taken for what became of the attempt in the session after it.
func (o *Owner) granted(m *mach, p *place, now time.Time) {
	switch {
	case m.view.Session > p.session:
		o.unqueue(p)
	case off(m, p):
		o.count(p, -1)
		p.state, p.grantedAt = placeRecorded, time.Time{}
		o.count(p, 1)
	case now.Sub(p.grantedAt) > grantedLong && m.view.Holder != "":
		d := o.direction(m.view.Holder)
		d.RaiseAbove = max(d.RaiseAbove, p.token)
		poke(o.out)
	}
}

// off reports whether a place that the worker's report does not show is surely off that
// machine: the report is newer than any start command for this attempt can be.
func off(m *mach, p *place) bool {
	return m.view.Token > p.token || p.state != placeUnsettled && m.view.Session > p.session
}

// absent handles a place that the worker's report does not show.
func (o *Owner) absent(m *mach, p *place) {
	switch {
	case p.exited: // goes when its completion is recorded
	case !p.on():
		if p.state == placeRecorded && (p.sentTo != m.view.Holder || time.Since(p.sentAt) > 2*time.Second) {
			o.tell(p, false)
		}
	case off(m, p):
		if p.state == placeSeen {
			o.lose(p)
		}
		o.detach(p)
	case p.state == placeGranted && !p.job.cancelled && p.haltAt.IsZero():
		if p.sentTo != m.view.Holder || time.Since(p.sentAt) > 2*time.Second {
			o.tell(p, false)
		}
	default:
		// Perhaps a late command: a newer token settles it. Only what is to stop is halted:
		// the report may be older than the start, and a halt would end a task that a
		// predecessor started after it.
		d := o.direction(m.view.Holder)
		d.RaiseAbove = max(d.RaiseAbove, p.token)
		if (p.job.cancelled || !p.haltAt.IsZero()) && time.Since(p.haltAt) > time.Second {
			p.haltAt = time.Now()
			d.Halt = append(d.Halt, dispatch.Halt{Ref: p.ref})
		}
		poke(o.out)
	}
}

func (o *Owner) lose(p *place) {
	o.stats.Lost++
	p.mach.lost = p.mach.lost*0.98 + 1
	if p.mach.view.Spot {
		o.spotLost = o.spotLost*0.995 + 1
	}
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

var seconds = config.Seconds

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
