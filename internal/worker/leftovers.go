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
)

// Variables in the environment of every task.
const (
	attemptVar = "WALLRACK_ATTEMPT"
	taskDirVar = "WALLRACK_TASK_DIR"
)

// EndLeftovers kills the process groups that a worker with its tasks in dir, which
// was itself killed, may have left: the kernel ends only their first process.
func EndLeftovers(dir string, log *slog.Logger) {
	notes, _ := filepath.Glob(filepath.Join(dir, "*", pidFile)) // the pattern is well formed
	for _, note := range notes {
		groups, err := leftoverGroups(note)
		if err != nil {
			continue
		}
		for _, group := range groups {
			if err := syscall.Kill(-group, syscall.SIGKILL); err == nil {
				log.Info("ended what an earlier worker left", "group", group)
			}
		}
		_ = os.Remove(note) // tried again at the next start if it stays
	}
}

// leftoverGroups finds the process groups of the task that a note belongs to. A
// note without a number is of a task whose worker was killed while it started it;
// its processes are found by their environment.
func leftoverGroups(note string) ([]int, error) {
	data, err := os.ReadFile(note)
	if err != nil {
		return nil, err
	}
	group, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil {
		marker, err := taskMarker(filepath.Dir(note))
		if err != nil {
			return nil, err
		}
		return groupsWithEnvironment(marker+"\x00", 0), nil
	}
	if group <= 1 {
		return nil, nil
	}
	// The number could belong to somebody else by now.
	return groupsWithEnvironment(attemptVar+"=", group), nil
}

// taskMarker is the entry of a task's environment that names its directory. It
// differs between the workers of a machine, which the other entries don't.
func taskMarker(taskDir string) (string, error) {
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
	stats, _ := filepath.Glob("/proc/[0-9]*/stat") // the pattern is well formed
	for _, stat := range stats {
		its, ok := processGroup(stat)
		if !ok || found[its] || group != 0 && its != group {
			continue
		}
		environment, err := os.ReadFile(filepath.Join(filepath.Dir(stat), "environ"))
		if err == nil && bytes.Contains(append([]byte{0}, environment...), []byte("\x00"+prefix)) {
			found[its] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// processGroup reads a process's group from its stat file. Groups that can't be a
// task's, such as the kernel's, are left out.
func processGroup(stat string) (group int, ok bool) {
	data, err := os.ReadFile(stat)
	if err != nil {
		return 0, false
	}
	// The name before it may hold spaces and parentheses.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) < 3 {
		return 0, false
	}
	group, err = strconv.Atoi(fields[2])
	return group, err == nil && group > 1
}
