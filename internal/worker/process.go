package worker

import (
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

// Processes runs tasks as process groups below a directory, one each.
type Processes struct {
	Machine string // its name, for tasks; set it before the first one starts

	dir      string
	maxLog   int64
	log      *slog.Logger
	mu       sync.Mutex
	groups   map[int]*process
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

// TaskDir is where a task's files are.
func (p *Processes) TaskDir(task string, attempt uint64) string {
	return filepath.Join(p.dir, strings.ReplaceAll(task, "/", ".")+"."+strconv.FormatUint(attempt, 10))
}

type process struct {
	pgid   int
	port   int
	dir    string
	done   chan struct{}
	mu     sync.Mutex
	asked  bool
	killed bool
}

// Start implements Runner.
func (p *Processes) Start(task string, attempt uint64, d *taskspec.Spec, exited func(code int)) (Process, error) {
	job, n, err := wire.ParseTask(task)
	if err != nil {
		return nil, err
	}
	dir := p.TaskDir(task, attempt)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("task's directory: %w", err)
	}
	argv := append([]string(nil), d.Argv...)
	if d.Script != "" {
		f := filepath.Join(dir, scriptFile)
		if err := os.WriteFile(f, []byte(d.Script), 0o755); err != nil {
			return nil, fmt.Errorf("script: %w", err)
		}
		argv = append(argv, f)
	}
	argv = append(argv, d.Args...)
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Dir = dir
	if d.Dir != "" {
		cmd.Dir = d.Dir
	}
	// Should another process take the port first, the task fails, and is started
	// again with another.
	ports, err := subprocess.FreePorts(1)
	if err != nil {
		return nil, err
	}
	cmd.Env = append(os.Environ(), "WALLRACK_PORT="+strconv.Itoa(ports[0]), "WALLRACK_JOB="+job, "WALLRACK_TASK="+strconv.Itoa(n), attemptVar+"="+strconv.FormatUint(attempt, 10))
	for k, v := range d.Env {
		cmd.Env = append(cmd.Env, k+"="+v)
	}
	marker, err := taskMarker(dir)
	if err != nil {
		return nil, err
	}
	cmd.Env = append(cmd.Env, marker) // last, so that no other replaces it
	var files [2]string
	if d.Slurm != nil {
		t, err := d.Slurm.Of(n, attempt, p.Machine)
		if err != nil {
			return nil, err
		}
		cmd.Env = append(cmd.Env, t.Environ()...)
		files[0], files[1] = t.Files(cmd.Dir)
	}
	outs, err := p.outputs(cmd, dir, files)
	if err != nil {
		return nil, err
	}
	// A grandchild that keeps the output open must not keep the task.
	cmd.WaitDelay = time.Second
	proc := &process{port: ports[0], dir: dir, done: make(chan struct{})}
	if err := p.start(cmd, proc); err != nil {
		for _, o := range outs {
			_ = o.f.Close()
		}
		return nil, err
	}
	p.watchers.Add(1)
	go func() {
		defer p.watchers.Done()
		err := cmd.Wait()
		// What the task left running goes with it.
		_ = syscall.Kill(-proc.pgid, syscall.SIGKILL) // mostly nobody is left
		p.mu.Lock()
		delete(p.groups, proc.pgid)
		p.mu.Unlock()
		for _, o := range outs {
			o.close()
		}
		_ = os.Remove(filepath.Join(dir, pidFile))
		close(proc.done)
		exited(exitCode(err))
	}()
	return proc, nil
}

// outputs opens what a task writes to: its own files, which are bounded, and those
// that its user named.
func (p *Processes) outputs(cmd *exec.Cmd, dir string, files [2]string) (outs []*bounded, err error) {
	defer func() {
		if err != nil {
			for _, o := range outs {
				_ = o.f.Close()
			}
		}
	}()
	named := map[string]*bounded{}
	for i, to := range []*io.Writer{&cmd.Stdout, &cmd.Stderr} {
		f, err := os.Create(filepath.Join(dir, [...]string{StdoutFile, StderrFile}[i]))
		if err != nil {
			return outs, fmt.Errorf("task's output: %w", err)
		}
		b := &bounded{f: f, left: p.maxLog}
		outs = append(outs, b)
		*to = b
		if files[i] == "" {
			continue
		}
		second := named[files[i]]
		if second == nil {
			f, err := os.Create(files[i])
			if err != nil {
				return outs, fmt.Errorf("task's output: %w", err)
			}
			second = &bounded{f: f, left: p.maxLog}
			named[files[i]] = second
			outs = append(outs, second)
		}
		*to = io.MultiWriter(b, second)
	}
	return outs, nil
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
	if st, ok := ended.Sys().(syscall.WaitStatus); ok && st.Signaled() {
		return 128 + int(st.Signal())
	}
	return max(1, ended.ExitCode())
}

// start starts a task's first process and notes it, for a later worker to find.
// The note is there, without a number, before the process is: the worker may be
// killed at any time.
func (p *Processes) start(cmd *exec.Cmd, proc *process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errors.New("the worker is ending")
	}
	note, err := os.Create(filepath.Join(proc.dir, pidFile))
	if err != nil {
		return fmt.Errorf("note of the task's process: %w", err)
	}
	defer note.Close() // what was written counts, and is checked
	if err := subprocess.Start(cmd); err != nil {
		_ = os.Remove(note.Name()) // one that stays finds no process
		return fmt.Errorf("start: %w", err)
	}
	proc.pgid = cmd.Process.Pid
	p.groups[proc.pgid] = proc
	if _, err := note.WriteString(strconv.Itoa(proc.pgid)); err != nil {
		p.log.Error("the number of a task's process can't be noted", "dir", proc.dir, "err", err)
	}
	return nil
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
		_ = syscall.Kill(-pr.pgid, syscall.SIGKILL) // gone already: as wanted
		return
	}
	if pr.asked {
		return // its time is running
	}
	pr.asked = true
	_ = syscall.Kill(-pr.pgid, syscall.SIGTERM)
	time.AfterFunc(grace, func() {
		select {
		case <-pr.done:
		default:
			pr.Stop(0)
		}
	})
}

// Port is the port that a running task was given, or 0.
func (p *Processes) Port(task string, attempt uint64) int {
	dir := p.TaskDir(task, attempt)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pr := range p.groups {
		if pr.dir == dir {
			return pr.port
		}
	}
	return 0
}

// Close kills whatever still runs and waits for it to be gone.
func (p *Processes) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	for _, pr := range p.groups {
		_ = syscall.Kill(-pr.pgid, syscall.SIGKILL)
	}
	p.mu.Unlock()
	p.watchers.Wait()
}

// bounded is a file that takes so many bytes and then drops the rest.
type bounded struct {
	mu   sync.Mutex
	f    *os.File
	left int64
	lost int64
}

// Write implements io.Writer; it never fails, so that a full disk or bound ends
// no task.
func (b *bounded) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(int64(len(data)), b.left)
	if n > 0 {
		w, err := b.f.Write(data[:n])
		b.left -= int64(w)
		if err != nil {
			b.left = 0
		}
		n = int64(w)
	}
	b.lost += int64(len(data)) - n
	return len(data), nil
}

func (b *bounded) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lost > 0 {
		_, _ = fmt.Fprintf(b.f, "\n[%d bytes more were dropped]\n", b.lost)
	}
	_ = b.f.Close()
	b.left = 0
}
