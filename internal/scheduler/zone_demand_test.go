package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// If arrays with a zone rule are merged into one demand, or their running tasks are left out of it,
// the autoscaler can't apply the rule and counts on machines where the scheduler places no task.
func TestDemandOfJobsWithZoneRuleTellsTheirZones(t *testing.T) {
	cluster := newCluster(t, 0, 0)
	accept := func(uid string, change func(*wire.Job)) {
		job := &wire.Job{UID: uid, Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 4, CPUs: 2, MemoryGB: 1, EstimateS: 30, Spot: true}
		change(job)
		cluster.scheduler.JobAccepted(job, nil, 0, time.Now().UnixMilli(), 1)
	}
	for i := range 2 {
		accept(fmt.Sprintf("j-%d", 10+i), func(*wire.Job) {})
		accept(fmt.Sprintf("j-%d", 20+i), func(job *wire.Job) { job.Spread = true })
		accept(fmt.Sprintf("j-%d", 30+i), func(job *wire.Job) { job.OneZone = true })
		accept(fmt.Sprintf("j-%d", 40+i), func(job *wire.Job) { job.Spread, job.Tasks = true, 1 })
	}
	demand, _ := cluster.scheduler.Demand(20)
	merged, ruled := 0, 0
	for _, d := range demand {
		if d.Job.HasZoneRule() != (d.ZoneUse != nil) {
			t.Errorf("%s: zone use %v", d.Job.UID, d.ZoneUse)
		}
		if d.Job.HasZoneRule() {
			ruled++
			if d.Count != 4 {
				t.Errorf("%s: %d tasks", d.Job.UID, d.Count)
			}
		} else {
			merged += d.Count
		}
	}
	if ruled != 4 || merged != 10 || len(demand) != 5 {
		t.Errorf("%d demands, %d of jobs with a zone rule; %d tasks of other jobs", len(demand), ruled, merged)
	}
}
