// Package subprocess starts child processes that do not outlive this process. The kernel kills a
// child when the thread that started it ends, so one thread starts all children and lives as long
// as the process. Processes started by a child are not covered: the child must end them, or the
// caller must signal its process group. The package does not wait for children.
package subprocess

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os/exec"
	"runtime"
	"strconv"
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

// The range from which FreePorts chooses lies below the ports that the operating system gives to
// outgoing connections and to listeners that leave the choice to it: one of those could take a port
// before it is used, or while its process is being restarted.
const (
	firstPort       = 12_000
	lastPort        = 31_999
	maxPortAttempts = 1000
)

// FreePorts returns n different TCP ports on 127.0.0.1 that no process listens on. The ports are
// not reserved: another process may take one before the caller uses it.
func FreePorts(n int) ([]int, error) {
	ports := make([]int, 0, n)
	for range maxPortAttempts {
		if len(ports) == n {
			return ports, nil
		}
		port := firstPort + rand.IntN(lastPort-firstPort+1)
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue // in use
		}
		defer func() { _ = listener.Close() }() // all stay open until the last is found, so that the ports differ
		ports = append(ports, port)
	}
	return nil, fmt.Errorf("no free ports: %d of %d found from %d to %d", len(ports), n, firstPort, lastPort)
}

// SignalGroup sends a signal to the process group of a child that was started by Start. It does
// nothing if the child was not started or the group has exited.
func SignalGroup(cmd *exec.Cmd, sig syscall.Signal) {
	if cmd.Process != nil {
		_ = syscall.Kill(-cmd.Process.Pid, sig) // fails only if the group has exited
	}
}
