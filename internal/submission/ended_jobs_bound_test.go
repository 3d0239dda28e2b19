package submission

import (
	"fmt"
	"testing"

	"github.com/wallrack/wallrack/internal/wire"
)

func TestRetainedEndedJobsAreBounded(t *testing.T) {
	var e endedJobs
	for i := range maxEndedJobs + 10 {
		for range 2 {
			e.add(wire.JobState{UID: fmt.Sprintf("j-%d", i), Stage: wire.StageDone})
		}
	}
	if _, ok := e.get("j-9"); ok || len(e.states) != maxEndedJobs || len(e.order) != maxEndedJobs {
		t.Errorf("%d jobs are retained", len(e.states))
	}
	if state, ok := e.get("j-10"); !ok || state.Stage != wire.StageDone {
		t.Errorf("the oldest of the last %d is gone: %+v", maxEndedJobs, state)
	}
}
