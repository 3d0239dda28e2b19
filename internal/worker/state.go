// Package worker is a worker by the site's protocol that runs real processes. It
// reports to one controller at a time, obeys the highest token it has seen, and
// ends everything when its lease runs out.
package worker

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	keepDone     = 10_000 // completed tasks whose result is kept
	fetchTries   = 5      // to get a description before the task fails
	fetchBackoff = 300 * time.Millisecond
)

// Descriptions tells what a job's tasks run.
type Descriptions interface {
	Get(ctx context.Context, job string) (*taskspec.Spec, error)
}

// Runner runs tasks' processes.
type Runner interface {
	// Start starts a task. exited is called once, from another goroutine, when
	// the task and all that it started are gone, with its exit code: 0 is success,
	// 128 and more a signal, as shells have it.
	Start(task string, attempt uint64, d *taskspec.Spec, exited func(code int)) (Process, error)
}

// Process is a running task.
type Process interface {
	// Stop asks the task to end, and ends it after grace.
	Stop(grace time.Duration)
}

// Ident is a worker's place in the site.
type Ident struct {
	Name, Endpoint, Type, Zone string
	Spot                       bool
	Size                       matching.Resources
	Lease                      time.Duration
}

type key struct {
	task    string
	attempt uint64
}

type task struct {
	wire.Task
	size   matching.Resources
	proc   Process
	cancel context.CancelFunc // ends the fetch
	halted bool
}

// Machine is a worker's state by the protocol. It is safe for concurrent use.
type Machine struct {
	id     Ident
	descrs Descriptions
	runner Runner
	log    *slog.Logger
	change func() // something that is reported changed

	mu      sync.Mutex
	session uint64
	seq     uint64
	token   uint64
	renewed time.Time // when the last answered report was sent
	tasks   map[key]*task
	done    *lru.Cache[string, struct{}] // tasks whose result is kept
	stops   sync.WaitGroup
}

// New returns the state of a worker that has just come up. change is called,
// without locks held by the caller's side, whenever a report would differ.
func New(id Ident, descrs Descriptions, runner Runner, change func(), log *slog.Logger) *Machine {
	done, _ := lru.New[string, struct{}](keepDone) // fails for sizes below 1 only
	return &Machine{
		id: id, descrs: descrs, runner: runner, change: change, log: log, session: 1, renewed: time.Now(),
		tasks: map[key]*task{}, done: done,
	}
}

// Report makes the next report; its sequence number is never used again.
func (m *Machine) Report() *wire.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLocked()
	m.seq++
	r := &wire.Report{
		Machine: m.id.Name, Endpoint: m.id.Endpoint, Type: m.id.Type, Zone: m.id.Zone, Spot: m.id.Spot,
		Session: m.session, Seq: m.seq, Token: m.token, Tasks: []wire.Task{},
	}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, t.Task)
	}
	return r
}

// Answer takes a 200 for a report of a session that was sent at a time. An
// answer with a lower token, or for an earlier session, is dropped: it renews
// nothing and orders nothing.
func (m *Machine) Answer(sent time.Time, session uint64, a wire.ReportAnswer) (taken, newToken bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLocked()
	if a.Token == 0 || a.Token < m.token || session != m.session {
		return false, false
	}
	newToken = a.Token > m.token
	m.token, m.renewed = a.Token, sent
	m.executeLocked(a.Commands)
	return true, newToken
}

// Orders takes a direct message. False: the token is lower than the highest one
// seen, or the session does not match, and nothing was executed.
func (m *Machine) Orders(o wire.Orders) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLocked()
	if o.Token < m.token || o.Session != m.session {
		return false
	}
	m.token = o.Token
	m.executeLocked(o.Commands)
	return true
}

// Expire ends the session if its lease has run out; it is called often.
func (m *Machine) Expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLocked()
}

func (m *Machine) expireLocked() {
	if time.Since(m.renewed) <= m.id.Lease {
		return
	}
	m.log.Info("lease ran out", "session", m.session, "tasks", len(m.tasks))
	m.dropLocked()
	m.session++
	m.renewed = time.Now()
	go m.change()
}

func (m *Machine) dropLocked() {
	for k, t := range m.tasks {
		t.end(0)
		delete(m.tasks, k)
	}
}

// end ends a task's fetch or process.
func (t *task) end(grace time.Duration) {
	t.halted = true
	if t.cancel != nil {
		t.cancel()
	}
	if t.proc != nil {
		t.proc.Stop(grace)
	}
}

