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

// KillOrphanedProcesses kills the process groups that a worker with its tasks in dir, which
// was itself killed, may have left: the kernel ends only their first process. Processes
// that can't be read are skipped. It does not wait for the ends.
func KillOrphanedProcesses(dir string, log *slog.Logger) {
	pidFiles, _ := filepath.Glob(filepath.Join(dir, "*", pidFile)) // the pattern is well formed
	for _, file := range pidFiles {
		groups, err := orphanedGroups(file)
		if err != nil {
			continue // tried again at the next start
		}
		for _, group := range groups {
			if err := syscall.Kill(-group, syscall.SIGKILL); err == nil {
				log.Info("process group of an earlier worker killed", "group", group)
			}
		}
		_ = os.Remove(file) // tried again at the next start if it stays
	}
}

// orphanedGroups finds the process groups of the task that a note belongs to. A
// note without a number is of a task whose worker was killed while it started it;
// its processes are found by their environment.
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
	// The number could be another process group's by now.
	return groupsWithEnvironment(attemptVar+"=", group), nil
}

// taskDirEntry is the entry of a task's environment that names its directory. It
// differs between the workers of a machine, which the other entries don't.
func taskDirEntry(taskDir string) (string, error) {
	absolute, err := filepath.Abs(taskDir)
	if err != nil {
		return "", fmt.Errorf("task's directory: %w", err)
	}
	return taskDirVar + "=" + absolute, nil
}

// groupsWithEnvironment finds the process groups in which a process has an entry
// in its environment that begins with prefix. A group other than 0 limits the
// search to it.
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

// processGroup reads the group of the process with a directory below /proc. Groups
// that can't be a task's, such as the kernel's, are left out.
func processGroup(directory string) (group int, ok bool) {
	status, err := readProcessStatus(directory)
	return status.group, err == nil && status.group > 1
}

// Limits of the wait for a process that is in exec.
const (
	execTimeout  = time.Second
	execInterval = time.Millisecond
)

// processEnvironment reads the environment of the process with a directory below
// /proc. While a process is in exec the kernel shows an empty one, which is waited
// out.
func processEnvironment(directory string) ([]byte, error) {
	for deadline := time.Now().Add(execTimeout); ; time.Sleep(execInterval) {
		environment, err := os.ReadFile(filepath.Join(directory, "environ"))
		if err != nil || len(environment) > 0 {
			return environment, err
		}
		status, err := readProcessStatus(directory)
		if err != nil || status.ended || status.emptyEnvironment || time.Now().After(deadline) {
			return nil, err
		}
	}
}

// processStatus is what is read of a process's stat file.
type processStatus struct {
	group         int
	ended         bool // but not yet waited for
	emptyEnvironment bool // it has exec behind it, and an environment without entries
}

// Fields of a stat file, counted from the one after the process's name.
const (
	stateField            = 0
	groupField            = 2
	codeStartField        = 23
	environmentStartField = 47
	environmentEndField   = 48
)

// readProcessStatus reads the stat file of the process with a directory below /proc.
func readProcessStatus(directory string) (processStatus, error) {
	data, err := os.ReadFile(filepath.Join(directory, "stat"))
	if err != nil {
		return processStatus{}, err
	}
	// The name may hold spaces and parentheses.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) <= environmentEndField {
		return processStatus{}, fmt.Errorf("%s: %d fields after the name", directory, len(fields))
	}
	group, err := strconv.Atoi(fields[groupField])
	if err != nil {
		return processStatus{}, fmt.Errorf("%s: process group: %w", directory, err)
	}
	// In exec the kernel sets the environment's end to its start before it copies the
	// entries; the code's start is set only after that.
	execDone := fields[codeStartField] != "0"
	start, end := fields[environmentStartField], fields[environmentEndField]
	return processStatus{
		group:         group,
		ended:         fields[stateField] == "Z" || fields[stateField] == "X",
		emptyEnvironment: execDone && end != "0" && start == end,
	}, nil
}
