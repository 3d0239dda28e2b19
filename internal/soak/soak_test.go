package soak_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/soak"
)

// buildProgram builds wallrack and returns the program's path.
func buildProgram(t *testing.T) string {
	t.Helper()
	exe := filepath.Join(t.TempDir(), "wallrack")
	if out, err := exec.Command("go", "build", "-o", exe, "../../cmd/wallrack").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return exe
}

// play plays a schedule and fails the test if a rule was broken.
func play(t *testing.T, exe string, schedule *soak.Schedule) {
	t.Helper()
	dir, err := os.MkdirTemp("", "wallrack-soak-")
	if err != nil {
		t.Fatal(err)
	}
	run := soak.Run{Schedule: schedule, Exe: exe, Dir: dir}
	result, err := run.Do(t.Context())
	if err != nil {
		t.Fatalf("%v; logs: %s", err, dir)
	}
	t.Log(result)
	if len(result.Violations) > 0 {
		t.Fail()
		return
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Error(err)
	}
}

// TestRandomFaultsBreakNoRule is the short form of the command `wallrack soak`.
func TestRandomFaultsBreakNoRule(t *testing.T) {
	t.Parallel()
	exe := buildProgram(t)
	for _, seed := range []uint64{1, 2, 5} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			play(t, exe, soak.NewSchedule(seed))
		})
	}
}

func TestNoJobWaitsBesideIdleWorkersAfterLeadersEnded(t *testing.T) {
	t.Parallel()
	play(t, buildProgram(t), soak.NewSchedule(6))
}

func TestThousandsOfEndedJobsAreNotForgottenBehindALoadBalancer(t *testing.T) {
	t.Parallel()
	schedule := soak.NewSchedule(1)
	schedule.LoadBalancer, schedule.EndedJobs = true, 2000
	play(t, buildProgram(t), schedule)
}

func TestNoLeaseIsLostWhileControllersAreShortOfProcessorTime(t *testing.T) {
	t.Parallel()
	schedule := soak.NewSchedule(1)
	schedule.AddShortages(soak.ModeAlone)
	play(t, buildProgram(t), schedule)
}

func TestCopiesOfAnsweredCallsBreakNoRule(t *testing.T) {
	t.Parallel()
	schedule := soak.NewSchedule(1)
	schedule.AddRepeats(soak.ModeAlone)
	play(t, buildProgram(t), schedule)
}

func TestJobsAreNotForgottenWhileLeadersEndInALongSeries(t *testing.T) {
	t.Parallel()
	schedule := soak.NewSchedule(1)
	schedule.AddLeaderSeries(soak.ModeAlone)
	play(t, buildProgram(t), schedule)
}

func TestRunWithoutProgramSaysSo(t *testing.T) {
	run := soak.Run{Schedule: soak.NewSchedule(1), Exe: filepath.Join(t.TempDir(), "none"), Dir: t.TempDir()}
	if _, err := run.Do(t.Context()); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("%v", err)
	}
}

func TestInterruptedRunEndsItsChildren(t *testing.T) {
	dir := t.TempDir()
	run := soak.Run{Schedule: soak.NewSchedule(1), Exe: buildProgram(t), Dir: dir}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := run.Do(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%v", err)
	}
	commands, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil || len(commands) == 0 {
		t.Fatalf("%v, %d processes", err, len(commands))
	}
	for _, file := range commands {
		if command, err := os.ReadFile(file); err == nil && bytes.Contains(command, []byte(dir)) {
			t.Errorf("a child still runs: %q", command)
		}
	}
}
