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

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// site is what a worker needs: descriptions of all jobs but j-0, and a runner of fake
// processes.
type site struct {
	mu       sync.Mutex
	running  map[string]*fakeProcess
	ranTwice string // a task that was started while it ran
	down     bool   // the description service is out of order
}

// fakeProcess lasts until it is stopped or finished.
type fakeProcess struct {
	site   *site
	task   string
	exited func(int)
}

func (s *site) Get(_ context.Context, job string) (*taskspec.Spec, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return nil, errors.New("out")
	case job == "j-0":
		return nil, taskspec.ErrNotFound
	}
	return &taskspec.Spec{Argv: []string{"x"}, CPUs: 1}, nil
}

func (s *site) Start(task string, _ uint64, _ *taskspec.Spec, exited func(int)) (worker.Process, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[task] != nil {
		s.ranTwice = task
	}
	process := &fakeProcess{s, task, exited}
	s.running[task] = process
	return process, nil
}

// finish ends the process, with code 0 if ok.
func (p *fakeProcess) finish(ok bool) {
	p.site.mu.Lock()
	if p.site.running[p.task] == p {
		delete(p.site.running, p.task)
	}
	p.site.mu.Unlock()
	code := 0
	if !ok {
		code = 1
	}
	go p.exited(code)
}

func (p *fakeProcess) Stop(time.Duration) { p.finish(false) }

// newState returns the state of a worker with 4 CPUs and a lease of 10 s.
func newState(s *site) *worker.State {
	return worker.New(worker.Identity{Name: "n-1", Endpoint: "127.0.0.1:1", Type: "m", Zone: "z", Size: matching.Resources{CPUs: 4, MemoryGB: 8}, Lease: 10 * time.Second},
		s, s, func() {}, quiet)
}

// step is a step of TestLateAndRepeatedCommandsKeepTheProtocol.
type step struct {
	Kind, Task, Attempt, Token, Wait int
	Old                              bool
}

// Kinds of steps; those up to stepForget, and above stepOutage, are commands.
const (
	stepForget = 4
	stepFinish = 5 // a process ends
	stepOutage = 6 // of the description service, or its end
)

func drawStep(rt *rapid.T) step {
	return step{
		rapid.IntRange(0, 7).Draw(rt, "kind"), rapid.IntRange(0, 6).Draw(rt, "task"), rapid.IntRange(1, 2).Draw(rt, "try"),
		rapid.IntRange(-1, 1).Draw(rt, "token"), rapid.IntRange(0, 4000).Draw(rt, "wait"), rapid.Bool().Draw(rt, "old"),
	}
}

// lateCommands is a worker that the steps are played to.
type lateCommands struct {
	site  *site
	state *worker.State
	token int    // the highest fencing token sent
	wrong string // what broke the protocol
}

// play plays a step, and checks that a command with a lower token did nothing.
func (l *lateCommands) play(ctx context.Context, st step) {
	report := l.state.Report()
	verb := []string{wire.VerbStart, wire.VerbStart, wire.VerbStart, wire.VerbStop, wire.VerbForget}[min(st.Kind, stepForget)]
	commands := []wire.Command{{Verb: verb, Task: wire.TaskName("j-"+strconv.Itoa(st.Task), 0), Attempt: uint64(st.Attempt)}}
	before := len(report.Tasks)
	switch {
	case st.Kind == stepFinish:
		for _, process := range l.site.running {
			process.finish(st.Old)
			break
		}
	case st.Kind == stepOutage:
		l.site.down = !l.site.down
	case st.Old: // a late direct order
		orders := wire.PushedCommands{Token: uint64(l.token + min(0, st.Token)), Session: report.Session, Commands: commands}
		if l.state.HandleOrders(ctx, orders) && st.Token < 0 {
			l.wrong = "an order with a lower token was executed"
		}
	default:
		l.token += max(0, st.Token)
		l.state.HandleResponse(ctx, time.Now(), report.Session, wire.ReportResponse{Token: uint64(l.token + min(0, st.Token)), Commands: commands})
	}
	synctest.Wait()
	if st.Token < 0 && st.Kind < stepFinish && len(l.state.Report().Tasks) != before {
		l.wrong = "commands with a lower token changed something"
	}
}

// checkRunning checks that just what is reported as running runs, once, and has room.
func (l *lateCommands) checkRunning() {
	report := l.state.Report()
	synctest.Wait()
	reported := map[string]bool{}
	for _, task := range report.Tasks {
		if task.State == wire.TaskRunning {
			reported[task.Task] = true
		}
	}
	l.site.mu.Lock()
	defer l.site.mu.Unlock()
	if l.site.ranTwice != "" || len(l.site.running) != len(reported) || len(l.site.running) > 4 {
		l.wrong = fmt.Sprintf("twice %q, reported %v, running %d", l.site.ranTwice, reported, len(l.site.running))
	}
}

// checkExpiry checks that nothing runs after the lease.
func (l *lateCommands) checkExpiry() {
	session := l.state.Report().Session
	time.Sleep(11 * time.Second)
	l.state.Expire()
	synctest.Wait()
	if report := l.state.Report(); len(l.site.running) != 0 || len(report.Tasks) != 0 || report.Session <= session {
		l.wrong = fmt.Sprintf("after the lease: %d run, report %+v", len(l.site.running), report)
	}
}

// Whatever commands come, late and repeated ones too: no task runs twice at a
// time, what is reported as running runs and nothing else does, and nothing runs
// beyond the worker's capacity or the lease.
func TestLateAndRepeatedCommandsKeepTheProtocol(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 40).Draw(rt, "steps")
		wrong := ""
		synctest.Test(t, func(t *testing.T) {
			s := &site{running: map[string]*fakeProcess{}}
			l := &lateCommands{site: s, state: newState(s), token: 5}
			l.state.HandleResponse(t.Context(), time.Now(), 1, wire.ReportResponse{Token: 5})
			for _, st := range steps {
				l.play(t.Context(), st)
				time.Sleep(time.Duration(st.Wait) * time.Millisecond)
				synctest.Wait()
				l.checkRunning()
			}
			l.checkExpiry()
			l.state.Close()
			wrong = l.wrong
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// A result is kept: a task that is started again exits with done at once.
func TestRepeatedTaskReturnsItsStoredResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{running: map[string]*fakeProcess{}}
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
			t.Errorf("%+v", r.Tasks)
		}
		state.Close()
	})
}
