package testkit

import (
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// Worker is a worker's state by the protocol: tokens, lease, session, commands.
type Worker struct {
	Name     string
	Zone     string
	Lease    time.Duration
	Run      func(task string) time.Duration // how long a task runs
	Started  func(task string, attempt uint64)
	Exit     func(task string) int                // exit code of a task that ends by itself; nil: 0
	OnForget func(task string, attempt uint64)    // a task that was done is cleared
	Held     func(carryOut func()) func()         // wraps what is carried out when a hang ends; nil: as it is
	Save     func(task string) time.Duration      // how long a task takes to save when it is stopped; nil, or negative: it can't
	Ended    func(t wire.Task, ran time.Duration) // a task ends, with what it was exited; killed by the lease: with no cause

	session, seq, token uint64
	renewed             time.Time
	tasks               map[ref]*running

	hungAt time.Time // since when the worker hangs; zero: it does not
	heldUp []func()  // what came in the meantime, in order
}

// answerWait is how long a worker waits for the answer to a report.
const answerWait = 4 * time.Second

type ref struct {
	task    string
	attempt uint64
}

type running struct {
	wire.Task
	begun time.Time
	ends  time.Time // its run, or its saving
}

// end notes that a task ends, and how long it ran.
func (w *Worker) end(t *running, ran time.Duration) {
	if w.Ended != nil {
		w.Ended(t.Task, ran)
	}
}

// kill ends all tasks with the lease.
func (w *Worker) kill(now time.Time) {
	for _, t := range w.tasks {
		if t.State != wire.TaskExited {
			w.end(t, now.Sub(t.begun))
		}
	}
}

// stop stops a task; it saves first if it can and has the time.
func (w *Worker) stop(t *running, grace float64) {
	now, save := time.Now(), time.Duration(-1)
	if w.Save != nil {
		save = w.Save(t.Task.Task)
	}
	switch {
	case t.State == wire.TaskExited:
	case t.State == wire.TaskRunning && save >= 0 && grace >= save.Seconds():
		t.State, t.ends = wire.TaskSaving, now.Add(save)
	case t.State == wire.TaskSaving && grace > 0:
	default:
		t.State, t.Cause = wire.TaskExited, wire.CauseStopped
		w.end(t, now.Sub(t.begun))
	}
}

// NewWorker returns a worker that has just come up.
func NewWorker(name string, lease time.Duration, run func(string) time.Duration) *Worker {
	return &Worker{Name: name, Zone: "z", Lease: lease, Run: run, session: 1, renewed: time.Now(), tasks: map[ref]*running{}}
}

// Hang stops the worker: it executes nothing and reports nothing until Continue.
func (w *Worker) Hang() {
	if w.Hangs() {
		return
	}
	w.advance()
	w.hungAt = time.Now()
}

// Hangs reports whether the worker hangs.
func (w *Worker) Hangs() bool { return !w.hungAt.IsZero() }

// hold keeps what came for a worker that hangs.
func (w *Worker) hold(carryOut func()) {
	if w.Held != nil {
		carryOut = w.Held(carryOut)
	}
	w.heldUp = append(w.heldUp, carryOut)
}

// Continue ends a hang. The lease is judged first; then what came in the meantime is
// carried out, if it still may be. Tasks end as much later as the worker hung.
func (w *Worker) Continue() {
	if !w.Hangs() {
		return
	}
	hung := time.Since(w.hungAt)
	for _, t := range w.tasks {
		t.ends = t.ends.Add(hung)
	}
	late := w.heldUp
	w.hungAt, w.heldUp = time.Time{}, nil
	w.advance()
	for _, carryOut := range late {
		carryOut()
	}
}

// leaseOver reports whether the worker's lease has ended.
func (w *Worker) leaseOver() bool { return time.Since(w.renewed) > w.Lease }

func (w *Worker) advance() {
	if w.Hangs() {
		return
	}
	now := time.Now()
	if w.leaseOver() {
		w.kill(now)
		w.tasks = map[ref]*running{}
		w.session++
		w.renewed = now
	}
	for _, t := range w.tasks {
		if t.State == wire.TaskRunning && !now.Before(t.ends) {
			t.State, t.Cause = wire.TaskExited, wire.CauseDone
			if w.Exit != nil {
				if code := w.Exit(t.Task.Task); code != 0 {
					t.Cause, t.Exit = wire.CauseError, &code
				}
			}
			w.end(t, t.ends.Sub(t.begun))
		}
		if t.State == wire.TaskSaving && !now.Before(t.ends) {
			t.State, t.Cause, t.Saved = wire.TaskExited, wire.CauseStopped, true
			w.end(t, t.ends.Sub(t.begun))
		}
	}
}

// On lists the tasks that are on the worker now. Those of a worker that hangs are on
// as long as it may continue, which is within its lease.
func (w *Worker) On() []string {
	w.advance()
	if w.Hangs() && w.leaseOver() {
		return nil
	}
	var out []string
	for _, t := range w.tasks {
		if t.State != wire.TaskExited {
			out = append(out, t.Task.Task)
		}
	}
	return out
}

// EndedSince reports whether a task has ended by itself since a time.
func (w *Worker) EndedSince(at time.Time) bool {
	w.advance()
	for _, t := range w.tasks {
		if t.State == wire.TaskExited && t.Cause == wire.CauseDone && t.ends.After(at) {
			return true
		}
	}
	return false
}

// Session returns the session that the worker is in now.
func (w *Worker) Session() uint64 {
	w.advance()
	return w.session
}

// Report makes the worker's next report.
func (w *Worker) Report() *wire.Report {
	w.advance()
	w.seq++
	r := &wire.Report{Machine: w.Name, Endpoint: "127.0.0.1:1", Type: "m", Zone: w.Zone, Session: w.session, Seq: w.seq, Token: w.token}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.Task)
	}
	return r
}