// Close ends every task and waits for what was being fetched.
func (m *Machine) Close() {
	m.mu.Lock()
	m.dropLocked()
	m.mu.Unlock()
	m.stops.Wait()
}

func (m *Machine) executeLocked(cmds []wire.Command) {
	changed := false
	for _, c := range cmds {
		k := key{c.Task, c.Attempt}
		t := m.tasks[k]
		switch {
		case c.Verb == wire.VerbStart && t == nil:
			m.launchLocked(k)
			changed = true
		case c.Verb == wire.VerbStop && t != nil && t.State != wire.TaskExited:
			grace := time.Duration(0)
			if c.GraceS != nil && *c.GraceS > 0 {
				grace = time.Duration(*c.GraceS * float64(time.Second))
			}
			if t.State == wire.TaskFetching {
				t.end(0)
				m.exitLocked(t, wire.CauseStopped)
			} else {
				t.end(grace)
			}
			changed = true
		case c.Verb == wire.VerbForget && t != nil && t.State == wire.TaskExited:
			delete(m.tasks, k)
			changed = true
		}
	}
	if changed {
		go m.change()
	}
}

func (m *Machine) exitLocked(t *task, cause string) {
	t.State, t.Cause = wire.TaskExited, cause
	t.proc = nil
}

// launchLocked takes a start command for an attempt that is not known.
func (m *Machine) launchLocked(k key) {
	job, _, err := wire.ParseTask(k.task)
	t := &task{Task: wire.Task{Task: k.task, Attempt: k.attempt, State: wire.TaskFetching}}
	m.tasks[k] = t
	if err != nil {
		m.exitLocked(t, wire.CauseUnknown)
		return
	}
	for o, other := range m.tasks {
		if o.task == k.task && o != k && other.State != wire.TaskExited {
			m.exitLocked(t, wire.CauseBusy)
			return
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	session := m.session
	m.stops.Add(1)
	go func() {
		defer m.stops.Done()
		defer cancel()
		d, err := m.fetch(ctx, job)
		m.started(k, t, session, d, err)
	}()
}

// fetch gets a description, again for a while if the service does not answer.
func (m *Machine) fetch(ctx context.Context, job string) (*taskspec.Spec, error) {
	for n := 1; ; n++ {
		d, err := m.descrs.Get(ctx, job)
		if err == nil || errors.Is(err, taskspec.ErrNotFound) || n == fetchTries {
			return d, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(time.Duration(n) * fetchBackoff):
		}
	}
}

// started goes on with a task whose description came, or did not.
func (m *Machine) started(k key, t *task, session uint64, d *taskspec.Spec, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer func() { go m.change() }()
	if m.session != session || m.tasks[k] != t || t.State != wire.TaskFetching {
		return // stopped, or the session is over
	}
	switch {
	case errors.Is(err, taskspec.ErrNotFound):
		m.exitLocked(t, wire.CauseUnknown)
		return
	case err != nil:
		m.log.Info("no description", "task", k.task, "err", err)
		m.exitLocked(t, wire.CauseError)
		return
	case m.done.Contains(k.task):
		m.exitLocked(t, wire.CauseDone) // its result is kept
		return
	}
	t.size = matching.Resources{CPUs: d.CPUs, GPUs: d.GPUs, MemoryGB: d.MemoryGB}
	free := m.id.Size
	for _, o := range m.tasks {
		if o != t && o.State != wire.TaskExited {
			free = free.Add(o.size, -1)
		}
	}
	if !t.size.Fits(free) {
		m.exitLocked(t, wire.CauseNoRoom)
		return
	}
	proc, err := m.runner.Start(k.task, k.attempt, d, func(code int) { m.exited(k, t, session, code) })
	if err != nil {
		m.log.Info("task did not start", "task", k.task, "err", err)
		m.exitLocked(t, wire.CauseError)
		return
	}
	t.State, t.proc = wire.TaskRunning, proc
}

func (m *Machine) exited(k key, t *task, session uint64, code int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.session != session || m.tasks[k] != t || t.State == wire.TaskExited {
		return
	}
	switch {
	case t.halted:
		m.exitLocked(t, wire.CauseStopped) // even if it ended well on being asked to: its work is not whole
	case code == 0:
		m.done.ContainsOrAdd(k.task, struct{}{})
		m.exitLocked(t, wire.CauseDone)
	default:
		m.exitLocked(t, wire.CauseError)
		t.Exit = &code
	}
	go m.change()
}
