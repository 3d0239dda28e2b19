package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/wallrack/wallrack/internal/subprocess"
)

// process is a controller's process, which can be killed, paused and started again. It is safe for
// concurrent use.
type process struct {
	exe     string
	args    []string
	logFile string

	shortOfTime atomic.Bool // a processor shortage is being played on it

	mu     sync.Mutex
	cmd    *exec.Cmd     // nil: not running
	exited chan struct{} // closed when cmd has exited
	paused int           // number of pauses in effect
	crash  error         // the process ended by itself
}

// start starts the process unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("log of a controller: %w", err)
	}
	defer func() { _ = log.Close() }() // the child process has a descriptor of its own
	cmd := exec.Command(p.exe, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	if err := subprocess.Start(cmd); err != nil {
		return fmt.Errorf("start %s: %w", p.exe, err)
	}
	p.cmd, p.exited, p.paused = cmd, make(chan struct{}), 0
	go p.wait(cmd, p.exited)
	return nil
}

// wait waits for a process, and records if nobody killed it.
func (p *process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == cmd {
		p.cmd = nil
		p.crash = errors.Join(p.crash, fmt.Errorf("a controller ended by itself, see %s: %w", p.logFile, err))
	}
	close(exited)
}

// kill ends the process and waits until it has ended.
func (p *process) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	subprocess.SignalGroup(cmd, syscall.SIGKILL)
	<-exited
}

// pause stops the process until resume was called as often. A process that is killed meanwhile starts
// unpaused.
func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused++
	if p.cmd != nil {
		subprocess.SignalGroup(p.cmd, syscall.SIGSTOP)
	}
}

func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused--; p.paused <= 0 && p.cmd != nil {
		p.paused = 0
		subprocess.SignalGroup(p.cmd, syscall.SIGCONT)
	}
}

// crashed returns an error if the process has ended by itself.
func (p *process) crashed() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crash
}
