package autoscaler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/wire"
)

// testZones are the zones in which the tests' machine type is offered.
var testZones = []string{"a", "b", "c"}

// tasksPerTestMachine is how many tasks of a zonedDemand fit on an empty machine.
const tasksPerTestMachine = 4

// newZonedAutoscaler returns an autoscaler for machines of one type in the testZones.
func newZonedAutoscaler() *Autoscaler {
	return newTestAutoscaler(wire.MachineType{Name: "m", CPUs: 2 * tasksPerTestMachine, MemoryGB: 32, Price: 0.6, SpotPrice: 0.2, BootS: 20, Zones: testZones})
}

// addMachine adds a worker with room for the given number of tasks, whose other resources are in use
// for longer than any plan.
func (a *Autoscaler) addMachine(zone string, spot bool, freeTasks int) *instance {
	now := time.Now()
	name := fmt.Sprintf("n-%d", len(a.instances))
	load := &planner.WorkerLoad{Name: name, Type: "m", Zone: zone, Spot: spot, LastHeartbeat: now, Matrix: matching.NewWaitMatrix(
		matching.Resources{CPUs: 2 * tasksPerTestMachine, MemoryGB: 32},
		[]matching.Allocation{{Resources: matching.Resources{CPUs: 2 * float64(tasksPerTestMachine-freeTasks)}, RemainingS: jobstate.UnboundedRunS}}, nil)}
	inst := &instance{name: name, offer: offer{"m", zone, spot}, provisionedAt: now, discoveredAt: now, lastHeartbeat: now, load: load}
	a.instances[name] = inst
	return inst
}

// zonedDemand returns a demand of count tasks of the job, of which use counts those that run.
func zonedDemand(job *wire.Job, count int, use *jobstate.ZoneUse) []planner.Demand {
	job.Spot = true
	return []planner.Demand{{Resources: matching.Resources{CPUs: 2, MemoryGB: 2}, Job: job, Count: count, RunS: 600, SlackS: 20, ZoneUse: use}}
}

// wantedZones returns the number of machines that the plan wants by zone.
func wantedZones(wanted map[offer]int) map[string]int {
	zones := map[string]int{}
	for o, n := range wanted {
		zones[o.Zone] += n
	}
	return zones
}

// A lost replica of a spread service waits for ever if the plan counts on the free room beside the
// other replica, where the scheduler may not place it.
func TestPlanProvisionsForLostReplicaOfSpreadService(t *testing.T) {
	a := newZonedAutoscaler()
	a.addMachine("a", true, 3)
	w := a.wantedByPlan(time.Now(), zonedDemand(&wire.Job{Kind: wire.KindService, Tasks: 2, Spread: true}, 1, &jobstate.ZoneUse{Zones: map[string]int{"a": 1}}))
	if zones := wantedZones(w); len(w) != 1 || zones["b"]+zones["c"] != 1 {
		t.Errorf("plan wants %v, want one machine in zone b or c", w)
	}
}

// A replica that must be in the zone of the others waits for ever if the plan counts on room elsewhere.
func TestPlanProvisionsInZoneOfRunningReplicas(t *testing.T) {
	a := newZonedAutoscaler()
	a.addMachine("a", true, 0)
	a.addMachine("b", true, 4)
	w := a.wantedByPlan(time.Now(), zonedDemand(&wire.Job{Kind: wire.KindService, Tasks: 3, OneZone: true}, 1, &jobstate.ZoneUse{Zones: map[string]int{"a": 2}}))
	if zones := wantedZones(w); len(w) != 1 || zones["a"] != 1 {
		t.Errorf("plan wants %v, want one machine in zone a", w)
	}
}

// A gang of one zone never starts if its machines are provisioned in several zones, or if the plan
// counts on room in several.
func TestPlanProvisionsForGangInOneZone(t *testing.T) {
	a := newZonedAutoscaler()
	for _, zone := range testZones {
		a.addMachine(zone, true, 3)
	}
	a.addMachine("b", true, 2)
	w := a.wantedByPlan(time.Now(), zonedDemand(&wire.Job{Kind: wire.KindGang, Tasks: 9, OneZone: true}, 9, nil))
	if zones := wantedZones(w); len(w) != 1 || zones["b"] != 1 {
		t.Errorf("plan wants %v, want one machine in zone b, where 5 of the 9 tasks fit", w)
	}
}

// While the cloud refuses machines in the only zone that is left for a replica, none must be
// provisioned where it can't run, and the demand must remain, so that no worker is cordoned for it.
func TestPlanWantsNothingWhereZoneRulesForbidTheTask(t *testing.T) {
	a := newZonedAutoscaler()
	now := time.Now()
	a.refuse(func(o offer) bool { return o.Zone != "a" })
	d := zonedDemand(&wire.Job{Kind: wire.KindService, Tasks: 2, Spread: true}, 1, &jobstate.ZoneUse{Zones: map[string]int{"a": 1}})
	if w := a.wantedByPlan(now, d); len(w) != 0 || d[0].Count != 1 {
		t.Errorf("plan wants %v and leaves %d tasks", w, d[0].Count)
	}
}