// Answer takes the answer to a report sent at the given time, unless it is late.
func (w *Worker) Answer(sent time.Time, session uint64, a wire.ReportResponse) {
	if w.Hangs() {
		w.hold(func() { w.Answer(sent, session, a) })
		return
	}
	w.advance()
	if time.Since(sent) > answerWait {
		return
	}
	if a.Token < w.token || a.Token == 0 || session != w.session {
		return
	}
	w.token = a.Token
	w.renewed = sent
	w.execute(a.Commands)
}

// Orders takes a direct message, however late it comes, and reports whether it was
// executed now. A worker that hangs takes it when it continues.
func (w *Worker) Orders(o wire.PushedCommands) bool {
	if w.Hangs() {
		w.hold(func() { w.Orders(o) })
		return false
	}
	w.advance()
	if o.Token < w.token || o.Session != w.session {
		return false
	}
	w.token = o.Token
	w.execute(o.Commands)
	return true
}

func (w *Worker) execute(cmds []wire.Command) {
	for _, c := range cmds {
		k := ref{c.Task, c.Attempt}
		t := w.tasks[k]
		switch c.Verb {
		case wire.VerbStart:
			if t != nil {
				continue
			}
			t = &running{Task: wire.Task{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}, begun: time.Now(), ends: time.Now().Add(w.Run(c.Task))}
			for o, other := range w.tasks {
				if o.task == c.Task && other.State != wire.TaskExited {
					t.State, t.Cause = wire.TaskExited, wire.CauseBusy
				}
			}
			w.tasks[k] = t
			if t.State == wire.TaskRunning && w.Started != nil {
				w.Started(c.Task, c.Attempt)
			}
		case wire.VerbStop:
			if t != nil {
				grace := 0.0
				if c.GraceS != nil {
					grace = *c.GraceS
				}
				w.stop(t, grace)
			}
		case wire.VerbForget:
			if t != nil && t.State == wire.TaskExited {
				delete(w.tasks, k)
				if w.OnForget != nil && t.Cause == wire.CauseDone {
					w.OnForget(c.Task, c.Attempt)
				}
			}
		}
	}
}
