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

// Processes runs tasks as process groups below a directory, one each. It is safe for
// concurrent use.
type Processes struct {
	WorkerName string // its name, for tasks; set it before the first one starts

	dir      string
	maxLog   int64
	log      *slog.Logger
	mu       sync.Mutex
	groups   map[int]*process // by process group
	closed   bool
	watchers sync.WaitGroup
}

// NewProcesses prepares dir and ends what an earlier worker left running there.
// What a task writes to standard output and error beyond maxLog bytes each is
// dropped, with a note.
func NewProcesses(dir string, maxLog int64, log *slog.Logger) (*Processes, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("tasks' directory: %w", err)
	}
	p := &Processes{dir: dir, maxLog: maxLog, log: log, groups: map[int]*process{}}
	EndLeftovers(dir, log)
	return p, nil
}

// TaskDir is where the files of a task's attempt are.
func (p *Processes) TaskDir(task string, attempt uint64) string {
	return filepath.Join(p.dir, strings.ReplaceAll(task, "/", ".")+"."+strconv.FormatUint(attempt, 10))
}

// process is a task's process group.
type process struct {
	pgid int
	port int
	dir  string
	done chan struct{} // closed when the group has ended

	mu         sync.Mutex
	terminated bool // SIGTERM was sent; SIGKILL follows
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
	// Should another process take the port first, the task fails, and is started
	// again with another.
	ports, err := subprocess.FreePorts(1)
	if err != nil {
		return nil, err
	}
	cmd.Env = append(os.Environ(), "WALLRACK_PORT="+strconv.Itoa(ports[0]), "WALLRACK_JOB="+job, "WALLRACK_TASK="+strconv.Itoa(number), attemptVar+"="+strconv.FormatUint(attempt, 10))
	for name, value := range spec.Env {
		cmd.Env = append(cmd.Env, name+"="+value)
	}
	marker, err := taskMarker(dir)
	if err != nil {
		return nil, err
	}
	cmd.Env = append(cmd.Env, marker) // after the job's own, so that none of those replaces it
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
	if err := p.start(cmd, proc, func() { exited(p.watch(cmd, proc, outputs)) }); err != nil {
		outputs.discard()
		return nil, err
	}
	return proc, nil
}

// taskCommand makes a task's directory, and the command that a description says.
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
	// A grandchild that keeps the output open must not keep the task.
	cmd.WaitDelay = time.Second
	return cmd, nil
}

// start starts a task's first process and notes it, for a later worker to find; watch is
// run in a goroutine that Close waits for. The note is there, without a number, before
// the process is: the worker may be killed at any time.
func (p *Processes) start(cmd *exec.Cmd, proc *process, watch func()) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errors.New("the worker is ending")
	}
	note, err := os.Create(filepath.Join(proc.dir, pidFile))
	if err != nil {
		return fmt.Errorf("note of the task's process: %w", err)
	}
	defer func() { _ = note.Close() }() // what was written counts, and is checked
	if err := subprocess.Start(cmd); err != nil {
		_ = os.Remove(note.Name()) // one that stays finds no process
		return fmt.Errorf("start: %w", err)
	}
	proc.pgid = cmd.Process.Pid
	p.groups[proc.pgid] = proc
	if _, err := note.WriteString(strconv.Itoa(proc.pgid)); err != nil {
		p.log.Error("noting a task's process group failed", "dir", proc.dir, "err", err)
	}
	p.watchers.Go(watch) // with the lock held, so that Close can't miss it
	return nil
}

// watch waits for a task's first process, ends the rest of its group, and returns its
// exit code.
func (p *Processes) watch(cmd *exec.Cmd, proc *process, outputs *taskOutputs) int {
	err := cmd.Wait()
	_ = syscall.Kill(-proc.pgid, syscall.SIGKILL) // mostly the group has ended
	p.mu.Lock()
	delete(p.groups, proc.pgid)
	p.mu.Unlock()
	outputs.close()
	_ = os.Remove(filepath.Join(proc.dir, pidFile)) // one that stays finds no process
	close(proc.done)
	return exitCode(err)
}

// exitCode is a process's exit code as shells have it.
func exitCode(err error) int {
	var ended *exec.ExitError
	switch {
	case err == nil, errors.Is(err, exec.ErrWaitDelay):
		return 0
	case !errors.As(err, &ended):
		return 1
	}
	if status, ok := ended.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		return 128 + int(status.Signal())
	}
	return max(1, ended.ExitCode())
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
		_ = syscall.Kill(-pr.pgid, syscall.SIGKILL) // ended already: as wanted
		return
	}
	if pr.terminated {
		return // its grace period has begun
	}
	pr.terminated = true
	_ = syscall.Kill(-pr.pgid, syscall.SIGTERM) // ended already: as wanted
	// Not stopped when the task ends earlier: it does nothing then.
	time.AfterFunc(grace, func() { pr.Stop(0) })
}

// Port is the port that a running attempt was given, or 0.
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

// Close kills all tasks and waits until they have ended. No task starts afterwards.
func (p *Processes) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	for _, proc := range p.groups {
		_ = syscall.Kill(-proc.pgid, syscall.SIGKILL) // ended already: as wanted
	}
	p.mu.Unlock()
	p.watchers.Wait()
}
