package worker_test

import (
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/worker"
)

// newProcesses runs tasks below dir until the test ends.
func newProcesses(t *testing.T, dir string) *worker.Processes {
	p, err := worker.NewProcesses(dir, 100, discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// startScript starts attempt 1 of a task as a script of sh. The channel gets whether it
// ended with code 0.
func startScript(t *testing.T, p *worker.Processes, task, script string) (worker.Process, chan bool) {
	exited := make(chan bool, 1)
	process, err := p.Start(task, 1, &taskspec.Spec{Argv: []string{"sh"}, Script: script, CPUs: 1, Env: map[string]string{"GREETING": "hello"}}, func(code int) { exited <- code == 0 })
	if err != nil {
		t.Fatal(err)
	}
	return process, exited
}

// awaitExit waits for a task, and reports whether it ended with code 0.
func awaitExit(t *testing.T, exited chan bool) bool {
	select {
	case ok := <-exited:
		return ok
	case <-time.After(20 * time.Second):
		t.Fatal("the task did not end")
		return false
	}
}

// isRunning reports whether a process runs.
func isRunning(pid int) bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err == nil && !strings.Contains(string(data), ") Z ")
}

// awaitPid waits for a number that a task writes.
func awaitPid(t *testing.T, file string) int {
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

// expectProcessEnds waits for the end of a process.
func expectProcessEnds(t *testing.T, pid int, why string) {
	for range 400 {
		if !isRunning(pid) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("process %d still runs after %s", pid, why)
}

func TestAllProcessesOfAnEndedTaskAreKilled(t *testing.T) {
	p := newProcesses(t, t.TempDir())
	_, ended := startScript(t, p, "j-1/0", `echo "$GREETING $WALLRACK_JOB $WALLRACK_TASK"; head -c 500 /dev/zero | tr '\0' x >&2`)
	if !awaitExit(t, ended) {
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
	if _, ended := startScript(t, p, "j-1/1", "exit 3"); awaitExit(t, ended) {
		t.Error("exit code 3 counted as done")
	}
	// A task that ignores the first signal, and its child, go with the second.
	process, ended := startScript(t, p, "j-1/2", "trap '' TERM; sleep 60 & echo $! > child; wait; sleep 60")
	child := awaitPid(t, filepath.Join(p.TaskDir("j-1/2", 1), "child"))
	process.Stop(200 * time.Millisecond)
	if awaitExit(t, ended) {
		t.Error("a stopped task counted as done")
	}
	expectProcessEnds(t, child, "its task was stopped")
	// What a task leaves running goes with it.
	_, ended = startScript(t, p, "j-1/3", "sleep 60 >/dev/null 2>&1 & echo $! > child")
	awaitExit(t, ended)
	expectProcessEnds(t, awaitPid(t, filepath.Join(p.TaskDir("j-1/3", 1), "child")), "its task ended")
}

// startAndKillWorker runs a worker with a task whose first process starts another, kills
// the worker, and returns its directory and the processes' numbers. The calling test
// is run again as that worker, which never returns from here.
func startAndKillWorker(t *testing.T) (dir string, first, child int) {
	if dir := os.Getenv("WORKER_TEST_DIR"); dir != "" { // the worker to be killed
		p := newProcesses(t, dir)
		startScript(t, p, "j-1/0", "[ -e pid ] && echo 1 > noted || echo 0 > noted; sleep 60 & echo $! > child; echo $$ > first; wait")
		time.Sleep(time.Minute)
		t.Fatal("the worker was not killed")
	}
	dir = t.TempDir()
	cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), "WORKER_TEST_DIR="+dir)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	first, child = awaitPid(t, filepath.Join(dir, "j-1.0.1", "first")), awaitPid(t, filepath.Join(dir, "j-1.0.1", "child"))
	_ = cmd.Process.Signal(syscall.SIGKILL)
	_ = cmd.Wait()
	return dir, first, child
}

// A worker that is itself killed leaves nothing: the kernel ends the tasks' first
// processes, the next worker the rest.
func TestKilledWorkerLeavesNoProcesses(t *testing.T) {
	dir, first, child := startAndKillWorker(t)
	expectProcessEnds(t, first, "its worker was killed")
	newProcesses(t, dir)
	expectProcessEnds(t, child, "the next worker started")
}

// Nor does one that is killed after it started a task's first process and before it
// noted that process's number: the note is there before the process, and without a
// number the next worker finds the task's processes all the same.
func TestWorkerKilledBeforeWritingAPidLeavesNoProcesses(t *testing.T) {
	dir, first, child := startAndKillWorker(t)
	expectProcessEnds(t, first, "its worker was killed")
	if noted := awaitPid(t, filepath.Join(dir, "j-1.0.1", "noted")); noted != 1 {
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
	worker.KillOrphanedProcesses(other, slog.New(slog.NewTextHandler(&ended, nil)))
	if ended.Len() > 0 {
		t.Errorf("a worker ended another worker's task: %s", &ended)
	}
	newProcesses(t, dir)
	expectProcessEnds(t, child, "the next worker started")
}
