package owner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/machine"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/terms"
	"github.com/wallrack/wallrack/internal/wire"
)

// Others answers for jobs that this owner does not have.
type Others interface {
	// Facts says how far a job is, wherever it is.
	Facts(ctx context.Context, uid string) (terms.Facts, error)
	// Earlier reports whether an owner elsewhere has an unfinished job of the
	// name and user with a lower number.
	Earlier(ctx context.Context, name, user string, number uint64) (bool, error)
}

// how a task ended that is over and not done, as records have it.
type how uint8

const (
	howFailed    how = 1
	howTimeout   how = 2
	howCancelled how = 3 // alone, by its user
)

func (h how) state() string {
	return [...]string{terms.Completed, terms.Failed, terms.Timeout, terms.Cancelled}[h&3]
}

type failure struct {
	how  how
	exit int
}

func (f failure) triple(task int) []uint64 {
	return []uint64{uint64(task), uint64(f.how), uint64(f.exit)}
}

// setFailed marks a task as over and not done.
func (c *chunk) setFailed(task int, h, exit uint64) {
	c.setDone(task)
	if c.failed == nil {
		c.failed = map[int]failure{}
	}
	c.failed[task] = failure{how(h & 3), int(exit & 0xff)}
}

// asked is what a job's terms ask and what has become of it.
type asked struct {
	*terms.Terms
	each     []terms.Outcome // of its dependencies
	deps     terms.Outcome
	looked   time.Time // when its dependencies were last asked about elsewhere
	startMs  int64     // of its first task, as far as this owner knows
	eligible int64     // since when nothing but room keeps it from starting
	endMs    int64
}

func newAsked(t *terms.Terms) *asked {
	a := &asked{Terms: t, each: make([]terms.Outcome, len(t.After))}
	a.deps = t.Join(a.each)
	return a
}

func (a *asked) startedAt(t time.Time) {
	if a != nil && a.startMs == 0 {
		a.startMs = t.UnixMilli()
	}
}

// waits says why no task of a job with terms may start now, or "".
func (o *Owner) waits(j *job, now time.Time) string {
	return j.asked.Waits(j.asked.deps, now.UnixMilli())
}

// room is how many of the job's waiting tasks may be placed now.
func (o *Owner) room(j *job) int {
	n := o.wants(j)
	if n > 1 && o.first(j) {
		return 1 // the rest in its turn
	}
	return n
}

// wants is how many tasks of the job wait that its terms, and its faults, let start.
func (o *Owner) wants(j *job) int {
	n := len(j.pending)
	if j.faulty {
		n = min(n, max(0, faultyTries-len(j.places)))
	}
	if j.asked == nil || n == 0 {
		return n
	}
	if o.waits(j, o.now) != "" {
		return 0
	}
	if j.asked.Most > 0 {
		n = min(n, j.asked.Most-j.busy(false, -1))
	}
	return max(0, n)
}

// busy counts the tasks, but one, that have a place, or one where they may be on.
func (j *job) busy(on bool, but int) int {
	n := 0
	for task, ps := range j.places {
		for _, p := range ps {
			if task != but && !p.exited && (p.on() || !on) {
				n++
				break
			}
		}
	}
	return n
}

// termsAllow checks at the grant what the job's terms ask.
func (o *Owner) termsAllow(j *job, task int) bool {
	return o.waits(j, time.Now()) == "" && (j.asked.Most == 0 || j.busy(true, task) < j.asked.Most)
}

// forGood says how an exit ends its task for good, or 0.
func (j *job) forGood(p *place, t *machine.TaskView) how {
	if t.Exit != nil {
		p.exit = *t.Exit & 0xff
	}
	switch {
	case j.asked == nil || j.cancelled || p.chunk.isDone(p.task):
		return 0
	case p.late:
		return howTimeout
	case j.asked.Final && t.Cause == wire.CauseError && t.Exit != nil:
		return howFailed
	}
	return 0
}

// fail ends a task that will not be tried again.
func (o *Owner) fail(p *place, h how) {
	p.chunk.setFailed(p.task, uint64(h), uint64(p.exit))
	o.taskOver(p)
}

// overTime stops the tasks that run longer than their job's time limit.
func (o *Owner) overTime(j *job) {
	if j.asked == nil || j.asked.LimitS <= 0 || j.cancelled {
		return
	}
	for _, ps := range j.places {
		for _, p := range ps {
			if !p.exited && !p.running.IsZero() && time.Since(p.running).Seconds() > j.asked.LimitS {
				p.late = true
				o.halt(p, 0)
			}
		}
	}
}

