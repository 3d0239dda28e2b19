package dispatch

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wallrack/wallrack/internal/batching"
	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/recent"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	orderTimeout  = 1500 * time.Millisecond
	askTimeout    = 3500 * time.Millisecond
	grantTimeout  = 3 * time.Second
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
	seen     time.Time // when any report came, whatever was answered
	told     time.Time // when the worker last reported here unasked, and was answered
	asked    bool      // the report answered a request
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
	alone    bool      // both are of a time when this controller was alone
	newest   count     // of the reports that came by themselves, whatever was answered
	newestAt time.Time // when that came
	doubt    count     // of the last one that came although a newer one had
}

// count orders a worker's reports.
type count struct{ session, seq uint64 }

func (c count) newer(than count) bool {
	return c.session > than.session || c.session == than.session && c.seq > than.seq
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
	asks    batching.Sender[ask] // to owners elsewhere

	// Cancels are the cancelled jobs, whoever owns them: none of their tasks is
	// launched here, and each that a worker lists is halted. nil: none. Set it
	// before use.
	Cancels Cancels

	lastReport atomic.Int64 // when it came, ns since started

	mu       sync.Mutex
	machines map[string]*held
	answered map[string]time.Time
	gone     *recent.Set     // machines that the cloud deleted
	dirty    map[string]bool // changed, or forgotten, since Changed was last called
	forgotAt time.Time       // when machines were last forgotten
	nextSeq  uint64
	raising  bool
	ended    bool           // Wait was called after the context had ended
	uses     []matching.Use // see occupied
	arrivals arrivals
}

// New returns a holder; ctx bounds the goroutines it starts.
func New(ctx context.Context, name string, lease time.Duration, owners Owners, tokens Tokens, types Types, routing Routing, orders Orderer, log *slog.Logger) *Holder {
	h := &Holder{
		name: name, lease: lease, owners: owners, tokens: tokens, types: types, routing: routing, orders: orders, log: log,
		ctx: ctx, started: time.Now(),
		machines: map[string]*held{}, answered: map[string]time.Time{}, gone: recent.NewSet(maxTombstones), dirty: map[string]bool{},
	}
	h.asks.Send = h.askOwner
	return h
}

// Wait waits for the goroutines that the holder started. Once its context has ended, none
// starts any more.
func (h *Holder) Wait() {
	h.mu.Lock()
	h.ended = h.ctx.Err() != nil
	h.mu.Unlock()
	h.asks.Wait()
	h.workers.Wait()
}

// startLocked runs a goroutine that Wait waits for. A peer's message may come while the
// process ends: counted then, the goroutine could be missed by Wait.
func (h *Holder) startLocked(run func()) {
	if !h.ended {
		h.workers.Go(run)
	}
}

// bodies are buffers for reports: each would otherwise grow one anew.
var bodies = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// ServeReport answers a worker's report.
func (h *Holder) ServeReport(w http.ResponseWriter, r *http.Request) {
	defer usage.Count(usage.Reports, time.Now())
	buf := bodies.Get().(*bytes.Buffer)
	defer bodies.Put(buf)
	buf.Reset()
	if _, err := buf.ReadFrom(http.MaxBytesReader(w, r.Body, wire.MaxBody)); err != nil {
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "body unreadable or too large"})
		return
	}
	rep, err := wire.ParseReport(buf.Bytes())
	if err != nil {
		usage.Note(usage.MalformedReports)
		h.log.Info("malformed report", "err", err)
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "malformed report"})
		return
	}
	status, answer := h.Report(r.Context(), rep)
	httpjson.Write(w, status, answer)
}

// Report takes a worker's report and returns the status and body to answer.
func (h *Holder) Report(ctx context.Context, rep *wire.Report) (int, any) {
	if !h.arrived(rep) {
		return http.StatusServiceUnavailable, wire.Problem{Error: "late report"}
	}
	foreman := h.routing.Foreman(rep.Machine)
	if !h.routing.Entitled() {
		if foreman == h.name {
			foreman = ""
		}
		return http.StatusMisdirectedRequest, wire.Redirect{ReportTo: foreman}
	}
	if foreman != "" && foreman != h.name && h.sendAway(rep, false) {
		return http.StatusMisdirectedRequest, wire.Redirect{ReportTo: foreman}
	}
	if h.routing.Alone() && h.sendAway(rep, true) {
		// Others may be able to start work. One that finds none is back soon,
		// and kept.
		return http.StatusMisdirectedRequest, wire.Redirect{}
	}
	term := h.tokens.Term()
	if term < rep.Token || term == 0 {
		rctx, cancel := context.WithTimeout(ctx, raiseTimeout)
		var err error
		term, err = h.tokens.Raise(rctx, rep.Token)
		cancel()
		if err != nil {
			term = h.tokens.Spare(rep.Token)
		}
		if term == 0 {
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
	if s == nil || h.gone.Has(rep.Machine) || rep.Session != s.report.Session {
		return false
	}
	h.answered[rep.Machine] = time.Now()
	h.dirty[rep.Machine] = true // its owner counts its lease from then
	return true
}

// sendAway decides whether a worker is sent to the foreman, or to anybody else if
// this controller is alone. One that comes back soon could not reach it and is kept
// for a while; but one that could not reach the foreman may reach others.
func (h *Holder) sendAway(rep *wire.Report, alone bool) bool {
	name := rep.Machine
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
	s.seen, s.newest, s.newestAt = now, count{rep.Session, rep.Seq}, now
	if s.alone != alone {
		s.alone, s.sticky, s.sentAway = alone, time.Time{}, time.Time{}
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
	if h.gone.Has(rep.Machine) {
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
	if c := (count{rep.Session, rep.Seq}); renews && c.newer(s.newest) {
		s.newest, s.newestAt = c, time.Now()
	}
	if old := &s.report; rep.Session < old.Session || rep.Session == old.Session && rep.Seq <= old.Seq {
		return View{}, false
	}
	now := time.Now()
	same := slices.Equal(s.report.Tasks, rep.Tasks)
	quiet := same && renews && len(s.queue) == 0 && sameStanding(&s.report, rep)
	s.report, s.at = *rep, now
	if renews {
		h.answered[rep.Machine], s.told = now, now
	}
	s.asked = !renews
	if !same {
		s.list(rep, now)
		h.recall(s)
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
	v := h.view(s)
	v.Same = quiet
	return v, true
}

// sameStanding reports whether two reports of a worker say the same but for their tasks.
func sameStanding(a, b *wire.Report) bool {
	return a.Machine == b.Machine && a.Endpoint == b.Endpoint && a.Session == b.Session && a.Token == b.Token &&
		a.NoticeS == nil && b.NoticeS == nil && a.Zone == b.Zone && a.Type == b.Type && a.Spot == b.Spot
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
	h.dirty[name] = true
	h.gone.Add(name)
}

// Unanswered vouches for how long this controller has not answered a report
// of the machine; a controller without memory of one counts from its start.
func (h *Holder) Unanswered(name string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unanswered(name)
}

func (h *Holder) unanswered(name string) time.Duration {
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

// Seen returns how long ago any report of the machine came here, whatever was
// answered: one that is sent elsewhere lives, even if it can't get there.
func (h *Holder) Seen(name string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.machines[name]; s != nil && !s.seen.IsZero() {
		return time.Since(s.seen)
	}
	return time.Since(h.started) + h.lease
}

// Endpoint is the address of a machine's worker that was heard here, or "".
func (h *Holder) Endpoint(name string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.machines[name]; s != nil && time.Since(s.at) < h.lease {
		return s.report.Endpoint
	}
	return ""
}
