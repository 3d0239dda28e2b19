package worker

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wallrack/wallrack/internal/subprocess"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// Files in a task's directory.
const (
	StdoutFile = "stdout"
	StderrFile = "stderr"
	pidFile    = "pid"
	scriptFile = "script"
)

// Processes runs each task as a process group, with a directory of its own below dir. It is safe
// for concurrent use.
type Processes struct {
	WorkerName string // passed to tasks; must be set before the first task starts

	dir      string
	maxLog   int64
	log      *slog.Logger
	mu       sync.Mutex
	groups   map[int]*process // by process group id
	closed   bool
	watchers sync.WaitGroup
}

// NewProcesses creates dir, kills the processes that an earlier worker left there and waits for their
// exit. Standard
// output and standard error of a task are cut off after maxLog bytes each, with a note of how
// much was dropped.
func NewProcesses(dir string, maxLog int64, log *slog.Logger) (*Processes, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("tasks' directory: %w", err)
	}
	p := &Processes{dir: dir, maxLog: maxLog, log: log, groups: map[int]*process{}}
	if err := KillOrphanedProcesses(dir, log); err != nil {
		return nil, err
	}
	return p, nil
}

// TaskDir returns the directory of a task's attempt.
func (p *Processes) TaskDir(task string, attempt uint64) string {
	return filepath.Join(p.dir, strings.ReplaceAll(task, "/", ".")+"."+strconv.FormatUint(attempt, 10))
}

// process is a task's process group.
type process struct {
	pgid int
	port int
	dir  string
	done chan struct{} // closed when the group has exited

	mu         sync.Mutex
	terminated bool // SIGTERM was sent; SIGKILL follows after the grace period
	killed     bool
}

// Start implements Runner.
func (p *Processes) Start(task string, attempt uint64, spec *taskspec.Spec, exited func(code int)) (Process, error) {
	job, number, err := wire.ParseTask(task)
	if err != nil {
		return nil, err
	}
	dir := p.TaskDir(task, attempt)
	cmd, err := taskCommand(dir, spec)
	if err != nil {
		return nil, err
	}
	// If another process takes the port first, the task fails and is started again with another
	// port.
	ports, err := subprocess.FreePorts(1)
	if err != nil {
		return nil, err
	}
	cmd.Env = append(os.Environ(), "WALLRACK_PORT="+strconv.Itoa(ports[0]), "WALLRACK_JOB="+job, "WALLRACK_TASK="+strconv.Itoa(number), attemptVar+"="+strconv.FormatUint(attempt, 10))
	for name, value := range spec.Env {
		cmd.Env = append(cmd.Env, name+"="+value)
	}
	dirEntry, err := taskDirEntry(dir)
	if err != nil {
		return nil, err
	}
	cmd.Env = append(cmd.Env, dirEntry) // after the job's own variables, so that none of them overrides it
	var userFiles [2]string
	if spec.Slurm != nil {
		slurm, err := spec.Slurm.NewTask(number, attempt, p.WorkerName)
		if err != nil {
			return nil, err
		}
		cmd.Env = append(cmd.Env, slurm.Environ()...)
		userFiles[0], userFiles[1] = slurm.Files(cmd.Dir)
	}
	outputs, err := openOutputs(cmd, dir, userFiles, p.maxLog)
	if err != nil {
		return nil, err
	}
	proc := &process{port: ports[0], dir: dir, done: make(chan struct{})}
	if err := p.startProcess(cmd, proc, func() { exited(p.waitForExit(cmd, proc, outputs)) }); err != nil {
		outputs.discard()
		return nil, err
	}
	return proc, nil
}

