package worker_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
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

// site is what a worker needs: descriptions of j-1 to j-8, and processes that
// last until they are stopped or ended.
type site struct {
	mu      sync.Mutex
	running map[string]*fake
	twice   string
	down    bool
}

type fake struct {
	s      *site
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
		s.twice = task
	}
	f := &fake{s, task, exited}
	s.running[task] = f
	return f, nil
}

func (f *fake) finish(ok bool) {
	f.s.mu.Lock()
	if f.s.running[f.task] == f {
		delete(f.s.running, f.task)
	}
	f.s.mu.Unlock()
	code := 0
	if !ok {
		code = 1
	}
	go f.exited(code)
}

func (f *fake) Stop(time.Duration) { f.finish(false) }

func machine(s *site) *worker.Machine {
	return worker.New(worker.Ident{Name: "n-1", Endpoint: "127.0.0.1:1", Type: "m", Zone: "z", Size: matching.Resources{CPUs: 4, MemoryGB: 8}, Lease: 10 * time.Second},
		s, s, func() {}, quiet)
}

// Whatever commands come, late and repeated ones too: no task runs twice at a
// time, what is reported as running runs and nothing else does, and nothing runs
// beyond the machine or the lease.
func TestLateAndRepeatedCommandsKeepTheProtocol(t *testing.T) {
	type step struct {
		Kind, Task, Attempt, Token, Wait int
		Old                              bool
	}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				rapid.IntRange(0, 7).Draw(rt, "kind"), rapid.IntRange(0, 6).Draw(rt, "task"), rapid.IntRange(1, 2).Draw(rt, "try"),
				rapid.IntRange(-1, 1).Draw(rt, "token"), rapid.IntRange(0, 4000).Draw(rt, "wait"), rapid.Bool().Draw(rt, "old"),
			}
		}), 1, 40).Draw(rt, "steps")
		wrong := ""
		synctest.Test(t, func(*testing.T) {
			s := &site{running: map[string]*fake{}}
			m := machine(s)
			token := 5
			m.Answer(time.Now(), 1, wire.ReportAnswer{Token: 5})
			for _, st := range steps {
				r := m.Report()
				verb := []string{wire.VerbStart, wire.VerbStart, wire.VerbStart, wire.VerbStop, wire.VerbForget}[min(st.Kind, 4)]
				cmd := wire.Command{Verb: verb, Task: wire.TaskName("j-"+strconv.Itoa(st.Task), 0), Attempt: uint64(st.Attempt)}
				before := len(r.Tasks)
				switch {
				case st.Kind == 5:
					for _, f := range s.running {
						f.finish(st.Old)
						break
					}
				case st.Kind == 6:
					s.down = !s.down
				case st.Old: // a late direct order
					if m.Orders(wire.Orders{Token: uint64(token + min(0, st.Token)), Session: r.Session, Commands: []wire.Command{cmd}}) && st.Token < 0 {
						wrong = "an order with a lower token was executed"
					}
				default:
					token += max(0, st.Token)
					m.Answer(time.Now(), r.Session, wire.ReportAnswer{Token: uint64(token + min(0, st.Token)), Commands: []wire.Command{cmd}})
				}
				synctest.Wait()
				if st.Token < 0 && st.Kind < 5 && len(m.Report().Tasks) != before {
					wrong = "commands with a lower token changed something"
				}
				time.Sleep(time.Duration(st.Wait) * time.Millisecond)
				synctest.Wait()
				r = m.Report()
				synctest.Wait()
				live := map[string]bool{}
				for _, x := range r.Tasks {
					if x.State == wire.TaskRunning {
						live[x.Task] = true
					}
				}
				s.mu.Lock()
				if s.twice != "" || len(s.running) != len(live) || len(s.running) > 4 {
					wrong = fmt.Sprintf("twice %q, reported %v, running %d", s.twice, live, len(s.running))
				}
				s.mu.Unlock()
			}
			session := m.Report().Session
			time.Sleep(11 * time.Second)
			m.Expire()
			synctest.Wait()
			if r := m.Report(); len(s.running) != 0 || len(r.Tasks) != 0 || r.Session <= session {
				wrong = fmt.Sprintf("after the lease: %d run, report %+v", len(s.running), r)
			}
			m.Close()
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// A result is kept: a task that is started again exits with done at once.
func TestRepeatedTaskReturnsItsStoredResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{running: map[string]*fake{}}
		m := machine(s)
		order := func(verb string, attempt uint64) {
			m.Orders(wire.Orders{Token: 1, Session: 1, Commands: []wire.Command{{Verb: verb, Task: "j-1/0", Attempt: attempt}}})
			synctest.Wait()
		}
		order(wire.VerbStart, 1)
		s.running["j-1/0"].finish(true)
		synctest.Wait()
		order(wire.VerbForget, 1)
		order(wire.VerbStart, 2)
		if r := m.Report(); len(r.Tasks) != 1 || r.Tasks[0].Cause != wire.CauseDone || len(s.running) != 0 {
			t.Errorf("%+v", r.Tasks)
		}
		m.Close()
	})
}

