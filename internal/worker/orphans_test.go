package worker

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/subprocess"
)

// startWithEnvironment runs a shell script with only the given entries in its environment, and
// returns the process's directory below /proc.
func startWithEnvironment(t *testing.T, script string, entries ...string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "script")
	if err := os.WriteFile(file, []byte(script), 0o644); err != nil {
		t.Fatal(err)
	}
	command := exec.Command("/bin/sh", file)
	command.Env = entries
	if err := subprocess.Start(command); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait() // the process was killed
	})
	return fmt.Sprintf("/proc/%d", command.Process.Pid)
}

// The environment of a process that calls exec in a loop is always read. Otherwise a new worker
// would miss orphaned processes that are in exec at that moment.
func TestEnvironmentOfAProcessInExecIsRead(t *testing.T) {
	directory := startWithEnvironment(t, `exec /bin/sh "$0"`, attemptVar+"=1")
	for read := range 10_000 {
		environment, err := processEnvironment(directory)
		if err != nil || !bytes.Contains(environment, []byte(attemptVar+"=1")) {
			t.Fatalf("read %d: %q, %v", read, environment, err)
		}
	}
}

// A process without environment entries and a process that has exited don't delay the read until
// the timeout.
func TestEmptyEnvironmentAndEndedProcessReturnAtOnce(t *testing.T) {
	bare := startWithEnvironment(t, "exec /usr/bin/env -i /bin/sleep 60", attemptVar+"=1")
	ended := startWithEnvironment(t, "exit 0", attemptVar+"=1")
	for _, directory := range []string{bare, ended} {
		awaitStatus(t, directory, func(status processStatus) bool { return status.emptyEnvironment || status.exited })
		begin := time.Now()
		environment, err := processEnvironment(directory)
		if len(environment) > 0 || err != nil && !errors.Is(err, syscall.ESRCH) { // some kernels return ESRCH for an exited process
			t.Errorf("read environment %q, error %v", environment, err)
		}
		if took := time.Since(begin); took >= execTimeout {
			t.Errorf("read took %v, want less than the timeout", took)
		}
	}
}

// awaitStatus waits until a process's status satisfies a condition.
func awaitStatus(t *testing.T, directory string, condition func(processStatus) bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		status, err := readProcessStatus(directory)
		if err != nil {
			t.Fatal(err)
		}
		if condition(status) {
			return
		}
	}
	t.Fatal("the process did not reach the wanted status")
}
