package worker_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
	"github.com/wallrack/wallrack/internal/worker"
)

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// fakeBackend provides descriptions for all jobs but j-0, and runs fake processes.
type fakeBackend struct {
	mu          sync.Mutex
	running     map[string]*fakeProcess
	ranTwice    string // a task that was started while it was running
	unavailable bool   // the description service does not respond
}

// fakeProcess runs until it is stopped or finished.
type fakeProcess struct {
	backend *fakeBackend
	task    string
	exited  func(int)
}

func (s *fakeBackend) Get(_ context.Context, job string) (*taskspec.Spec, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.unavailable:
		return nil, errors.New("unavailable")
	case job == "j-0":
		return nil, taskspec.ErrNotFound
	}
	return &taskspec.Spec{Argv: []string{"x"}, CPUs: 1}, nil
}

func (s *fakeBackend) Start(task string, _ uint64, _ *taskspec.Spec, exited func(int)) (worker.Process, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[task] != nil {
		s.ranTwice = task
	}
	process := &fakeProcess{s, task, exited}
	s.running[task] = process
	return process, nil
}

// finish ends the process, with exit code 0 if ok, else 1.
func (p *fakeProcess) finish(ok bool) {
	p.backend.mu.Lock()
	if p.backend.running[p.task] == p {
		delete(p.backend.running, p.task)
	}
	p.backend.mu.Unlock()
	code := 0
	if !ok {
		code = 1
	}
	go p.exited(code)
}

func (p *fakeProcess) Stop(time.Duration) { p.finish(false) }

// newState returns the state of a worker with 4 CPUs and a lease of 10 s.
func newState(s *fakeBackend) *worker.State {
	return worker.New(worker.Identity{Name: "n-1", Endpoint: "127.0.0.1:1", Type: "m", Zone: "z", Size: matching.Resources{CPUs: 4, MemoryGB: 8}, Lease: 10 * time.Second},
		s, s, func() {}, discardLogger)
}

// step is one step of TestInvariantsHoldUnderLateAndRepeatedCommands. Direct sends the command as
// a direct order; for stepFinish it selects exit code 0. Token is relative to the highest token
// sent, and Wait is the time in ms until the next step.
type step struct {
	Kind, Task, Attempt, Token, Wait int
	Direct                           bool
}

// Kinds of steps. Kinds up to stepForget and above stepOutage send a command.
const (
	stepForget = 4
	stepFinish = 5 // a process exits
	stepOutage = 6 // the description service fails, or works again
)

func drawStep(rt *rapid.T) step {
	return step{
		rapid.IntRange(0, 7).Draw(rt, "kind"), rapid.IntRange(0, 6).Draw(rt, "task"), rapid.IntRange(1, 2).Draw(rt, "try"),
		rapid.IntRange(-1, 1).Draw(rt, "token"), rapid.IntRange(0, 4000).Draw(rt, "wait"), rapid.Bool().Draw(rt, "old"),
	}
}

// commandModel drives a worker through the steps and records violations.
type commandModel struct {
	backend   *fakeBackend
	state     *worker.State
	token     int    // the highest fencing token sent
	violation string // the last violation of the protocol
}

// apply executes a step, and checks that a command with a lower token had no effect.
func (m *commandModel) apply(ctx context.Context, st step) {
	report := m.state.Report()
	verb := []string{wire.VerbStart, wire.VerbStart, wire.VerbStart, wire.VerbStop, wire.VerbForget}[min(st.Kind, stepForget)]
	commands := []wire.Command{{Verb: verb, Task: wire.TaskName("j-"+strconv.Itoa(st.Task), 0), Attempt: uint64(st.Attempt)}}
	before := len(report.Tasks)
	switch {
	case st.Kind == stepFinish:
		for _, process := range m.backend.running {
			process.finish(st.Direct)
			break
		}
	case st.Kind == stepOutage:
		m.backend.unavailable = !m.backend.unavailable
	case st.Direct: // a late direct order
		orders := wire.PushedCommands{Token: uint64(m.token + min(0, st.Token)), Session: report.Session, Commands: commands}
		if m.state.HandleOrders(ctx, orders) && st.Token < 0 {
			m.violation = "an order with a lower token was accepted"
		}
	default:
		m.token += max(0, st.Token)
		m.state.HandleResponse(ctx, time.Now(), report.Session, wire.ReportResponse{Token: uint64(m.token + min(0, st.Token)), Commands: commands})
	}
	synctest.Wait()
	if st.Token < 0 && st.Kind < stepFinish && len(m.state.Report().Tasks) != before {
		m.violation = "commands with a lower token changed the attempts"
	}
}

// checkRunning checks that exactly the tasks reported as running are running, each once and
// within the worker's capacity.
func (m *commandModel) checkRunning() {
	report := m.state.Report()
	synctest.Wait()
	reported := map[string]bool{}
	for _, task := range report.Tasks {
		if task.State == wire.TaskRunning {
			reported[task.Task] = true
		}
	}
	m.backend.mu.Lock()
	defer m.backend.mu.Unlock()
	if m.backend.ranTwice != "" || len(m.backend.running) != len(reported) || len(m.backend.running) > 4 {
		m.violation = fmt.Sprintf("started twice: %q; reported as running: %v; running: %d", m.backend.ranTwice, reported, len(m.backend.running))
	}
}

// checkExpiry checks that no task runs after the lease has expired.
func (m *commandModel) checkExpiry() {
	session := m.state.Report().Session
	time.Sleep(11 * time.Second)
	m.state.Expire()
	synctest.Wait()
	if report := m.state.Report(); len(m.backend.running) != 0 || len(report.Tasks) != 0 || report.Session <= session {
		m.violation = fmt.Sprintf("after lease expiry: %d tasks running, report %+v", len(m.backend.running), report)
	}
}

// For any sequence of commands, including late and repeated ones: no task runs twice at the same
// time, exactly the tasks reported as running are running, and no task runs beyond the worker's
// capacity or its lease.
func TestInvariantsHoldUnderLateAndRepeatedCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 40).Draw(rt, "steps")
		violation := ""
		synctest.Test(t, func(t *testing.T) {
			s := &fakeBackend{running: map[string]*fakeProcess{}}
			m := &commandModel{backend: s, state: newState(s), token: 5}
			m.state.HandleResponse(t.Context(), time.Now(), 1, wire.ReportResponse{Token: 5})
			for _, st := range steps {
				m.apply(t.Context(), st)
				time.Sleep(time.Duration(st.Wait) * time.Millisecond)
				synctest.Wait()
				m.checkRunning()
			}
			m.checkExpiry()
			m.state.Close()
			violation = m.violation
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// The result of a completed task is remembered: a new attempt exits as done immediately.
func TestRepeatedTaskReturnsItsStoredResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeBackend{running: map[string]*fakeProcess{}}
		state := newState(s)
		order := func(verb string, attempt uint64) {
			state.HandleOrders(t.Context(), wire.PushedCommands{Token: 1, Session: 1, Commands: []wire.Command{{Verb: verb, Task: "j-1/0", Attempt: attempt}}})
			synctest.Wait()
		}
		order(wire.VerbStart, 1)
		s.running["j-1/0"].finish(true)
		synctest.Wait()
		order(wire.VerbForget, 1)
		order(wire.VerbStart, 2)
		if r := state.Report(); len(r.Tasks) != 1 || r.Tasks[0].Cause != wire.CauseDone || len(s.running) != 0 {
			t.Errorf("report after the second start: %+v", r.Tasks)
		}
		state.Close()
	})
}