// dropTasks marks the tasks that their user cancelled alone, and stops them.
func (o *Owner) dropTasks(j *job) {
	if j.asked == nil || j.asked.Dropped == "" {
		return
	}
	r, err := terms.ParseRanges(j.asked.Dropped)
	if err != nil {
		o.log.Error("unreadable terms of a job", "job", j.spec.UID, "err", err)
		return
	}
	gone := map[int]bool{}
	for t := range r.All() {
		if t >= j.spec.Tasks || j.chunks[t/chunkSize].isDone(t) {
			continue
		}
		j.chunks[t/chunkSize].setFailed(t, uint64(howCancelled), 0)
		gone[t] = true
	}
	if o.jobs[j.spec.UID] != j {
		return // being admitted: its tasks are counted after this
	}
	j.over += len(gone)
	left := j.pending[:0]
	for _, t := range j.pending {
		if !gone[t] {
			left = append(left, t)
		}
	}
	j.pending = left
	for t := range gone {
		for _, p := range append([]*place(nil), j.places[t]...) {
			o.halt(p, 0)
		}
	}
	o.finish(j)
}

// retermed takes the terms of a newer record of a job.
func (o *Owner) retermed(j *job, r *liveRecord) {
	if r.Terms == nil || j.asked == nil {
		return
	}
	t := *r.Terms
	j.asked.Terms = &t
	o.dropTasks(j)
	if t.Held {
		for _, ps := range j.places {
			for _, p := range append([]*place(nil), ps...) {
				if !p.on() && !p.exited {
					o.unqueue(p)
				}
			}
		}
	}
	poke(o.wake)
}

// Hold holds a job's tasks that have not started, or releases them.
func (o *Owner) Hold(ctx context.Context, uid string, held bool) error {
	return o.amend(ctx, uid, func(r *liveRecord) (bool, error) {
		was := r.Terms.Held
		r.Terms.Held = held
		return was != held, nil
	})
}

// ErrInput means that what was asked can't be done as it was asked.
var ErrInput = errors.New("can't be done")

// Drop cancels tasks of a job alone. Those that are over stay as they are.
func (o *Owner) Drop(ctx context.Context, uid string, tasks terms.Ranges) error {
	return o.amend(ctx, uid, func(r *liveRecord) (bool, error) {
		var all []int
		if r.Terms.Dropped != "" {
			old, err := terms.ParseRanges(r.Terms.Dropped)
			if err != nil {
				return false, err
			}
			for t := range old.All() {
				all = append(all, t)
			}
		}
		o.mu.Lock()
		j := o.jobs[uid]
		for t := range tasks.All() {
			if t >= r.Job.Tasks {
				o.mu.Unlock()
				return false, fmt.Errorf("%w: the job has no task %d", ErrInput, t)
			}
			if j == nil || !j.chunks[t/chunkSize].isDone(t) {
				all = append(all, t)
			}
		}
		o.mu.Unlock()
		if len(all) == 0 {
			return false, nil
		}
		text := terms.RangesOf(all).String()
		if _, err := terms.ParseRanges(text); err != nil || len(text) > terms.MaxArray {
			return false, fmt.Errorf("%w: too many single tasks of this job were cancelled; cancel the job, or ranges of tasks", ErrInput)
		}
		changed := r.Terms.Dropped != text
		r.Terms.Dropped = text
		return changed, nil
	})
}

// amend changes a living job's terms. Like a cancel only the shard's owner may do
// so, or anybody while nobody owns it.
func (o *Owner) amend(ctx context.Context, uid string, change func(*liveRecord) (bool, error)) error {
	for {
		it, err := o.store.Get(ctx, liveKey+uid)
		if err != nil {
			return err
		}
		var r liveRecord
		if err := json.Unmarshal(it.Value, &r); err != nil {
			return fmt.Errorf("read job: %w", err)
		}
		if r.Terms == nil {
			return fmt.Errorf("%w: the job was accepted without a number", ErrInput)
		}
		version, mine := o.member.Owns(r.Shard)
		o.mu.Lock()
		busy := mine && o.loaded[r.Shard] != version
		o.mu.Unlock()
		if busy {
			return fmt.Errorf("shard %d is being taken over: %w", r.Shard, statestore.ErrUnavailable)
		}
		changed, err := change(&r)
		if err != nil || !changed || r.Cancelled {
			return err
		}
		guards := []wire.Guard{{Key: o.member.ShardKey(r.Shard), Version: version}, {Key: liveKey + uid, Version: it.Version}}
		rev, err := o.store.Txn(ctx, guards, wire.Op{Put: liveKey + uid, Value: r})
		var conflict *statestore.Conflict
		if errors.As(err, &conflict) && !conflict.Has(guards[0].Key) {
			continue
		}
		if err != nil {
			return err
		}
		if mine {
			o.mu.Lock()
			if j := o.jobs[uid]; j != nil && rev > j.version {
				j.version = rev
				o.retermed(j, &r)
			}
			o.mu.Unlock()
		}
		return nil
	}
}

