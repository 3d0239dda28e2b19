package jobstate

import (
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/wire"
)

// Stages of jobs at a leader that has just loaded them, and once all workers' earlier leases have ended.
func TestLoadedJobAlwaysHasAStage(t *testing.T) {
	loadedAt := time.Now()
	state := &State{Platform: &config.Platform{Params: config.Params{Workers: config.Workers{LeaseS: 44}}}, LoadedAt: loadedAt}
	longestLease := config.Seconds(state.Platform.Params.Workers.MaxLeaseS())
	placed := func(placement Placement) map[int][]*Placement {
		placement.CreatedAt = loadedAt
		return map[int][]*Placement{0: {&placement}}
	}
	unconfirmed := placed(Placement{State: PlacementUnconfirmed})
	for name, c := range map[string]struct {
		job              Job
		atLoad, afterAll string // stages
	}{
		"never placed":                         {Job{}, wire.StageQueued, wire.StageQueued},
		"its workers never report":             {Job{Placements: unconfirmed}, wire.StageRunning, wire.StageQueued},
		"tasks are done, its worker is silent": {Job{Done: 3, Placements: unconfirmed}, wire.StageRunning, wire.StageQueued},
		"tasks are done and none runs":         {Job{Done: 3}, wire.StageQueued, wire.StageQueued},
		"its worker does not run it":           {Job{Placements: placed(Placement{State: PlacementUnconfirmed, Compared: true})}, wire.StageQueued, wire.StageQueued},
		"a task exited":                        {Job{Placements: placed(Placement{State: PlacementUnconfirmed, Exited: true})}, wire.StageQueued, wire.StageQueued},
		"a task runs":                          {Job{Running: 1, Placements: placed(Placement{State: PlacementReported})}, wire.StageRunning, wire.StageRunning},
		"a waiting gang":                       {Job{Placements: placed(Placement{State: PlacementRecorded})}, wire.StageQueued, wire.StageQueued},
		"cancelled, its worker is silent":      {Job{Cancelled: true, Placements: unconfirmed}, wire.StageCancelled, wire.StageCancelled},
	} {
		c.job.Spec = &wire.Job{UID: "j-1"}
		for at, want := range map[time.Duration]string{0: c.atLoad, longestLease: c.afterAll} {
			got := state.PublicState(&c.job, loadedAt.Add(at))
			if got != (wire.JobState{UID: "j-1", Stage: want, Done: c.job.Done, Running: c.job.Running}) {
				t.Errorf("%s, %v after the load: %+v, not %s", name, at, got, want)
			}
		}
	}
}
