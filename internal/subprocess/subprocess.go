// Package subprocess starts child processes that do not outlive this one: the kernel
// kills a child when the thread that started it ends, so one thread starts all of
// them and lives as long as the process. What a child starts itself is its own duty, or
// that of whoever signals its group. The package does not wait for children.
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
	startThreadOnce sync.Once
	starts          = make(chan func())
)

// runStartLoop runs starts on a thread of its own, which never ends: the kernel would kill
// all children with it.
func runStartLoop() {
	runtime.LockOSThread()
	for start := range starts {
		start()
	}
}

// Start starts cmd, as exec.Cmd.Start does, as the leader of a process group of its own.
// The kernel sends SIGKILL to that process, not to its own children, when this process
// ends in whatever way. SysProcAttr is replaced.
func Start(cmd *exec.Cmd) error {
	startThreadOnce.Do(func() { go runStartLoop() })
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	result := make(chan error, 1)
	starts <- func() { result <- cmd.Start() }
	return <-result
}

// FreePorts finds n different TCP ports of 127.0.0.1 that nothing listens on now.
// Nothing keeps another process from taking one before the child does.
func FreePorts(n int) ([]int, error) {
	ports := make([]int, 0, n)
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("no free port: %w", err)
		}
		defer func() { _ = listener.Close() }() // all stay taken until the last is found
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// SignalGroup sends a signal to the whole group of a child that Start started; if it was not
// started, or its group has ended, nothing is done.
func SignalGroup(cmd *exec.Cmd, sig syscall.Signal) {
	if cmd.Process != nil {
		_ = syscall.Kill(-cmd.Process.Pid, sig) // the group has ended: nothing to do
	}
}