func processes(t *testing.T, dir string) *worker.Processes {
	p, err := worker.NewProcesses(dir, 100, quiet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func run(t *testing.T, p *worker.Processes, task, script string) (worker.Process, chan bool) {
	exited := make(chan bool, 1)
	pr, err := p.Start(task, 1, &taskspec.Spec{Argv: []string{"sh"}, Script: script, CPUs: 1, Env: map[string]string{"GREETING": "hello"}}, func(code int) { exited <- code == 0 })
	if err != nil {
		t.Fatal(err)
	}
	return pr, exited
}

func await(t *testing.T, exited chan bool) bool {
	select {
	case ok := <-exited:
		return ok
	case <-time.After(20 * time.Second):
		t.Fatal("the task did not end")
		return false
	}
}

func alive(pid int) bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err == nil && !strings.Contains(string(data), ") Z ")
}

// pidIn waits for a number that a task writes.
func pidIn(t *testing.T, file string) int {
	for range 400 {
		data, _ := os.ReadFile(file) // not there yet
		if n, err := strconv.Atoi(strings.TrimSpace(string(data))); err == nil {
			return n
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no process number in " + file)
	return 0
}

func gone(t *testing.T, pid int, why string) {
	for range 400 {
		if !alive(pid) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("process %d still runs after %s", pid, why)
}

func TestAllProcessesOfATaskAreKilled(t *testing.T) {
	p := processes(t, t.TempDir())
	_, ended := run(t, p, "j-1/0", `echo "$GREETING $WALLRACK_JOB $WALLRACK_TASK"; head -c 500 /dev/zero | tr '\0' x >&2`)
	if !await(t, ended) {
		t.Error("a good task failed")
	}
	out, _ := os.ReadFile(filepath.Join(p.TaskDir("j-1/0", 1), worker.StdoutFile)) // the check below says it
	if string(out) != "hello j-1 0\n" {
		t.Errorf("wrote %q", out)
	}
	errs, _ := os.ReadFile(filepath.Join(p.TaskDir("j-1/0", 1), worker.StderrFile))
	if len(errs) > 200 || !strings.Contains(string(errs), "400 bytes more") {
		t.Errorf("%d bytes kept: %q", len(errs), errs)
	}
	if _, ended := run(t, p, "j-1/1", "exit 3"); await(t, ended) {
		t.Error("exit code 3 counted as done")
	}
	// A task that ignores the first signal, and its child, go with the second.
	pr, ended := run(t, p, "j-1/2", "trap '' TERM; sleep 60 & echo $! > child; wait; sleep 60")
	child := pidIn(t, filepath.Join(p.TaskDir("j-1/2", 1), "child"))
	pr.Stop(200 * time.Millisecond)
	if await(t, ended) {
		t.Error("a stopped task counted as done")
	}
	gone(t, child, "its task was stopped")
	// What a task leaves running goes with it.
	_, ended = run(t, p, "j-1/3", "sleep 60 >/dev/null 2>&1 & echo $! > child")
	await(t, ended)
	gone(t, pidIn(t, filepath.Join(p.TaskDir("j-1/3", 1), "child")), "its task ended")
}

// killedWorker runs a worker with a task whose first process starts another, kills
// the worker, and returns its directory and the processes' numbers. The calling test
// is run again as that worker, which never returns from here.
func killedWorker(t *testing.T) (dir string, first, child int) {
	if dir := os.Getenv("WORKER_TEST_DIR"); dir != "" { // the worker to be killed
		p := processes(t, dir)
		run(t, p, "j-1/0", "[ -e pid ] && echo 1 > noted || echo 0 > noted; sleep 60 & echo $! > child; echo $$ > first; wait")
		time.Sleep(time.Minute)
		t.Fatal("the worker was not killed")
	}
	dir = t.TempDir()
	cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), "WORKER_TEST_DIR="+dir)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	first, child = pidIn(t, filepath.Join(dir, "j-1.0.1", "first")), pidIn(t, filepath.Join(dir, "j-1.0.1", "child"))
	_ = cmd.Process.Signal(syscall.SIGKILL)
	_ = cmd.Wait()
	return dir, first, child
}

// A worker that is itself killed leaves nothing: the kernel ends the tasks' first
// processes, the next worker the rest.
func TestKilledWorkerLeavesNoProcesses(t *testing.T) {
	dir, first, child := killedWorker(t)
	gone(t, first, "its worker was killed")
	processes(t, dir)
	gone(t, child, "the next worker started")
}

// Nor does one that is killed after it started a task's first process and before it
// noted that process's number: the note is there before the process, and without a
// number the next worker finds the task's processes all the same.
func TestWorkerKilledBeforeItNotedATaskLeavesNoProcesses(t *testing.T) {
	dir, first, child := killedWorker(t)
	gone(t, first, "its worker was killed")
	if noted := pidIn(t, filepath.Join(dir, "j-1.0.1", "noted")); noted != 1 {
		t.Error("the task's first process ran before there was a note of it")
	}
	if err := os.WriteFile(filepath.Join(dir, "j-1.0.1", "pid"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	// Another worker on this machine, with its tasks elsewhere, leaves them alone.
	other := t.TempDir()
	if err := os.Mkdir(filepath.Join(other, "j-1.0.1"), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(other, "j-1.0.1", "pid"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	var ended strings.Builder
	worker.EndLeftovers(other, slog.New(slog.NewTextHandler(&ended, nil)))
	if ended.Len() > 0 {
		t.Errorf("a worker ended another worker's task: %s", &ended)
	}
	processes(t, dir)
	gone(t, child, "the next worker started")
}