// taskCommand creates a task's directory and returns the command of its description.
func taskCommand(dir string, spec *taskspec.Spec) (*exec.Cmd, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("task's directory: %w", err)
	}
	argv := append([]string(nil), spec.Argv...)
	if spec.Script != "" {
		script := filepath.Join(dir, scriptFile)
		if err := os.WriteFile(script, []byte(spec.Script), 0o755); err != nil {
			return nil, fmt.Errorf("script: %w", err)
		}
		argv = append(argv, script)
	}
	argv = append(argv, spec.Args...)
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Dir = dir
	if spec.Dir != "" {
		cmd.Dir = spec.Dir
	}
	// A descendant that keeps the output open must not delay the task's exit.
	cmd.WaitDelay = time.Second
	return cmd, nil
}

// startProcess starts a task's first process and writes its pid file, by which a later worker finds
// orphaned processes. The file is created empty before the process starts, so that it exists even if
// the worker is killed before it has written the pid. watch runs in a goroutine that Close waits for.
// startProcess fails once Close has been called.
func (p *Processes) startProcess(cmd *exec.Cmd, proc *process, watch func()) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errors.New("worker is shutting down")
	}
	file, err := os.Create(filepath.Join(proc.dir, pidFile))
	if err != nil {
		return fmt.Errorf("create pid file: %w", err)
	}
	defer func() { _ = file.Close() }() // the write was checked
	if err := subprocess.Start(cmd); err != nil {
		_ = os.Remove(file.Name()) // a stale pid file matches no process
		return fmt.Errorf("start process: %w", err)
	}
	proc.pgid = cmd.Process.Pid
	p.groups[proc.pgid] = proc
	if _, err := file.WriteString(strconv.Itoa(proc.pgid)); err != nil {
		p.log.Error("write task's pid file failed", "dir", proc.dir, "err", err)
	}
	p.watchers.Go(watch) // while the lock is held, so that Close waits for it
	return nil
}

// waitForExit waits for a task's first process, kills the rest of its group and returns the exit
// code.
func (p *Processes) waitForExit(cmd *exec.Cmd, proc *process, outputs *taskOutputs) int {
	err := cmd.Wait()
	_ = syscall.Kill(-proc.pgid, syscall.SIGKILL) // usually the whole group has exited
	p.mu.Lock()
	delete(p.groups, proc.pgid)
	p.mu.Unlock()
	outputs.close()
	_ = os.Remove(filepath.Join(proc.dir, pidFile)) // a stale pid file matches no process
	close(proc.done)
	return exitCode(err)
}

// exitCode converts the error of cmd.Wait to an exit code. As in shells, the code of a process killed
// by a signal is 128 plus the signal's number. An error that holds no exit status is converted to 1.
func exitCode(err error) int {
	var exitErr *exec.ExitError
	switch {
	case err == nil, errors.Is(err, exec.ErrWaitDelay):
		return 0
	case !errors.As(err, &exitErr):
		return 1
	}
	if status, ok := exitErr.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		return 128 + int(status.Signal())
	}
	return max(1, exitErr.ExitCode())
}

// Stop implements Process.
func (pr *process) Stop(grace time.Duration) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	select {
	case <-pr.done:
		return
	default:
	}
	if grace <= 0 || pr.killed {
		pr.killed = true
		_ = syscall.Kill(-pr.pgid, syscall.SIGKILL) // fails only if the group has exited
		return
	}
	if pr.terminated {
		return // the grace period has begun
	}
	pr.terminated = true
	_ = syscall.Kill(-pr.pgid, syscall.SIGTERM) // fails only if the group has exited
	// The timer is not stopped when the task exits earlier; Stop then does nothing.
	time.AfterFunc(grace, func() { pr.Stop(0) })
}

// Port returns the port assigned to a running attempt, or 0 if the attempt is not running.
func (p *Processes) Port(task string, attempt uint64) int {
	dir := p.TaskDir(task, attempt)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proc := range p.groups {
		if proc.dir == dir {
			return proc.port
		}
	}
	return 0
}

// Close kills all tasks and waits until they have exited. No task can start afterwards. Later calls
// return immediately.
func (p *Processes) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	for _, proc := range p.groups {
		_ = syscall.Kill(-proc.pgid, syscall.SIGKILL) // fails only if the group has exited
	}
	p.mu.Unlock()
	p.watchers.Wait()
}
