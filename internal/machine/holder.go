package machine

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/goccy/go-json"
	"golang.org/x/sync/errgroup"

	"github.com/wallrack/wallrack/internal/placement"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	orderTimeout  = 1500 * time.Millisecond
	raiseTimeout  = 1500 * time.Millisecond
	maxCommands   = 200 // keeps every answer's line well under 64 KiB
	bounceWindow  = 15 * time.Second
	stickyFor     = 30 * time.Second
	forgetAfter   = 10 * time.Minute
	maxTombstones = 4096
	maxMachines   = 20_000
)

// queued is an entry in a machine's queue.
type queued struct {
	Entry
	seq     uint64
	asking  bool
	granted bool
	token   uint64 // token and session that the grant was given for
	session uint64
	sent    bool // a start command may have left this process
	sentSeq uint64
}

// listed is a task that the worker reported.
type listed struct {
	state string
	since time.Time
	entry *Entry // nil until its owner told
}

type held struct {
	report   wire.Report
	at       time.Time // when the report came
	queue    []*queued
	tasks    map[Ref]*listed
	halts    map[Ref]float64
	clears   map[Ref]bool
	busy     bool   // a direct order is in flight
	again    bool   // push again when it returns
	fate     uint64 // highest token of a direct order whose fate is unknown
	draining bool
	sticky   time.Time // stays here until then, although another should hold it
	sentAway time.Time
}

// Holder holds the machines whose workers report to this controller.
type Holder struct {
	name    string
	lease   time.Duration
	owners  Owners
	tokens  Tokens
	types   Types
	routing Routing
	log     *slog.Logger
	orders  Orderer
	ctx     context.Context
	started time.Time
	workers sync.WaitGroup

	mu       sync.Mutex
	machines map[string]*held
	answered map[string]time.Time
	gone     map[string]bool
	goneList []string
	dirty    map[string]bool
	nextSeq  uint64
	raising  bool
	uses     []placement.Use // see occupied
	arrivals arrivals
}

// New returns a holder; ctx bounds the goroutines it starts.
func New(ctx context.Context, name string, lease time.Duration, owners Owners, tokens Tokens, types Types, routing Routing, orders Orderer, log *slog.Logger) *Holder {
	return &Holder{
		name: name, lease: lease, owners: owners, tokens: tokens, types: types, routing: routing, orders: orders, log: log,
		ctx: ctx, started: time.Now(),
		machines: map[string]*held{}, answered: map[string]time.Time{}, gone: map[string]bool{}, dirty: map[string]bool{},
	}
}

// Wait waits for the goroutines that the holder started.
func (h *Holder) Wait() { h.workers.Wait() }

// bodies are buffers for reports: each would otherwise grow one anew.
var bodies = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// ServeReport answers a worker's report.
func (h *Holder) ServeReport(w http.ResponseWriter, r *http.Request) {
	defer usage.Count(usage.Reports, time.Now())
	buf := bodies.Get().(*bytes.Buffer)
	defer bodies.Put(buf)
	buf.Reset()
	if _, err := buf.ReadFrom(http.MaxBytesReader(w, r.Body, wire.MaxBody)); err != nil {
		reply(w, http.StatusBadRequest, wire.Problem{Error: "body unreadable or too large"})
		return
	}
	rep, err := wire.ParseReport(buf.Bytes())
	if err != nil {
		usage.Note(usage.MalformedReports)
		h.log.Info("malformed report", "err", err)
		reply(w, http.StatusBadRequest, wire.Problem{Error: "malformed report"})
		return
	}
	status, answer := h.Report(r.Context(), rep)
	reply(w, status, answer)
}

