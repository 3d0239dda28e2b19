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
	QueueEntry
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
	entry *QueueEntry // nil until its owner told
}

type workerState struct {
	report   wire.Report
	at       time.Time // when the report came
	seen     time.Time // when any report came, whatever was answered
	told     time.Time // when the worker last reported here unasked, and was answered
	asked    bool      // the report answered a request
	queue    []*queued
	tasks    map[TaskRef]*listed
	halts    map[TaskRef]float64
	clears   map[TaskRef]bool
	busy     bool   // a direct order is in flight
	again    bool   // push again when it returns
	fate     uint64 // highest token of a direct order whose fate is unknown
	draining bool
	sticky   time.Time // stays here until then, although another should hold it
	sentAway time.Time
	alone    bool          // both are of a time when this controller was alone
	newest   reportVersion // of the reports that came by themselves, whatever was answered
	newestAt time.Time     // when that came
	doubt    reportVersion // of the last one that came although a newer one had
}

// reportVersion orders a worker's reports.
type reportVersion struct{ session, seq uint64 }

func (c reportVersion) newer(than reportVersion) bool {
	return c.session > than.session || c.session == than.session && c.seq > than.seq
}

// Dispatcher holds the machines whose workers report to this controller.
type Dispatcher struct {
	name    string
	lease   time.Duration
	owners  Schedulers
	tokens  Tokens
	types   MachineTypes
	routing Routing
	log     *slog.Logger
	orders  CommandSender
	ctx     context.Context
	started time.Time
	workers sync.WaitGroup
	asks    batching.Sender[ask] // to owners elsewhere

	cancellations Cancellations

	lastReport atomic.Int64 // when it came, ns since started

	mu         sync.Mutex
	machines   map[string]*workerState
	answered   map[string]time.Time
	gone       *recent.Set     // machines that the cloud deleted
	dirty      map[string]bool // changed, or forgotten, since Changed was last called
	forgotAt   time.Time       // when machines were last forgotten
	nextSeq    uint64
	raising    bool
	ended      bool                  // Wait was called after the context had ended
	uses       []matching.Allocation // see occupied
	heartbeats heartbeatCounter
}

// Options are what a dispatcher needs of the rest of its process.
type Options struct {
	Node         string        // this controller
	WorkerLease  time.Duration // without a response for so long a worker ends its tasks
	Schedulers   Schedulers
	Tokens       Tokens
	MachineTypes MachineTypes
	Routing      Routing
	Commands     CommandSender
	Log          *slog.Logger

	// Cancellations are the cancelled jobs, whoever leads them: none of their tasks is
	// launched here, and each that a worker lists is halted. nil: none.
	Cancellations Cancellations
}

// New returns a dispatcher without workers; ctx bounds the goroutines it starts.
func New(ctx context.Context, o Options) *Dispatcher {
	h := &Dispatcher{
		name: o.Node, lease: o.WorkerLease, owners: o.Schedulers, tokens: o.Tokens, types: o.MachineTypes, routing: o.Routing, orders: o.Commands, log: o.Log,
		cancellations: o.Cancellations,
		ctx:           ctx, started: time.Now(),
		machines: map[string]*workerState{}, answered: map[string]time.Time{}, gone: recent.NewSet(maxTombstones), dirty: map[string]bool{},
	}
	h.asks.Send = h.askOwner
	return h
}

// Wait waits for the goroutines that the holder started. Once its context has ended, none
// starts any more.
func (h *Dispatcher) Wait() {
	h.mu.Lock()
	h.ended = h.ctx.Err() != nil
	h.mu.Unlock()
	h.asks.Wait()
	h.workers.Wait()
}

// startLocked runs a goroutine that Wait waits for. A peer's message may come while the
// process ends: counted then, the goroutine could be missed by Wait.
func (h *Dispatcher) startLocked(run func()) {
	if !h.ended {
		h.workers.Go(run)
	}
}

// bodies are buffers for reports: each would otherwise grow one anew.
var bodies = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// ServeReport answers a worker's report.
func (h *Dispatcher) ServeReport(w http.ResponseWriter, r *http.Request) {
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
	status, answer := h.HandleReport(r.Context(), rep)
	httpjson.Write(w, status, answer)
}