const (
	attendEvery = 500 * time.Millisecond
	lookEvery   = 2 * time.Second // at jobs that other owners have
	lookMost    = 16              // of them in one round
)

// attend sees to what terms bring about by themselves: dependencies that are met
// or never will be, and deadlines.
func (o *Owner) attend(ctx context.Context) {
	tick := time.NewTicker(attendEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if o.member.Held() <= 0 {
			continue
		}
		ask, end := o.settleTerms(time.Now())
		for _, q := range ask {
			if err := o.askOthers(ctx, q); err != nil {
				o.log.Debug("a dependency can't be judged yet", "job", q.j.spec.UID, "err", err)
			}
		}
		for uid, why := range end {
			cctx, cancel := context.WithTimeout(ctx, txnTimeout)
			if _, err := o.cancelWhy(cctx, uid, why); err != nil {
				o.log.Debug("a job that its terms end is not cancelled yet", "job", uid, "err", err)
			}
			cancel()
		}
	}
}

type query struct {
	j    *job
	open []int // dependencies
}

// settleTerms judges what can be judged here, and says what must be asked
// elsewhere and which jobs end by their own terms.
func (o *Owner) settleTerms(now time.Time) (ask []query, end map[string]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, j := range o.order {
		a := j.asked
		if a == nil || j.cancelled || j.ended != "" {
			continue
		}
		was := a.deps
		q := query{j: j}
		for i, d := range a.After {
			if a.each[i] != terms.Open {
				continue
			}
			if f, known := o.facts(j, d); known {
				a.each[i] = d.Judge(f, now.UnixMilli())
			} else {
				q.open = append(q.open, i)
			}
		}
		a.deps = a.Join(a.each)
		if len(q.open) > 0 && now.Sub(a.looked) > lookEvery && len(ask) < lookMost && o.Others != nil {
			a.looked = now
			ask = append(ask, q)
		}
		if a.eligible == 0 && a.Waits(a.deps, now.UnixMilli()) == "" {
			a.eligible = max(j.atMs, a.BeginMs)
			if len(a.After) > 0 || was != a.deps {
				a.eligible = now.UnixMilli()
			}
			poke(o.wake)
		}
		why := ""
		switch {
		case a.DeadlineMs > 0 && now.UnixMilli() > a.DeadlineMs:
			why = terms.Deadline
		case a.deps == terms.Never && a.KillNever:
			why = terms.Cancelled
		}
		if why != "" {
			if end == nil {
				end = map[string]string{}
			}
			end[j.spec.UID] = why
		}
	}
	return ask, end
}

// facts says what this owner knows for sure of what a job depends on.
func (o *Owner) facts(j *job, d terms.Dep) (terms.Facts, bool) {
	if d.Kind == terms.Singleton {
		if o.earlier(j.asked.Name, j.asked.User, j.asked.Number) {
			return terms.Facts{}, true
		}
		return terms.Facts{Over: true, OK: true}, len(o.loaded) == o.op.Shards
	}
	return o.factsOf(d.Job)
}

func (o *Owner) earlier(name, user string, number uint64) bool {
	for _, x := range o.order {
		if x.asked != nil && x.asked.Name == name && x.asked.User == user && x.asked.Number < number {
			return true
		}
	}
	return false
}

func (o *Owner) factsOf(uid string) (terms.Facts, bool) {
	if x := o.jobs[uid]; x != nil {
		f := terms.Facts{Started: x.started > 0 || x.done > 0}
		if x.asked != nil {
			f.StartedMs = x.asked.startMs
		}
		return f, true
	}
	if f, over := o.final[uid]; over {
		return f.facts(), true
	}
	return terms.Facts{}, false
}

func (f finalRecord) facts() terms.Facts {
	out := terms.Facts{Over: true, OK: f.Stage == wire.StageDone, Started: f.Stage == wire.StageDone}
	if f.Ending != nil {
		out.StartedMs = f.Ending.StartMs
	}
	return out
}

// FactsHere says how far a job is that this owner has, or had.
func (o *Owner) FactsHere(uid string) (terms.Facts, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.member.Held() <= 0 {
		return terms.Facts{}, false
	}
	return o.factsOf(uid)
}

// EarlierHere reports whether an unfinished job of the name and user with a lower
// number is here.
func (o *Owner) EarlierHere(name, user string, number uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.earlier(name, user, number)
}

// StoredFacts reads from the store how a job ended; a living one is only known to
// its owner.
func StoredFacts(ctx context.Context, store Reader, uid string) (terms.Facts, error) {
	it, err := store.Get(ctx, finalKey+uid)
	if err != nil {
		return terms.Facts{}, err
	}
	var f finalRecord
	if err := json.Unmarshal(it.Value, &f); err != nil {
		return terms.Facts{}, fmt.Errorf("read job: %w", err)
	}
	return f.facts(), nil
}

