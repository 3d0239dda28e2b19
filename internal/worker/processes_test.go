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

// newProcesses returns a runner with its tasks in dir, closed at the end of the test.
func newProcesses(t *testing.T, dir string) *worker.Processes {
	p, err := worker.NewProcesses(dir, 100, discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// startScript starts attempt 1 of a task that runs a shell script. The channel receives whether
// it exited with code 0.
func startScript(t *testing.T, p *worker.Processes, task, script string) (worker.Process, chan bool) {
	exited := make(chan bool, 1)
	process, err := p.Start(task, 1, &taskspec.Spec{Argv: []string{"sh"}, Script: script, CPUs: 1, Env: map[string]string{"GREETING": "hello"}}, func(code int) { exited <- code == 0 })
	if err != nil {
		t.Fatal(err)
	}
	return process, exited
}

// awaitExit waits until a task exits, and reports whether its exit code was 0.
func awaitExit(t *testing.T, exited chan bool) bool {
	select {
	case ok := <-exited:
		return ok
	case <-time.After(20 * time.Second):
		t.Fatal("the task did not end")
		return false
	}
}

// isRunning reports whether a process exists and is not a zombie.
func isRunning(pid int) bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err == nil && !strings.Contains(string(data), ") Z ")
}

// awaitPid waits until a task has written a number to a file, and returns it.
func awaitPid(t *testing.T, file string) int {
	for range 400 {
		data, _ := os.ReadFile(file) // the file may not exist yet
		if n, err := strconv.Atoi(strings.TrimSpace(string(data))); err == nil {
			return n
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no pid in " + file)
	return 0
}

// expectProcessEnds waits until a process has exited.
func expectProcessEnds(t *testing.T, pid int, why string) {
	for range 400 {
		if !isRunning(pid) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("process %d is still running after %s", pid, why)
}

func TestAllProcessesOfAnEndedTaskAreKilled(t *testing.T) {
	p := newProcesses(t, t.TempDir())
	_, ended := startScript(t, p, "j-1/0", `echo "$GREETING $WALLRACK_JOB $WALLRACK_TASK"; head -c 500 /dev/zero | tr '\0' x >&2`)
	if !awaitExit(t, ended) {
		t.Error("a task with exit code 0 was reported as failed")
	}
	out, _ := os.ReadFile(filepath.Join(p.TaskDir("j-1/0", 1), worker.StdoutFile)) // an unreadable file fails the check below
	if string(out) != "hello j-1 0\n" {
		t.Errorf("standard output is %q", out)
	}
	errs, _ := os.ReadFile(filepath.Join(p.TaskDir("j-1/0", 1), worker.StderrFile))
	if len(errs) > 200 || !strings.Contains(string(errs), "400 bytes more") {
		t.Errorf("%d bytes of standard error were stored: %q", len(errs), errs)
	}
	if _, ended := startScript(t, p, "j-1/1", "exit 3"); awaitExit(t, ended) {
		t.Error("a task with exit code 3 was reported as completed")
	}
	// A task that ignores SIGTERM is killed after the grace period, together with its child.
	process, ended := startScript(t, p, "j-1/2", "trap '' TERM; sleep 60 & echo $! > child; wait; sleep 60")
	child := awaitPid(t, filepath.Join(p.TaskDir("j-1/2", 1), "child"))
	process.Stop(200 * time.Millisecond)
	if awaitExit(t, ended) {
		t.Error("a stopped task was reported as completed")
	}
	expectProcessEnds(t, child, "its task was stopped")
	// Processes that a task leaves running are killed when it exits.
	_, ended = startScript(t, p, "j-1/3", "sleep 60 >/dev/null 2>&1 & echo $! > child")
	awaitExit(t, ended)
	expectProcessEnds(t, awaitPid(t, filepath.Join(p.TaskDir("j-1/3", 1), "child")), "its task ended")
}

// startAndKillWorker runs a worker with a task whose first process starts a child, kills the
// worker, and returns its directory and the pids of both processes. The worker is the test
// binary, run again with only the calling test; in that process this function does not return.
func startAndKillWorker(t *testing.T) (dir string, first, child int) {
	if dir := os.Getenv("WORKER_TEST_DIR"); dir != "" { // in the process to be killed
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

// After a worker is killed no process of its tasks remains: the kernel kills the tasks' first
// processes, and the next worker the rest.
func TestKilledWorkerLeavesNoProcesses(t *testing.T) {
	dir, first, child := startAndKillWorker(t)
	expectProcessEnds(t, first, "its worker was killed")
	newProcesses(t, dir)
	expectProcessEnds(t, child, "the next worker started")
}

// The same holds for a worker killed after it started a task's first process and before it wrote
// the pid: the pid file is created before the process starts, and the next worker finds the
// processes of an empty pid file by their environment.
func TestWorkerKilledBeforeWritingAPidLeavesNoProcesses(t *testing.T) {
	dir, first, child := startAndKillWorker(t)
	expectProcessEnds(t, first, "its worker was killed")
	if noted := awaitPid(t, filepath.Join(dir, "j-1.0.1", "noted")); noted != 1 {
		t.Error("the task's first process started before its pid file was created")
	}
	if err := os.WriteFile(filepath.Join(dir, "j-1.0.1", "pid"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	// A worker with another task directory on the same machine does not kill them.
	other := t.TempDir()
	if err := os.Mkdir(filepath.Join(other, "j-1.0.1"), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(other, "j-1.0.1", "pid"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	var ended strings.Builder
	err := worker.KillOrphanedProcesses(other, slog.New(slog.NewTextHandler(&ended, nil)))
	if err != nil || ended.Len() > 0 {
		t.Errorf("a worker killed another worker's task: %s, error %v", &ended, err)
	}
	newProcesses(t, dir)
	expectProcessEnds(t, child, "the next worker started")
}

// Controllers start the tasks of a killed worker elsewhere once the next worker reports.
func TestNextWorkerReportsNothingBeforeOrphansExited(t *testing.T) {
	dir, first, child := startAndKillWorker(t)
	newProcesses(t, dir)
	if isRunning(first) || isRunning(child) {
		t.Errorf("running beside the next worker: first process %v, its child %v", isRunning(first), isRunning(child))
	}
}