// Report takes a worker's report and returns the status and body to answer.
func (h *Holder) Report(ctx context.Context, rep *wire.Report) (int, any) {
	h.arrived()
	foreman := h.routing.Foreman()
	if !h.routing.Entitled() {
		if foreman == h.name {
			foreman = ""
		}
		return http.StatusMisdirectedRequest, wire.Redirect{ReportTo: foreman}
	}
	if foreman != "" && foreman != h.name && h.sendAway(rep.Machine) {
		return http.StatusMisdirectedRequest, wire.Redirect{ReportTo: foreman}
	}
	term := h.tokens.Term()
	if term < rep.Token || term == 0 {
		rctx, cancel := context.WithTimeout(ctx, raiseTimeout)
		var err error
		term, err = h.tokens.Raise(rctx, rep.Token)
		cancel()
		if err != nil {
			// An answer with a lower token would keep the worker here
			// while its lease runs out.
			h.log.Info("cannot raise the term", "machine", rep.Machine, "token", rep.Token, "err", err)
			return http.StatusMisdirectedRequest, wire.Redirect{}
		}
	}
	if view, ok := h.take(rep, true); ok {
		h.owners.Observe(view)
	} else if !h.overtaken(rep) {
		return http.StatusServiceUnavailable, wire.Problem{Error: "late report"}
	}
	h.mu.Lock()
	cmds := h.commands(rep.Machine, term, true)
	h.mu.Unlock()
	return http.StatusOK, wire.ReportAnswer{Token: term, Commands: cmds}
}

// overtaken reports whether a report that take refused is only older than the
// answer to a direct order that came in between. Its list is of no use, but the
// worker must get its answer: refused, it would go and look for another node.
func (h *Holder) overtaken(rep *wire.Report) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.machines[rep.Machine]
	if s == nil || h.gone[rep.Machine] || rep.Session != s.report.Session {
		return false
	}
	h.answered[rep.Machine] = time.Now()
	return true
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // a worker that is gone will report again
}

// sendAway decides whether a worker is sent to the foreman. One that comes
// back soon could not reach it and is kept for a while.
func (h *Holder) sendAway(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	s := h.machines[name]
	if s == nil {
		if len(h.machines) >= maxMachines {
			return true
		}
		s = newHeld()
		h.machines[name] = s
	}
	if now.Before(s.sticky) {
		return false
	}
	if !s.sentAway.IsZero() && now.Sub(s.sentAway) < bounceWindow {
		s.sticky, s.sentAway = now.Add(stickyFor), time.Time{}
		return false
	}
	s.sentAway = now
	return true
}

func newHeld() *held {
	return &held{tasks: map[Ref]*listed{}, halts: map[Ref]float64{}, clears: map[Ref]bool{}}
}

