// Package subprocess starts child processes that do not outlive this process. The kernel kills a
// child when the thread that started it ends, so one thread starts all children and lives as long
// as the process. Processes started by a child are not covered: the child must end them, or the
// caller must signal its process group. The package does not wait for children.
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
	startRequests   = make(chan func())
)

// runStartLoop starts processes on a dedicated thread that never ends. If it ended, the kernel
// would kill all children.
func runStartLoop() {
	runtime.LockOSThread()
	for start := range startRequests {
		start()
	}
}

// Start starts cmd like exec.Cmd.Start, as the leader of a new process group. When this process
// ends for any reason, the kernel sends SIGKILL to the child, but not to the child's own
// children. SysProcAttr is replaced.
func Start(cmd *exec.Cmd) error {
	startThreadOnce.Do(func() { go runStartLoop() })
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	result := make(chan error, 1)
	startRequests <- func() { result <- cmd.Start() }
	return <-result
}

// FreePorts returns n different TCP ports on 127.0.0.1 that no process listens on. The ports are
// not reserved: another process may take one before the caller uses it.
func FreePorts(n int) ([]int, error) {
	ports := make([]int, 0, n)
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("no free port: %w", err)
		}
		defer func() { _ = listener.Close() }() // all stay open until the last is found, so that the ports differ
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// SignalGroup sends a signal to the process group of a child that was started by Start. It does
// nothing if the child was not started or the group has exited.
func SignalGroup(cmd *exec.Cmd, sig syscall.Signal) {
	if cmd.Process != nil {
		_ = syscall.Kill(-cmd.Process.Pid, sig) // fails only if the group has exited
	}
}
