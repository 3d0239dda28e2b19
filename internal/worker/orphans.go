package worker

import (
	"bytes"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Variables in the environment of every task.
const (
	attemptVar = "WALLRACK_ATTEMPT"
	taskDirVar = "WALLRACK_TASK_DIR"
)

const (
	orphanExitTimeout  = 10 * time.Second
	orphanExitInterval = 5 * time.Millisecond
)

// KillOrphanedProcesses kills the process groups that an earlier worker with its tasks in dir
// left behind when it was killed: the kernel kills only each task's first process. Processes
// whose /proc files can't be read are skipped. It returns once the killed processes have exited: a
// report without their tasks lets controllers start these elsewhere. It returns an error if some
// still run after orphanExitTimeout.
func KillOrphanedProcesses(dir string, log *slog.Logger) error {
	pidFiles, _ := filepath.Glob(filepath.Join(dir, "*", pidFile)) // the pattern is well formed
	deadline := time.Now().Add(orphanExitTimeout)
	for _, file := range pidFiles {
		groups, err := orphanedGroups(file)
		if err != nil {
			continue // retried at the next start of a worker
		}
		for _, group := range groups {
			if err := syscall.Kill(-group, syscall.SIGKILL); err == nil {
				log.Info("orphaned process group killed", "group", group)
			}
		}
		if len(groups) > 0 && !awaitOrphans(file, deadline) {
			return fmt.Errorf("orphaned processes of %s still run %v after they were killed", filepath.Dir(file), orphanExitTimeout)
		}
		_ = os.Remove(file) // if this fails, retried at the next start of a worker
	}
	return nil
}

// awaitOrphans waits until the task that a pid file belongs to has no process left, or until the
// deadline, and reports whether it has none.
func awaitOrphans(file string, deadline time.Time) bool {
	for {
		groups, err := orphanedGroups(file)
		if err != nil || len(groups) == 0 {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(orphanExitInterval)
	}
}

// orphanedGroups returns the process groups of the task that a pid file belongs to. An empty pid
// file means that the worker was killed while it started the task; the task's processes are then
// found by their environment.
func orphanedGroups(file string) ([]int, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	group, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil {
		dirEntry, err := taskDirEntry(filepath.Dir(file))
		if err != nil {
			return nil, err
		}
		return groupsWithEnvironment(dirEntry+"\x00", 0), nil
	}
	if group <= 1 {
		return nil, nil
	}
	// The pid may have been reused: only a group with a task's environment is returned.
	return groupsWithEnvironment(attemptVar+"=", group), nil
}

// taskDirEntry returns the environment entry that names a task's directory. Unlike the other
// entries, it differs between workers on the same machine.
func taskDirEntry(taskDir string) (string, error) {
	absolute, err := filepath.Abs(taskDir)
	if err != nil {
		return "", fmt.Errorf("task's directory: %w", err)
	}
	return taskDirVar + "=" + absolute, nil
}

// groupsWithEnvironment returns the process groups in which a process has an environment entry
// that begins with prefix. If group is not 0, only that group is searched.
func groupsWithEnvironment(prefix string, group int) []int {
	found := map[int]bool{}
	directories, _ := filepath.Glob("/proc/[0-9]*") // the pattern is well formed
	for _, directory := range directories {
		member, ok := processGroup(directory)
		if !ok || found[member] || group != 0 && member != group {
			continue
		}
		environment, err := processEnvironment(directory)
		if err == nil && bytes.Contains(append([]byte{0}, environment...), []byte("\x00"+prefix)) {
			found[member] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// processGroup returns the process group of the process with the given directory below /proc. ok
// is false for groups that can't be a task's, such as those of kernel threads.
func processGroup(directory string) (group int, ok bool) {
	status, err := readProcessStatus(directory)
	return status.group, err == nil && status.group > 1
}

// Timeout and interval for polling the environment of a process during exec.
const (
	execTimeout  = time.Second
	execInterval = time.Millisecond
)

// processEnvironment reads the environment of the process with the given directory below /proc.
// The kernel shows an empty environment during exec, so an empty one is read again until exec has
// finished.
func processEnvironment(directory string) ([]byte, error) {
	for deadline := time.Now().Add(execTimeout); ; time.Sleep(execInterval) {
		environment, err := os.ReadFile(filepath.Join(directory, "environ"))
		if err != nil || len(environment) > 0 {
			return environment, err
		}
		status, err := readProcessStatus(directory)
		if err != nil || status.exited || status.emptyEnvironment || time.Now().After(deadline) {
			return nil, err
		}
	}
}

// processStatus holds the required fields of a process's stat file.
type processStatus struct {
	group            int
	exited           bool // exited, but not yet waited for
	emptyEnvironment bool // exec has finished, and the environment has no entries
}

// Indices of the fields in a stat file, counted from the field after the process name.
const (
	stateField            = 0
	groupField            = 2
	codeStartField        = 23
	environmentStartField = 47
	environmentEndField   = 48
)

// readProcessStatus reads the stat file of the process with the given directory below /proc.
func readProcessStatus(directory string) (processStatus, error) {
	data, err := os.ReadFile(filepath.Join(directory, "stat"))
	if err != nil {
		return processStatus{}, err
	}
	// The process name may contain spaces and parentheses.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) <= environmentEndField {
		return processStatus{}, fmt.Errorf("%s: %d fields after the name", directory, len(fields))
	}
	group, err := strconv.Atoi(fields[groupField])
	if err != nil {
		return processStatus{}, fmt.Errorf("%s: process group: %w", directory, err)
	}
	// During exec the kernel sets the end of the environment to its start, then copies the
	// entries, and last sets the code's start, which is 0 before.
	execDone := fields[codeStartField] != "0"
	start, end := fields[environmentStartField], fields[environmentEndField]
	return processStatus{
		group:            group,
		exited:           fields[stateField] == "Z" || fields[stateField] == "X",
		emptyEnvironment: execDone && end != "0" && start == end,
	}, nil
}
