package scale

import (
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// The violations counted by the tracker decide whether a run passes.
func TestTrackerCountsDuplicateRunsAndLimitViolations(t *testing.T) {
	track := newTracker([]Team{{"a", 1, 2}}, time.Second)
	for _, uid := range []string{"j-1", "j-2", "j-3"} {
		track.addJob(&job{Job: &wire.Job{UID: uid, Team: "a", Tasks: 1, CPUs: 1, Priority: priorityUrgent}, scheduledAt: time.Now().Add(-2 * time.Second)})
	}
	track.TaskStarted("j-1/0", 1, "n-1")
	track.TaskStarted("j-2/0", 1, "n-1")
	if a := track.teams["a"]; a.overLimit != 0 || track.ranTwice != 0 {
		t.Errorf("starts above the limit %d, duplicate runs %d", a.overLimit, track.ranTwice)
	}
	track.markLost("died", map[string]bool{"n-1": true})
	track.TaskEnded("j-1/0", "", false)
	track.TaskStarted("j-1/0", 1, "n-2")
	track.TaskStarted("j-2/0", 1, "n-2")
	if a := track.teams["a"]; a.overLimit != 1 || track.ranTwice != 1 || a.mostUsed != 3 {
		t.Errorf("starts above the limit %d, duplicate runs %d, most CPUs %v", a.overLimit, track.ranTwice, a.mostUsed)
	}
	track.TaskEnded("j-1/0", "", true)
	if _, completed := track.TaskStarted("j-1/0", 1, "n-3"); !completed {
		t.Error("a completed task was started again")
	}
	if e := track.recoveries[0]; e.tasks != 2 || e.restored != 2 || track.phase.urgentLate != 2 || track.phase.urgent != 3 {
		t.Errorf("restored %d of %d, %d of %d urgent late", e.restored, e.tasks, track.phase.urgentLate, track.phase.urgent)
	}
	if low := lowestRate10s([]int{9, 0, 10, 10, 10, 10, 10, 10, 10, 10, 10, 100}, 12); low != 8.9 {
		t.Errorf("lowest rate over ten seconds: %v", low)
	}
}