// A cordoned worker must be used again only for a task that may run in its zone.
func TestPlanUncordonsOnlyWhereZoneRulesAllowTheTask(t *testing.T) {
	a := newZonedAutoscaler()
	same, other := a.addMachine("a", false, 4), a.addMachine("b", false, 4)
	same.cordoned, other.cordoned = true, true
	d := zonedDemand(&wire.Job{Kind: wire.KindService, Tasks: 2, Spread: true}, 1, &jobstate.ZoneUse{Zones: map[string]int{"a": 1}})
	d[0].Job.Spot = false
	if w := a.wantedByPlan(time.Now(), d); len(w) != 0 || !same.cordoned || other.cordoned {
		t.Errorf("plan wants %v; cordoned in a: %v, in b: %v", w, same.cordoned, other.cordoned)
	}
}

// zonedCase is a generated job with a zone rule, and the room for its tasks.
type zonedCase struct {
	job     *wire.Job
	waiting int
	use     jobstate.ZoneUse
	room    map[string]int // number of tasks that fit on existing machines, by zone
}

func drawZonedCase(t *rapid.T, a *Autoscaler) *zonedCase {
	kind := rapid.SampledFrom([]string{wire.KindArray, wire.KindService, wire.KindGang}).Draw(t, "kind")
	c := &zonedCase{job: &wire.Job{Kind: kind, Tasks: rapid.IntRange(2, 40).Draw(t, "tasks")}, room: map[string]int{}}
	c.job.OneZone = rapid.Bool().Draw(t, "one zone")
	c.job.Spread = !c.job.OneZone
	running := 0
	if kind != wire.KindGang { // all tasks of a gang wait together
		for _, zone := range testZones {
			n := rapid.IntRange(0, min(c.use.Room(c.job, zone), c.job.Tasks-running)).Draw(t, "running in "+zone)
			c.use.Add(zone, n)
			running += n
		}
	}
	c.waiting = c.job.Tasks - running
	for range rapid.IntRange(0, 8).Draw(t, "machines") {
		zone, free := rapid.SampledFrom(testZones).Draw(t, "zone"), rapid.IntRange(0, tasksPerTestMachine).Draw(t, "free")
		a.addMachine(zone, true, free)
		c.room[zone] += free
	}
	return c
}

// placeable returns how many of the waiting tasks can run at the same time if each zone has room for
// the given number.
func (c *zonedCase) placeable(room map[string]int) int {
	total, most := 0, 0
	for _, zone := range testZones {
		n := min(room[zone], c.use.Room(c.job, zone))
		total, most = total+n, max(most, n)
	}
	if c.job.OneZone {
		total = most
	}
	return min(total, c.waiting)
}

// Whatever runs where: with the machines that the plan wants, all waiting tasks can run under the
// zone rules of their job, and with one machine less in any zone they can't.
func TestPlannedMachinesSufficeUnderZoneRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newZonedAutoscaler()
		c := drawZonedCase(t, a)
		if c.waiting == 0 {
			return
		}
		wanted := a.wantedByPlan(time.Now(), zonedDemand(c.job, c.waiting, &c.use))
		room := map[string]int{}
		for _, zone := range testZones {
			room[zone] = c.room[zone] + tasksPerTestMachine*wantedZones(wanted)[zone]
		}
		if got := c.placeable(room); got < c.waiting {
			t.Fatalf("%d of %d waiting tasks of %+v can run, with %v running, room for %v and the machines %v", got, c.waiting, *c.job, c.use, c.room, wanted)
		}
		for zone, n := range wantedZones(wanted) {
			fewer := maps.Clone(room)
			fewer[zone] -= tasksPerTestMachine
			if c.placeable(fewer) == c.waiting {
				t.Fatalf("a machine less than %d in %s would do for %d tasks of %+v, with %v running, room for %v, wanted %v", n, zone, c.waiting, *c.job, c.use, c.room, wanted)
			}
		}
	})
}

// Demand of a controller of an earlier version has no ZoneUse; the rules apply to its waiting tasks.
func TestPlanOfDemandWithoutZoneUseKeepsZoneRules(t *testing.T) {
	w := newZonedAutoscaler().wantedByPlan(time.Now(), zonedDemand(&wire.Job{Kind: wire.KindService, Tasks: 2, Spread: true}, 2, nil))
	zones := wantedZones(w)
	counts := []int{zones["a"], zones["b"], zones["c"]}
	if slices.Sort(counts); !slices.Equal(counts, []int{0, 1, 1}) {
		t.Errorf("plan wants %v, want a machine in each of two zones", w)
	}
}
