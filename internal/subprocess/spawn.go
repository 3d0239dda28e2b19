// Package subprocess starts child processes that do not outlive this one: the kernel
// ends a child when the thread that started it ends, so one thread starts all of
// them and lives as long as the process.
package subprocess

import (
	"fmt"
	"net"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

var (
	once   sync.Once
	starts = make(chan func())
)

// Start starts cmd as the leader of a process group of its own, which SIGKILL
// reaches if this process ends in whatever way.
func Start(cmd *exec.Cmd) error {
	once.Do(func() {
		go func() {
			runtime.LockOSThread() // for good
			for f := range starts {
				f()
			}
		}()
	})
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	result := make(chan error, 1)
	starts <- func() { result <- cmd.Start() }
	return <-result
}

// FreePorts finds ports of 127.0.0.1 that nobody listens on now. Nothing keeps
// another process from taking one before the child does.
func FreePorts(n int) ([]int, error) {
	var out []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("no free port: %w", err)
		}
		defer l.Close() // all stay taken until the last is found
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}

// Signal sends a signal to the whole group of a started child. That nobody is
// left is no error.
func Signal(cmd *exec.Cmd, sig syscall.Signal) {
	if cmd.Process != nil {
		_ = syscall.Kill(-cmd.Process.Pid, sig)
	}
}
