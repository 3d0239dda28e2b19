package testkit

import (
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// Worker is a stand-in for a worker. It follows the protocol for tokens, leases, sessions and commands.
type Worker struct {
	Name     string
	Zone     string
	Spot     bool
	Lease    time.Duration
	RunTime  func(task string) time.Duration // run time of a task
	OnStart  func(task string, attempt uint64)
	ExitCode func(task string) int             // exit code of a task that ends by itself; nil: 0
	OnForget func(task string, attempt uint64) // called when the worker forgets a task that was done
	// OnUnfencedForget is called when the worker forgets a task under a token that the task's start
	// command carried, so that it would execute a copy of that command; may be nil.
	OnUnfencedForget func(task string, attempt, token uint64)
	WrapHeld         func(deliver func()) func()          // wraps the delivery of a message that arrived during a hang; may be nil
	SaveTime         func(task string) time.Duration      // time that a task needs to save its state when it is stopped; nil or negative: it cannot
	OnEnd            func(t wire.Task, ran time.Duration) // called when a task ends; its cause is empty if it was killed because the lease expired

	session, seq, token uint64
	lastRenewal         time.Time
	tasks               map[attemptKey]*taskState

	hungAt time.Time // start of the hang; zero if the worker does not hang
	held   []func()  // deliveries of the messages that arrived during the hang, in order
}

// responseTimeout is how long a worker waits for the response to a heartbeat.
const responseTimeout = 4 * time.Second

type attemptKey struct {
	task    string
	attempt uint64
}

type taskState struct {
	wire.Task
	startToken uint64 // fencing token of the start command
	startedAt  time.Time
	endsAt     time.Time // when the run or the saving ends
}

// noteEnd calls OnEnd with a task that has ended and its run time.
func (w *Worker) noteEnd(t *taskState, ran time.Duration) {
	if w.OnEnd != nil {
		w.OnEnd(t.Task, ran)
	}
}

// killAll ends all tasks because the lease has expired.
func (w *Worker) killAll(now time.Time) {
	for _, t := range w.tasks {
		if t.State != wire.TaskExited {
			w.noteEnd(t, now.Sub(t.startedAt))
		}
	}
}

// stop stops a task, after saving its state if that is possible within the grace period in seconds.
func (w *Worker) stop(t *taskState, grace float64) {
	now, save := time.Now(), time.Duration(-1)
	if w.SaveTime != nil {
		save = w.SaveTime(t.Task.Task)
	}
	switch {
	case t.State == wire.TaskExited:
	case t.State == wire.TaskRunning && save >= 0 && grace >= save.Seconds():
		t.State, t.endsAt = wire.TaskSaving, now.Add(save)
	case t.State == wire.TaskSaving && grace > 0:
	default:
		t.State, t.Cause = wire.TaskExited, wire.CauseStopped
		w.noteEnd(t, now.Sub(t.startedAt))
	}
}

// NewWorker returns a worker that has just started.
func NewWorker(name string, lease time.Duration, run func(string) time.Duration) *Worker {
	return &Worker{Name: name, Zone: "z", Lease: lease, RunTime: run, session: 1, lastRenewal: time.Now(), tasks: map[attemptKey]*taskState{}}
}

// Hang hangs the worker: it executes and reports nothing until Resume.
func (w *Worker) Hang() {
	if w.IsHung() {
		return
	}
	w.advance()
	w.hungAt = time.Now()
}

// IsHung reports whether the worker hangs.
func (w *Worker) IsHung() bool { return !w.hungAt.IsZero() }

// holdUntilResume stores a message that arrived during a hang, which Resume delivers.
func (w *Worker) holdUntilResume(deliver func()) {
	if w.WrapHeld != nil {
		deliver = w.WrapHeld(deliver)
	}
	w.held = append(w.held, deliver)
}

// Resume ends a hang. It checks the lease first, and then delivers the messages that arrived during
// the hang, which may have become invalid. The run of a task is extended by the duration of the hang.
func (w *Worker) Resume() {
	if !w.IsHung() {
		return
	}
	hung := time.Since(w.hungAt)
	for _, t := range w.tasks {
		t.endsAt = t.endsAt.Add(hung)
	}
	held := w.held
	w.hungAt, w.held = time.Time{}, nil
	w.advance()
	for _, deliver := range held {
		deliver()
	}
}

// leaseExpired reports whether the worker's lease has expired.
func (w *Worker) leaseExpired() bool { return time.Since(w.lastRenewal) > w.Lease }

func (w *Worker) advance() {
	if w.IsHung() {
		return
	}
	now := time.Now()
	if w.leaseExpired() {
		w.killAll(now)
		w.tasks = map[attemptKey]*taskState{}
		w.session++
		w.lastRenewal = now
	}
	for _, t := range w.tasks {
		if t.State == wire.TaskRunning && !now.Before(t.endsAt) {
			t.State, t.Cause = wire.TaskExited, wire.CauseDone
			if w.ExitCode != nil {
				if code := w.ExitCode(t.Task.Task); code != 0 {
					t.Cause, t.Exit = wire.CauseError, &code
				}
			}
			w.noteEnd(t, t.endsAt.Sub(t.startedAt))
		}
		if t.State == wire.TaskSaving && !now.Before(t.endsAt) {
			t.State, t.Cause, t.Saved = wire.TaskExited, wire.CauseStopped, true
			w.noteEnd(t, t.endsAt.Sub(t.startedAt))
		}
	}
}

// UnfinishedTasks returns the tasks on the worker that have not ended. Tasks of a hung worker count
// until its lease expires, since they may continue if it resumes before.
func (w *Worker) UnfinishedTasks() []string {
	w.advance()
	if w.IsHung() && w.leaseExpired() {
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

// TaskEndedSince reports whether a task has completed since the given time.
func (w *Worker) TaskEndedSince(at time.Time) bool {
	w.advance()
	for _, t := range w.tasks {
		if t.State == wire.TaskExited && t.Cause == wire.CauseDone && t.endsAt.After(at) {
			return true
		}
	}
	return false
}

// Session returns the worker's current session number.
func (w *Worker) Session() uint64 {
	w.advance()
	return w.session
}

// Report returns the worker's next heartbeat.
func (w *Worker) Report() *wire.Report {
	w.advance()
	w.seq++
	r := &wire.Report{Machine: w.Name, Endpoint: "127.0.0.1:1", Type: "m", Zone: w.Zone, Spot: w.Spot, Session: w.session, Seq: w.seq, Token: w.token}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.Task)
	}
	return r
}

// HandleResponse handles the response to a heartbeat sent at the given time, unless the response timed out.
func (w *Worker) HandleResponse(sent time.Time, session uint64, a wire.ReportResponse) {
	if w.IsHung() {
		w.holdUntilResume(func() { w.HandleResponse(sent, session, a) })
		return
	}
	w.advance()
	if time.Since(sent) > responseTimeout {
		return
	}
	if a.Token < w.token || a.Token == 0 || session != w.session {
		return
	}
	w.token = a.Token
	w.lastRenewal = sent
	w.execute(a.Commands)
}

// HandleCommands handles a direct message, however late it arrives, and reports whether its commands
// were executed now. A hung worker handles the message when it resumes.
func (w *Worker) HandleCommands(o wire.PushedCommands) bool {
	if w.IsHung() {
		w.holdUntilResume(func() { w.HandleCommands(o) })
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

// execute executes commands that carry the worker's present token.
func (w *Worker) execute(commands []wire.Command) {
	for _, command := range commands {
		switch command.Verb {
		case wire.VerbStart:
			w.start(command)
		case wire.VerbStop:
			if t := w.tasks[keyOf(command)]; t != nil {
				grace := 0.0
				if command.GraceS != nil {
					grace = *command.GraceS
				}
				w.stop(t, grace)
			}
		case wire.VerbForget:
			w.forget(command)
		}
	}
}

func keyOf(command wire.Command) attemptKey { return attemptKey{command.Task, command.Attempt} }

// start starts an attempt that the worker does not know.
func (w *Worker) start(command wire.Command) {
	if w.tasks[keyOf(command)] != nil {
		return
	}
	now := time.Now()
	t := &taskState{
		Task:       wire.Task{Task: command.Task, Attempt: command.Attempt, State: wire.TaskRunning},
		startToken: w.token, startedAt: now, endsAt: now.Add(w.RunTime(command.Task)),
	}
	for other, state := range w.tasks {
		if other.task == command.Task && state.State != wire.TaskExited {
			t.State, t.Cause = wire.TaskExited, wire.CauseBusy
		}
	}
	w.tasks[keyOf(command)] = t
	if t.State == wire.TaskRunning && w.OnStart != nil {
		w.OnStart(command.Task, command.Attempt)
	}
}

// forget removes an exited attempt.
func (w *Worker) forget(command wire.Command) {
	t := w.tasks[keyOf(command)]
	if t == nil || t.State != wire.TaskExited {
		return
	}
	delete(w.tasks, keyOf(command))
	if w.OnUnfencedForget != nil && w.token <= t.startToken {
		w.OnUnfencedForget(command.Task, command.Attempt, w.token)
	}
	if w.OnForget != nil && t.Cause == wire.CauseDone {
		w.OnForget(command.Task, command.Attempt)
	}
}