// askOthers judges the dependencies of a job that this owner knows nothing of.
func (o *Owner) askOthers(ctx context.Context, q query) error {
	ctx, cancel := context.WithTimeout(ctx, txnTimeout)
	defer cancel()
	a := q.j.asked
	for _, i := range q.open {
		d := a.After[i]
		var f terms.Facts
		var err error
		if d.Kind == terms.Singleton {
			var left bool
			left, err = o.Others.Earlier(ctx, a.Name, a.User, a.Number)
			f = terms.Facts{Over: !left, OK: true}
		} else {
			f, err = o.Others.Facts(ctx, d.Job)
		}
		if err != nil {
			return err
		}
		o.mu.Lock()
		a.each[i] = d.Judge(f, time.Now().UnixMilli())
		a.deps = a.Join(a.each)
		o.mu.Unlock()
	}
	return nil
}

// ending is how a job with terms ended.
func (o *Owner) ending(j *job) *terms.Ending {
	a := j.asked
	if a == nil {
		return nil
	}
	if a.endMs == 0 {
		a.endMs = time.Now().UnixMilli()
	}
	e := &terms.Ending{Number: a.Number, State: terms.Completed, Failed: j.over - j.done, StartMs: a.startMs, EndMs: a.endMs}
	worst := how(0)
	for _, c := range j.chunks {
		for _, f := range c.failed {
			e.Exit = max(e.Exit, f.exit)
			if worst == 0 || f.how < worst {
				worst = f.how
			}
		}
	}
	switch {
	case j.ended == wire.StageDone:
	case a.Why != "":
		e.State = a.Why
	case j.cancelled:
		e.State = terms.Cancelled
	default:
		e.State = worst.state()
	}
	return e
}

// jobRow is a job's accounting row.
func (o *Owner) jobRow(j *job) accounting.Row {
	s := j.spec
	r := accounting.Row{Kind: accounting.RowJob, UID: s.UID, State: terms.Completed, Submit: j.atMs, Team: s.Team, Class: s.Class, Priority: s.Priority,
		Tasks: uint32(s.Tasks), Done: uint32(j.done), End: time.Now().UnixMilli(), CPUs: float32(s.CPUs), GPUs: float32(s.GPUs), MemoryGB: float32(s.MemoryGB)}
	if j.ended != wire.StageDone {
		r.State = terms.Cancelled
	}
	if a := j.asked; a != nil {
		e := o.ending(j)
		r.Number, r.State, r.Exit, r.Start, r.End = a.Number, e.State, int32(e.Exit), e.StartMs, e.EndMs
		r.Name, r.User, r.Array, r.Eligible = a.Name, a.User, a.Array, a.eligible
	}
	return r
}

// attemptRow is the accounting row of an attempt that was seen to run, or to end by
// itself, and is over now; nil if there is none, or accounts are not kept.
func (o *Owner) attemptRow(p *place) *accounting.Row {
	ended := p.cause == wire.CauseDone || p.cause == wire.CauseError
	if !o.Accounts || p.accounted || p.running.IsZero() && !ended {
		return nil
	}
	p.accounted = true
	j, m := p.job, p.mach
	r := &accounting.Row{Kind: accounting.RowAttempt, UID: j.spec.UID, Task: uint32(p.task), Attempt: p.attempt, Exit: int32(p.exit),
		End: time.Now().UnixMilli(), Machine: m.name,
		CPUs: float32(j.shape.CPUs), GPUs: float32(j.shape.GPUs), MemoryGB: float32(j.shape.MemoryGB)}
	if !p.running.IsZero() {
		r.Start = p.running.UnixMilli() // else it ended before it was seen to run
	}
	if j.asked != nil {
		r.Number = j.asked.Number
	}
	f, failed := p.chunk.failed[p.task]
	switch {
	case failed:
		r.State = f.how.state()
	case p.chunk.isDone(p.task) && p.cause == wire.CauseDone:
		r.State, r.Useful = terms.Completed, true
	case j.cancelled:
		r.State = terms.Cancelled
	case p.cause == wire.CauseError:
		r.State = terms.Failed
	case p.cause != "" || !p.halted.IsZero():
		r.State = terms.Preempted
	default:
		r.State = terms.NodeFail
	}
	t := o.typeOf(m)
	price := t.Price
	if m.view.Spot {
		price = t.SpotPrice
	}
	r.Price = float32(price * accounting.Share(j.shape.CPUs, j.shape.GPUs, j.shape.MemoryGB, t.CPUs, t.GPUs, t.MemoryGB))
	return r
}

// valueBytes is how long a value that this owner writes may be.
func (o *Owner) valueBytes() int { return int(o.cfg.Params.State.ValueKB*1024*0.9) - 64 }