// take stores a report unless a newer one came before. renews says that it
// will be answered and so renews the worker's lease.
func (h *Holder) take(rep *wire.Report, renews bool) (View, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone[rep.Machine] {
		return View{}, false
	}
	s := h.machines[rep.Machine]
	if s == nil {
		if len(h.machines) >= maxMachines {
			return View{}, false
		}
		s = newHeld()
		h.machines[rep.Machine] = s
	}
	if old := &s.report; rep.Session < old.Session || rep.Session == old.Session && rep.Seq <= old.Seq {
		return View{}, false
	}
	now := time.Now()
	same := slices.Equal(s.report.Tasks, rep.Tasks)
	s.report, s.at = *rep, now
	if renews {
		h.answered[rep.Machine] = now
	}
	if !same {
		s.list(rep, now)
	}
	seen := s.tasks
	kept := s.queue[:0]
	for _, q := range s.queue {
		if l := seen[q.Ref]; l != nil {
			l.entry = &q.Entry
			continue
		}
		if q.sent && (rep.Session > q.session || rep.Seq > q.sentSeq) {
			// The start command did not arrive, or not yet: it may be
			// repeated, but only under a new grant.
			q.granted = false
		}
		kept = append(kept, q)
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	for ref := range s.clears {
		if seen[ref] == nil {
			delete(s.clears, ref)
		}
	}
	for ref := range s.halts {
		if l := seen[ref]; l == nil || l.state == wire.TaskExited {
			delete(s.halts, ref)
		}
	}
	if s.fate != 0 && rep.Token > s.fate {
		s.fate = 0
	}
	h.dirty[rep.Machine] = true
	return h.view(s), true
}

// list takes over the tasks that a report lists.
func (s *held) list(rep *wire.Report, now time.Time) {
	seen := make(map[Ref]*listed, len(rep.Tasks))
	for _, t := range rep.Tasks {
		ref := Ref{rep.Machine, t.Task, t.Attempt}
		l := s.tasks[ref]
		if l == nil {
			l = &listed{}
		}
		if l.state != t.State {
			l.state, l.since = t.State, now
		}
		seen[ref] = l
	}
	s.tasks = seen
}

// total is the machine's size, if its type is known.
func (h *Holder) total(s *held) (placement.Shape, bool) {
	t, ok := h.types.Type(s.report.Type)
	return placement.Shape{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}, ok
}

// occupied lists what holds resources now: reported tasks that have not
// exited, and starts that may be under way.
// The result is good until the next call.
func (h *Holder) occupied(s *held, total placement.Shape, now time.Time) []placement.Use {
	uses := h.uses[:0]
	for _, l := range s.tasks {
		switch {
		case l.state == wire.TaskExited:
		case l.entry == nil:
			// Nobody told yet what it takes: count the whole machine.
			uses = append(uses, placement.Use{Shape: total, Left: 3})
		default:
			left := l.entry.Run
			elapsed := now.Sub(l.since).Seconds()
			if l.state == wire.TaskFetching {
				left += math.Max(0.5, l.entry.Fetch-elapsed)
			} else {
				left = math.Max(left-elapsed, 1+0.15*elapsed)
			}
			uses = append(uses, placement.Use{Shape: l.entry.Shape, Left: left})
		}
	}
	for _, q := range s.queue {
		if q.sent || q.granted {
			uses = append(uses, placement.Use{Shape: q.Shape, Left: q.Fetch + q.Run})
		}
	}
	h.uses = uses
	return uses
}

func (h *Holder) view(s *held) View {
	now := time.Now()
	r := &s.report
	v := View{Name: r.Machine, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Session: r.Session, Seq: r.Seq, Token: r.Token,
		Holder: h.name, AgeS: now.Sub(s.at).Seconds(), NoticeS: r.NoticeS, Draining: s.draining}
	v.Tasks = make([]TaskView, 0, len(r.Tasks))
	for _, t := range r.Tasks {
		l := s.tasks[Ref{r.Machine, t.Task, t.Attempt}]
		v.Tasks = append(v.Tasks, TaskView{Task: t, ForS: now.Sub(l.since).Seconds()})
	}
	total, ok := h.total(s)
	if !ok {
		return v
	}
	v.Matrix = placement.NewMatrix(total, h.occupied(s, total, now), nil)
	for _, q := range s.queue {
		if q.sent || q.granted {
			v.Queue = append(v.Queue, QueueView{q.Ref, 0})
			continue
		}
		w := v.Matrix.Wait(q.Shape, q.Fetch+q.Run)
		if math.IsInf(w, 1) {
			w = 1e6
		} else {
			v.Matrix = v.Matrix.Reserve(q.Shape, w, q.Fetch+q.Run)
		}
		v.Queue = append(v.Queue, QueueView{q.Ref, w})
	}
	return v
}

// commands collects what the worker is to do now; answer says that they go out
// as the answer to a report.
func (h *Holder) commands(name string, term uint64, answer bool) []wire.Command {
	s := h.machines[name]
	cmds := []wire.Command{}
	if s == nil || s.report.Machine == "" {
		return cmds
	}
	for ref, grace := range s.halts {
		if len(cmds) < maxCommands {
			cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: ref.Task, Attempt: ref.Attempt, GraceS: &grace})
		}
	}
	for ref := range s.clears {
		// After a clear a late copy of the start command would start the
		// task again: first every direct order must be fenced off; one in
		// flight counts too, since it may yet be held back. A clear in a
		// direct order could overtake a start in the answer to a report;
		// among answers none is late, since the worker drops those.
		if answer && s.fate == 0 && !s.busy && len(cmds) < maxCommands {
			cmds = append(cmds, wire.Command{Verb: wire.VerbForget, Task: ref.Task, Attempt: ref.Attempt})
		}
	}
	total, ok := h.total(s)
	if !ok || s.draining || len(s.queue) == 0 {
		return cmds
	}
	now := time.Now()
	free := total
	for _, u := range h.occupied(s, total, now) {
		free = free.Add(u.Shape, -1)
	}
	sort.SliceStable(s.queue, func(i, j int) bool {
		a, b := s.queue[i], s.queue[j]
		if a.Rank != b.Rank {
			return a.Rank > b.Rank
		}
		return a.DueAt < b.DueAt
	})
	kept := s.queue[:0]
	for _, q := range s.queue {
		if q.granted && (q.token != term || q.session != s.report.Session) {
			q.granted = false
		}
		counted := q.sent || q.granted
		if counted {
			free = free.Add(q.Shape, 1) // counted as occupied above
		}
		if !q.Shape.Fits(free) {
			kept = append(kept, q)
			if counted {
				free = free.Add(q.Shape, -1)
			}
			continue
		}
		if !q.granted && !q.asking {
			req := GrantRequest{Ref: q.Ref, Holder: h.name, Token: term, Session: s.report.Session}
			if q.Owner == h.name {
				rep := h.owners.GrantHere(req)
				if rep.Drop {
					if counted {
						free = free.Add(q.Shape, -1)
					}
					continue
				}
				if rep.OK {
					q.granted, q.token, q.session = true, term, s.report.Session
				}
			} else {
				h.askElsewhere(q, req)
			}
		}
		kept = append(kept, q)
		if q.granted && len(cmds) < maxCommands {
			q.sent, q.sentSeq = true, s.report.Seq
			cmds = append(cmds, wire.Command{Verb: wire.VerbStart, Task: q.Task, Attempt: q.Attempt})
		}
		if q.granted || q.sent || q.asking {
			free = free.Add(q.Shape, -1)
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	return cmds
}

// askElsewhere asks an owner on another controller for the grant.
func (h *Holder) askElsewhere(q *queued, req GrantRequest) {
	q.asking = true
	h.workers.Add(1)
	go func() {
		defer h.workers.Done()
		ctx, cancel := context.WithTimeout(h.ctx, time.Second)
		rep, err := h.owners.GrantThere(ctx, q.Owner, req)
		cancel()
		h.mu.Lock()
		q.asking = false
		if err != nil {
			h.log.Debug("no grant", "task", q.Task, "err", err)
		}
		s := h.machines[req.Machine]
		switch {
		case s == nil:
		case rep.Drop:
			h.removeLocked(s, q.Ref)
		case rep.OK:
			q.granted, q.token, q.session = true, req.Token, req.Session
		}
		h.mu.Unlock()
		if rep.OK {
			h.Push(req.Machine)
		}
	}()
}

func (h *Holder) removeLocked(s *held, ref Ref) (was *queued) {
	for i, q := range s.queue {
		if q.Ref == ref {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return q
		}
	}
	return nil
}

// Push sends the machine's commands directly, instead of waiting for its next
// report.
func (h *Holder) Push(name string) {
	if !h.routing.Entitled() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.machines[name]
	if s == nil || s.report.Endpoint == "" || time.Since(s.at) > h.lease {
		return
	}
	if s.busy {
		s.again = true
		return
	}
	term := h.tokens.Term()
	if term == 0 || term < s.report.Token {
		return // the next report raises the term
	}
	cmds := h.commands(name, term, false)
	if len(cmds) == 0 {
		return
	}
	s.busy, s.again = true, false
	endpoint, session := s.report.Endpoint, s.report.Session
	h.workers.Add(1)
	go func() {
		defer h.workers.Done()
		h.order(name, endpoint, wire.Orders{Token: term, Session: session, Commands: cmds})
	}()
}

func (h *Holder) order(name, endpoint string, o wire.Orders) {
	ctx, cancel := context.WithTimeout(h.ctx, orderTimeout)
	rep, executed, err := h.orders.Order(ctx, endpoint, o)
	cancel()
	h.mu.Lock()
	s := h.machines[name]
	if s == nil {
		h.mu.Unlock()
		return
	}
	s.busy = false
	again := s.again
	s.again = false
	switch {
	case err != nil && !errors.Is(err, ErrNotSent):
		// The order may still arrive, minutes late, while its token and
		// session match: only a newer token ends that.
		s.fate = max(s.fate, o.Token)
		h.raiseLocked(s.fate)
		again = false
	case err != nil:
		again = false
	case !executed:
		for _, q := range s.queue {
			q.granted = false
		}
	}
	h.mu.Unlock()
	if err != nil {
		h.log.Debug("direct order failed", "machine", name, "err", err)
		return
	}
	if rep.Machine != name {
		h.log.Info("another machine answered", "machine", name, "answered", rep.Machine)
		return
	}
	if view, ok := h.take(rep, false); ok {
		h.owners.Observe(view)
	}
	if again && rep.Token <= h.tokens.Term() {
		h.Push(name)
	}
}

// probesAtOnce bounds how many machines are asked for their report at a time.
const probesAtOnce = 32

// Probe asks machines that were not heard here for a while for their reports.
// After a takeover this tells what runs long before every worker has found out
// where to report to, and has done so.
func (h *Holder) Probe(ctx context.Context, endpoints map[string]string, unheard time.Duration) {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(probesAtOnce)
	for name, endpoint := range endpoints {
		h.mu.Lock()
		s := h.machines[name]
		skip := h.gone[name] || s != nil && time.Since(s.at) < unheard || len(h.machines) >= maxMachines
		h.mu.Unlock()
		if skip || !h.routing.Entitled() {
			continue
		}
		g.Go(func() error {
			pctx, cancel := context.WithTimeout(ctx, orderTimeout)
			rep, err := h.orders.Show(pctx, endpoint)
			cancel()
			if err != nil || rep.Machine != name {
				h.log.Debug("no report on request", "machine", name, "err", err)
				return nil
			}
			if view, ok := h.take(rep, false); ok {
				h.owners.Observe(view)
			}
			return nil
		})
	}
	_ = g.Wait() // none returns an error
}

// raiseLocked raises the term in the background, one at a time.
func (h *Holder) raiseLocked(above uint64) {
	if h.raising || h.tokens.Term() > above {
		return
	}
	h.raising = true
	h.workers.Add(1)
	go func() {
		defer h.workers.Done()
		ctx, cancel := context.WithTimeout(h.ctx, 5*time.Second)
		_, err := h.tokens.Raise(ctx, above)
		cancel()
		h.mu.Lock()
		h.raising = false
		h.mu.Unlock()
		if err != nil {
			h.log.Info("raising the term failed", "err", err)
		}
	}()
}

// Direct does what an owner says and returns the halted tasks that this
// holder surely never launched.
func (h *Holder) Direct(d Direction) Unlaunched {
	defer usage.Count(usage.Directed, time.Now())
	var out Unlaunched
	touched := map[string]bool{}
	h.mu.Lock()
	for _, e := range d.Assign {
		s := h.machines[e.Machine]
		if s == nil {
			continue
		}
		if l := s.tasks[e.Ref]; l != nil {
			if l.entry == nil {
				h.dirty[e.Machine] = true
			}
			l.entry = &e
			continue
		}
		if e.Listed || s.hasQueued(e) {
			continue
		}
		h.nextSeq++
		s.queue = append(s.queue, &queued{Entry: e, seq: h.nextSeq})
		touched[e.Machine] = true
	}
	for _, halt := range d.Halt {
		s := h.machines[halt.Machine]
		if s == nil {
			continue
		}
		if q := h.removeLocked(s, halt.Ref); q != nil && !q.sent && s.tasks[halt.Ref] == nil {
			out.Refs = append(out.Refs, halt.Ref)
			touched[halt.Machine] = true
			continue
		}
		s.halts[halt.Ref] = halt.GraceS
		touched[halt.Machine] = true
	}
	for _, ref := range d.Clear {
		if s := h.machines[ref.Machine]; s != nil && s.tasks[ref] != nil {
			s.clears[ref] = true
			if s.fate != 0 {
				h.raiseLocked(s.fate)
			}
			// The next report's answer is soon enough: an exited task
			// takes nothing but a line.
		}
	}
	if d.RaiseAbove > 0 {
		h.raiseLocked(d.RaiseAbove)
	}
	var views []View
	for name := range touched {
		h.dirty[name] = true
		if s := h.machines[name]; s.report.Machine != "" {
			views = append(views, h.view(s))
		}
	}
	h.mu.Unlock()
	for _, v := range views {
		h.owners.Observe(v)
	}
	for name := range touched {
		h.Push(name)
	}
	return out
}

func (s *held) hasQueued(e Entry) bool {
	for _, q := range s.queue {
		if q.Ref == e.Ref {
			q.Owner = e.Owner
			return true
		}
	}
	return false
}

// Changed returns views of the machines that changed since the last call.
func (h *Holder) Changed() []View {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []View
	for name := range h.dirty {
		if s := h.machines[name]; s != nil && s.report.Machine != "" {
			out = append(out, h.view(s))
		}
	}
	clear(h.dirty)
	return out
}

// Views returns views of all machines heard within a lease.
func (h *Holder) Views() []View {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []View
	for name, s := range h.machines {
		if age := time.Since(s.at); age > forgetAfter && time.Since(s.sentAway) > forgetAfter {
			delete(h.machines, name)
		} else if s.report.Machine != "" && age < h.lease {
			out = append(out, h.view(s))
		}
	}
	return out
}

// Heard returns how long ago each machine reported here.
func (h *Holder) Heard() map[string]time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]time.Duration, len(h.machines))
	for name, s := range h.machines {
		if s.report.Machine != "" {
			out[name] = time.Since(s.at)
		}
	}
	return out
}

