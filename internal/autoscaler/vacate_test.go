package autoscaler

import (
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/wire"
)

// planAndCordon plans and cordons once, as each step of a settled leader does.
func (a *Autoscaler) planAndCordon(demand []planner.Demand) map[string]bool {
	now := time.Now()
	a.leadingSince = now.Add(-time.Hour)
	return a.cordon(now, demand, a.plan(now, demand))
}

// A job waits for ever if the plan counts on an on-demand worker that is cordoned in the same step,
// because machines that the job may not use have capacity to spare.
func TestWorkerIsNotCordonedWhileThePlanNeedsIt(t *testing.T) {
	spotRefused := func(a *Autoscaler) { a.refuse(func(o offer) bool { return o.Spot }) }
	for _, c := range []struct {
		name     string
		job      wire.Job
		use      *jobstate.ZoneUse
		change   func(*Autoscaler)
		cordoned bool
	}{
		{name: "no spot machines allowed", job: wire.Job{Tasks: 1}},
		{name: "spot allowed and free", job: wire.Job{Tasks: 1, Spot: true}, cordoned: true},
		{name: "spot allowed in another zone than that of the free ones", job: wire.Job{Tasks: 1, Spot: true, Zone: &testZones[1]}, cordoned: true},
		{name: "the same, and the cloud refuses spot machines", job: wire.Job{Tasks: 1, Spot: true, Zone: &testZones[1]}, change: spotRefused},
		{name: "spread, and the free ones are in the wrong zone", job: wire.Job{Tasks: 2, Spot: true, Spread: true}, use: &jobstate.ZoneUse{Zones: map[string]int{"a": 1}}, change: spotRefused},
		{name: "spread, and the free ones are in the right zone", job: wire.Job{Tasks: 2, Spot: true, Spread: true}, use: &jobstate.ZoneUse{Zones: map[string]int{"b": 1}}, change: spotRefused, cordoned: true},
	} {
		for _, before := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				a := newZonedAutoscaler()
				for range 4 {
					a.addMachine("a", true, 3)
				}
				onDemand := a.addMachine("b", false, 3)
				onDemand.cordoned = before
				if c.change != nil {
					c.change(a)
				}
				for range 3 {
					job := c.job
					d := zonedDemand(&job, 1, c.use)
					job.Kind, job.Spot = wire.KindService, c.job.Spot
					if cordoned := a.planAndCordon(d); cordoned[onDemand.name] != c.cordoned {
						t.Errorf("cordoned: %v, %d tasks left by the plan", cordoned, d[0].Count)
					}
				}
			})
		}
	}
}

// The tasks of several jobs that share the room beside a cordoned worker must not be counted there twice.
func TestWorkerIsNotCordonedIfItsTasksFitElsewhereOnlyOneByOne(t *testing.T) {
	a := newZonedAutoscaler()
	a.addMachine("a", false, 2)
	a.addMachine("b", false, 2)
	a.addMachine("c", true, tasksPerTestMachine)
	job := &wire.Job{Kind: wire.KindService, Tasks: 2}
	demand := append(zonedDemand(job, 2, nil), zonedDemand(job, 2, nil)...)
	job.Spot = false
	if cordoned := a.planAndCordon(demand); len(cordoned) != 0 {
		t.Errorf("cordoned: %v", cordoned)
	}
	if cordoned := a.planAndCordon(demand[:0]); len(cordoned) == 0 {
		t.Error("no worker is cordoned although no task waits")
	}
}