// HandleReport takes a worker's report and returns the status and body to answer.
func (h *Dispatcher) HandleReport(ctx context.Context, rep *wire.Report) (int, any) {
	if !h.arrived(rep) {
		return http.StatusServiceUnavailable, wire.Problem{Error: "late report"}
	}
	foreman := h.routing.LeaderFor(rep.Machine)
	if !h.routing.MayAnswerWorkers() {
		if foreman == h.name {
			foreman = ""
		}
		return http.StatusMisdirectedRequest, wire.Redirect{ReportTo: foreman}
	}
	if foreman != "" && foreman != h.name && h.sendAway(rep, false) {
		return http.StatusMisdirectedRequest, wire.Redirect{ReportTo: foreman}
	}
	if h.routing.Isolated() && h.sendAway(rep, true) {
		// Others may be able to start work. One that finds none is back soon,
		// and kept.
		return http.StatusMisdirectedRequest, wire.Redirect{}
	}
	term := h.tokens.FencingToken()
	if term < rep.Token || term == 0 {
		rctx, cancel := context.WithTimeout(ctx, raiseTimeout)
		var err error
		term, err = h.tokens.RaiseTokenAbove(rctx, rep.Token)
		cancel()
		if err != nil {
			term = h.tokens.ReservedTokenAbove(rep.Token)
		}
		if term == 0 {
			// An answer with a lower token would keep the worker here
			// while its lease runs out.
			h.log.Info("cannot raise the term", "machine", rep.Machine, "token", rep.Token, "err", err)
			return http.StatusMisdirectedRequest, wire.Redirect{}
		}
	}
	if view, ok := h.take(rep, true); ok {
		h.owners.ObserveWorker(view)
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
func (h *Dispatcher) overtaken(rep *wire.Report) bool {
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
func (h *Dispatcher) sendAway(rep *wire.Report, alone bool) bool {
	name := rep.Machine
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	s := h.machines[name]
	if s == nil {
		if len(h.machines) >= maxMachines {
			return true
		}
		s = newWorkerState()
		h.machines[name] = s
	}
	s.seen, s.newest, s.newestAt = now, reportVersion{rep.Session, rep.Seq}, now
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

func newWorkerState() *workerState {
	return &workerState{tasks: map[TaskRef]*listed{}, halts: map[TaskRef]float64{}, clears: map[TaskRef]bool{}}
}

// take stores a report unless a newer one came before. renews says that it
// will be answered and so renews the worker's lease.
func (h *Dispatcher) take(rep *wire.Report, renews bool) (WorkerView, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone.Has(rep.Machine) {
		return WorkerView{}, false
	}
	s := h.machines[rep.Machine]
	if s == nil {
		if len(h.machines) >= maxMachines {
			return WorkerView{}, false
		}
		s = newWorkerState()
		h.machines[rep.Machine] = s
	}
	if c := (reportVersion{rep.Session, rep.Seq}); renews && c.newer(s.newest) {
		s.newest, s.newestAt = c, time.Now()
	}
	if old := &s.report; rep.Session < old.Session || rep.Session == old.Session && rep.Seq <= old.Seq {
		return WorkerView{}, false
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
		if l := seen[q.TaskRef]; l != nil {
			l.entry = &q.QueueEntry
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
func (s *workerState) list(rep *wire.Report, now time.Time) {
	seen := make(map[TaskRef]*listed, len(rep.Tasks))
	for _, t := range rep.Tasks {
		ref := TaskRef{rep.Machine, t.Task, t.Attempt}
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

// LastHeartbeats returns how long ago each machine reported here.
func (h *Dispatcher) LastHeartbeats() map[string]time.Duration {
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
func (h *Dispatcher) Drain(name string) bool {
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

// RemoveWorker forgets a machine that the cloud has deleted.
func (h *Dispatcher) RemoveWorker(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.machines, name)
	delete(h.answered, name)
	h.dirty[name] = true
	h.gone.Add(name)
}

// UnansweredFor vouches for how long this controller has not answered a report
// of the machine; a controller without memory of one counts from its start.
func (h *Dispatcher) UnansweredFor(name string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unanswered(name)
}

func (h *Dispatcher) unanswered(name string) time.Duration {
	if at, ok := h.answered[name]; ok {
		return time.Since(at)
	}
	return time.Since(h.started)
}

// Depths counts the machines held, the tasks queued at them, and the direct
// orders under way.
func (h *Dispatcher) Depths() (machines, queued, orders int) {
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

// SinceHeartbeat returns how long ago any report of the machine came here, whatever was
// answered: one that is sent elsewhere lives, even if it can't get there.
func (h *Dispatcher) SinceHeartbeat(name string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.machines[name]; s != nil && !s.seen.IsZero() {
		return time.Since(s.seen)
	}
	return time.Since(h.started) + h.lease
}

// Endpoint is the address of a machine's worker that was heard here, or "".
func (h *Dispatcher) Endpoint(name string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.machines[name]; s != nil && time.Since(s.at) < h.lease {
		return s.report.Endpoint
	}
	return ""
}