// Drain stops starts on an idle machine; false if it is not idle, or not held
// here.
func (h *Holder) Drain(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.machines[name]
	if s == nil || len(s.queue) > 0 {
		return false
	}
	for _, l := range s.tasks {
		if l.state != wire.TaskExited {
			return false
		}
	}
	s.draining = true
	h.dirty[name] = true
	return true
}

// Gone forgets a machine that the cloud has deleted.
func (h *Holder) Gone(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.machines, name)
	delete(h.answered, name)
	if !h.gone[name] {
		h.gone[name] = true
		h.goneList = append(h.goneList, name)
		if len(h.goneList) > maxTombstones {
			delete(h.gone, h.goneList[0])
			h.goneList = h.goneList[1:]
		}
	}
}

// Unanswered vouches for how long this controller has not answered a report
// of the machine; a controller without memory of one counts from its start.
func (h *Holder) Unanswered(name string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at, ok := h.answered[name]; ok {
		return time.Since(at)
	}
	return time.Since(h.started)
}

// Depths counts the machines held, the tasks queued at them, and the direct
// orders under way.
func (h *Holder) Depths() (machines, queued, orders int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.machines {
		queued += len(s.queue)
		if s.busy {
			orders++
		}
	}
	return len(h.machines), queued, orders
}
