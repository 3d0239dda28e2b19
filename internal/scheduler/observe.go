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

// ObserveWorker takes a holder's view of a machine and settles what it shows.
func (o *Scheduler) ObserveWorker(v dispatch.WorkerView) {
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

// deferredView is a view that came while this owner was busy.
type deferredView struct {
	view dispatch.WorkerView
	at   time.Time
}

// keep has a view observed later that tells nothing but that its machine was heard: the
// worker's answer must not wait for a pass.
func (o *Scheduler) keep(v dispatch.WorkerView) {
	o.keptMu.Lock()
	defer o.keptMu.Unlock()
	o.kept = append(o.kept, deferredView{v, time.Now()})
}

// observeKept takes the views that were kept, with their ages as of now. A later view of
// the same machine may have come before one of them, which is then a late copy.
func (o *Scheduler) observeKept() {
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

func (o *Scheduler) observe(v dispatch.WorkerView) {
	if len(o.loaded) == 0 || o.returned.Has(v.Name) {
		return
	}
	m := o.machineOf(v.Name)
	old := &m.View
	if m.Gone {
		return
	}
	// A view takes time to come, which makes the same renewal look a little later.
	if at := time.Now().Add(-seconds(v.UnansweredS)); at.Sub(m.RenewedAt) > seconds(sameRenewal*o.cfg.Params.Workers.ReportS) {
		m.RenewedAt, m.RenewedSession = at, v.Session
	}
	if (v.Session < old.Session || v.Session == old.Session && v.Seq < old.Seq) && time.Since(m.LastHeartbeat) < seconds(o.cfg.Params.Workers.LeaseS) {
		return // a late copy; after a lease without any other, a worker that counts anew
	}
	if v.Session == old.Session && v.Seq == old.Seq && v.Holder == old.Holder {
		// The same report with a changed queue: settling it again would only
		// repeat the directions that changed the queue.
		m.View, m.Matrix = v, v.Matrix
		o.reserveUnshown(m)
		return
	}
	if old.Zone == "" && v.Zone != "" {
		// Places counted in every zone move to the right one.
		for p := range m.Placements {
			o.count(p, -1)
		}
		m.View.Zone = v.Zone
		for p := range m.Placements {
			o.count(p, 1)
		}
	}
	now := time.Now()
	m.View, m.ViewAt, m.Matrix = v, now, v.Matrix
	// What a holder heard some time ago says nothing of the time since: places
	// were made on machines that were long gone.
	m.LastHeartbeat = now.Add(-seconds(v.AgeS))
	if !v.Asked {
		m.LastReport = m.LastHeartbeat
	}
	m.NoticeAt = time.Time{}
	if v.NoticeS != nil {
		m.NoticeAt = now.Add(time.Duration(*v.NoticeS * float64(time.Second)))
	}
	if o.member.LeaseRemaining() <= 0 {
		// There may be another owner by now, whose tasks would look like
		// strays here. If there is none, the next report settles all this.
		return
	}
	o.views++
	for i := range v.Tasks {
		t := &v.Tasks[i]
		o.shown(m, dispatch.TaskRef{Machine: v.Name, Task: t.Task.Task, Attempt: t.Attempt}, t)
	}
	for p := range m.Placements {
		// What a predecessor had queued, or was seen to run, is settled by the worker's
		// word alone: its holder may go on asking that predecessor for ever, or have
		// it queued still from before it ran, as another holder heard, and was lost.
		switch {
		case p.SeenInView == o.views:
		case p.State == PlacementUnconfirmed || p.State == PlacementReported || !queued(v.Queue, p.Ref):
			o.absent(m, p)
		case p.State == PlacementGranted:
			o.granted(m, p, now)
		}
	}
	for i := range v.Queue {
		o.checkQueued(m, v.Queue[i].TaskRef)
	}
	o.heeds(m, now)
	o.drainNotice(m)
	o.reserveUnshown(m)
	poke(o.wake)
}

func queued(queue []dispatch.QueueView, ref dispatch.TaskRef) bool {
	for i := range queue {
		if queue[i].Attempt == ref.Attempt && queue[i].TaskRef == ref {
			return true
		}
	}
	return false
}

// unsent reports whether a holder has a place queued and has sent no start command for it.
func unsent(queue []dispatch.QueueView, ref dispatch.TaskRef) bool {
	for i := range queue {
		if queue[i].Attempt == ref.Attempt && queue[i].TaskRef == ref {
			return queue[i].Unsent
		}
	}
	return false
}

// reserveUnshown takes what this owner has placed on the machine, and its
// holder does not know yet, off the published matrix.
func (o *Scheduler) reserveUnshown(m *Worker) {
	if len(m.Matrix) == 0 {
		return
	}
	// A view from elsewhere was made before it came: what it lacks its holder may know
	// only since then, and room that was just given away would be given again.
	lag := time.Duration(0)
	if m.View.Holder != o.member.Name() {
		lag = viewLag
	}
	for p := range m.Placements {
		switch {
		case p.Exited:
			continue
		case p.MayRun() && (p.State != PlacementGranted || lag == 0 || time.Since(p.GrantedAt) > lag):
			continue
		case !p.MayRun() && p.SentTo == m.View.Holder && p.SentAt.Before(m.ViewAt.Add(-lag)):
			continue
		}
		if queued(m.View.Queue, p.Ref) {
			continue
		}
		run := p.Job.RunEstimate() + o.fetchTime(p.Job, m)
		if w := m.Matrix.Wait(p.Job.Resources, run); !math.IsInf(w, 1) {
			m.Matrix = m.Matrix.Reserve(p.Job.Resources, w, run)
		}
	}
}

// shown handles a task that the worker reported.
func (o *Scheduler) shown(m *Worker, ref dispatch.TaskRef, t *dispatch.TaskView) {
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
	var p *Placement
	for _, x := range j.Placements[n] {
		if x.Worker == m && x.Attempt == ref.Attempt {
			p = x
		}
	}
	if p == nil {
		o.stray(m, ref, t)
		return
	}
	p.SeenInView = o.views
	if p.Exited {
		return // until its completion is recorded
	}
	if t.State == wire.TaskExited {
		o.exited(m, p, t)
		return
	}
	if p.State != PlacementReported {
		if !p.MayRun() {
			o.log.Error("a task runs without a grant", "task", ref.Task, "machine", m.Name, "attempt", ref.Attempt, "state", p.State,
				"told", p.SentTo, "age", time.Since(p.CreatedAt), "holder", m.View.Holder, "token", m.View.Token, "reported", t.State, "for", t.ForS, "halted", p.LastHaltAt)
		}
		unsettled := p.State == PlacementUnconfirmed
		m.CommandObserved = m.CommandObserved || p.State == PlacementGranted
		p.StartObserved = !unsettled
		o.count(p, -1)
		p.State, p.Session = PlacementReported, m.View.Session
		o.count(p, 1)
		if unsettled || p.SentTo != m.View.Holder {
			o.tell(p, true)
		}
	} else if p.SentTo != m.View.Holder || t.Unknown && time.Since(p.SentAt) > tellAgain {
		// What it was told may have come when it had an older report, in which the task was
		// not listed: it took the machine for full as long as the task ran, and what was
		// queued there never started.
		o.tell(p, true)
	}
	p.Session = max(p.Session, m.View.Session)
	if t.State != wire.TaskFetching && j.Spec.Image != "" {
		o.cache(j, m)
	}
	if (t.State == wire.TaskRunning || t.State == wire.TaskSaving) && p.RunningSince.IsZero() {
		p.RunningSince = time.Now().Add(-time.Duration(t.ForS * float64(time.Second)))
		j.Running++
		j.Started++
		j.RecordBegin(p.RunningSince)
		j.Constraints.RecordStart(p.RunningSince)
	}
	if j.Cancelled || p.Chunk.IsDone(p.Task) {
		o.halt(p, 0)
	}
}

// checkQueued takes an entry that has no place in the books out of its machine's
// queue. Nobody would ever grant it, but it would keep its room.
func (o *Scheduler) checkQueued(m *Worker, ref dispatch.TaskRef) {
	for p := range m.Placements {
		if p.Attempt == ref.Attempt && p.Ref == ref {
			return
		}
	}
	uid, _, err := wire.ParseTask(ref.Task)
	if err != nil || o.jobs[uid] == nil && !o.ended(uid) {
		return
	}
	d := o.direction(m.View.Holder)
	d.Halt = append(d.Halt, dispatch.Halt{TaskRef: ref})
	poke(o.out)
}

// ended reports whether a job that is not among the living was, surely, this
// owner's to know: it ended, or was never accepted.
func (o *Scheduler) ended(uid string) bool {
	if len(o.loaded) < o.op.Shards {
		return false // another owner's, perhaps
	}
	_, over := o.final[uid]
	return over || time.Since(o.loadedAt) >= 3*time.Second // else just accepted, perhaps
}

// stray handles a task that has no place in the books: a leftover.
func (o *Scheduler) stray(m *Worker, ref dispatch.TaskRef, t *dispatch.TaskView) {
	d := o.direction(m.View.Holder)
	if t.State == wire.TaskExited {
		// Its place is gone, and with it what its starts may carry: a clear whose
		// message was lost is repeated here, and a start that was held up came later.
		d.Clear = append(d.Clear, dispatch.Clear{TaskRef: ref, Token: max(m.MaxToken, o.fence)})
	} else {
		d.Halt = append(d.Halt, dispatch.Halt{TaskRef: ref})
	}
	poke(o.out)
}

// exited handles the end of an attempt.
func (o *Scheduler) exited(m *Worker, p *Placement, t *dispatch.TaskView) {
	j := p.Job
	p.ExitCause = t.Cause
	if t.Cause == wire.CauseDone {
		o.stats.Done++
		m.RecentDone = m.RecentDone*0.98 + 1
		clear(m.Failures)
		j.Faulty, j.FailedOn = false, nil
		if m.View.Spot {
			o.spotDone = o.spotDone*0.995 + 1
		}
		o.cache(j, m)
		if p.StartObserved && !p.RunningSince.IsZero() && !j.Cancelled {
			ran := time.Since(p.RunningSince).Seconds()
			j.RunTimes.Add(ran)
			j.Class.RunTimes.Add(ran)
			if j.Spec.Estimate > 0 {
				r := min(4, max(0.25, ran/j.Spec.Estimate))
				j.Class.EstimateRatio += learning * (r - j.Class.EstimateRatio)
			}
		}
		if !j.Spec.Service() && !p.Chunk.IsDone(p.Task) {
			p.Chunk.SetDone(p.Task)
			j.Done++
			j.RecordBegin(time.Now())
			o.taskOver(p)
			return
		}
	}
	if how := j.FinalOutcome(p, t); how != 0 {
		o.fail(p, how)
		return
	}
	switch t.Cause {
	case wire.CauseError:
		o.stats.Errors++
		o.failed(j, m)
		if j.Errors > 3+j.Done {
			j.NotBefore = time.Now().Add(min(30*time.Second, time.Second<<min(j.Errors-3, 5)))
		}
	case wire.CauseNoRoom, wire.CauseBusy:
		j.Avoid[m.Index] = time.Now().Add(2 * time.Second)
	case wire.CauseUnknown:
		j.Errors++
		j.NotBefore = time.Now().Add(2 * time.Second)
	}
	o.clear(p)
}

// taskOver ends a task that is done, or over for good, at a place of it.
func (o *Scheduler) taskOver(p *Placement) {
	j := p.Job
	j.Finished++
	row := o.attemptRow(p)
	p.Exited = true
	// Every other place of the task is needless now; the ones that were never
	// granted simply go.
	for _, q := range append([]*Placement(nil), j.Placements[p.Task]...) {
		if q != p && !q.MayRun() {
			o.unqueue(q)
		}
	}
	// The place itself stays until the end is recorded: only then may the worker
	// forget it.
	o.count(p, -1)
	if !p.RunningSince.IsZero() {
		j.Running--
		p.RunningSince = time.Time{}
	}
	p.State = PlacementRecording
	o.record(Change{Kind: TaskFinished, Placement: p, Row: row})
	poke(o.flush)
	o.finish(j)
}

// clear ends the place of an exited task and lets its worker forget it.
func (o *Scheduler) clear(p *Placement) {
	o.detach(p)
	d := o.direction(p.Worker.View.Holder)
	d.Clear = append(d.Clear, dispatch.Clear{TaskRef: p.Ref, Token: p.MaxToken})
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
func (o *Scheduler) granted(m *Worker, p *Placement, now time.Time) {
	switch {
	case m.View.Session > p.Session:
		o.unqueue(p)
	case off(m, p):
		o.count(p, -1)
		p.State, p.GrantedAt = PlacementRecorded, time.Time{}
		o.count(p, 1)
	case now.Sub(p.GrantedAt) > grantedLong && m.View.Holder != "":
		d := o.direction(m.View.Holder)
		d.RaiseTokenAbove = max(d.RaiseTokenAbove, p.MaxToken)
		poke(o.out)
	}
}

// off reports whether a place that the worker's report does not show is surely off that
// machine: the report is newer than any start command for this attempt can be.
func off(m *Worker, p *Placement) bool {
	return m.View.Token > p.MaxToken || p.State != PlacementUnconfirmed && m.View.Session > p.Session
}

// absent handles a place that the worker's report does not show.
func (o *Scheduler) absent(m *Worker, p *Placement) {
	switch {
	case p.Exited: // goes when its completion is recorded
	case !p.MayRun():
		if p.State == PlacementRecorded && (p.SentTo != m.View.Holder || time.Since(p.SentAt) > 2*time.Second) {
			o.tell(p, false)
		}
	case off(m, p):
		if p.State == PlacementReported {
			o.lose(p)
		}
		o.detach(p)
	case p.State == PlacementGranted && !p.Job.Cancelled && p.LastHaltAt.IsZero():
		if p.SentTo != m.View.Holder || time.Since(p.SentAt) > 2*time.Second {
			o.tell(p, false)
		}
	default:
		// Perhaps a late command: a newer token settles it. Only what is to stop is halted:
		// the report may be older than the start, and a halt would end a task that a
		// predecessor started after it.
		d := o.direction(m.View.Holder)
		d.RaiseTokenAbove = max(d.RaiseTokenAbove, p.MaxToken)
		if (p.Job.Cancelled || !p.LastHaltAt.IsZero()) && time.Since(p.LastHaltAt) > time.Second {
			p.LastHaltAt = time.Now()
			d.Halt = append(d.Halt, dispatch.Halt{TaskRef: p.Ref})
		}
		poke(o.out)
	}
}

func (o *Scheduler) lose(p *Placement) {
	o.stats.Lost++
	p.Worker.RecentLost = p.Worker.RecentLost*0.98 + 1
	if p.Worker.View.Spot {
		o.spotLost = o.spotLost*0.995 + 1
	}
}

// drainNotice saves what can be saved before the cloud takes a machine.
func (o *Scheduler) drainNotice(m *Worker) {
	if m.NoticeAt.IsZero() {
		return
	}
	left := time.Until(m.NoticeAt).Seconds()
	for p := range m.Placements {
		if p.Exited {
			continue
		}
		if !p.MayRun() {
			o.unqueue(p)
			continue
		}
		s := p.Job.Spec
		if s.MarkS > 0 && !p.RunningSince.IsZero() && p.HaltedAt.IsZero() && left < s.SaveS+2*o.cfg.Params.Workers.ReportS+1 {
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
