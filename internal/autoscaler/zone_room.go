package autoscaler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/wire"
)

// zoneRoom tracks how many more tasks of a demand a plan may place in each zone under the zone
// rules of the job. The scheduler places no task against them, so neither may the plan count on it.
// A plan spans little more than a boot time, so that a task frees no room in its zone within it. The
// room of a job without a rule is nil, since a plan asks for it once for each demand and machine.
type zoneRoom struct {
	job  *wire.Job
	use  jobstate.ZoneUse // tasks that may be running, and those that the plan has placed
	only *string          // the only zone in which the plan may place tasks; nil: any
}

// newZoneRoom returns the room of a demand for which the plan has placed no tasks yet; nil if its job
// has no zone rule. Controllers of earlier versions send no ZoneUse; then none of the job's tasks
// counts as running.
func newZoneRoom(d *planner.Demand) *zoneRoom {
	if !d.Job.HasZoneRule() {
		return nil
	}
	zones := &zoneRoom{job: d.Job}
	if d.ZoneUse != nil {
		zones.use = d.ZoneUse.Clone()
	}
	return zones
}

// left returns how many more tasks the plan may place in a zone; more than any job has if z is nil.
func (z *zoneRoom) left(zone string) int {
	if z == nil {
		return math.MaxInt
	}
	if z.only != nil && *z.only != zone {
		return 0
	}
	return z.use.Room(z.job, zone)
}

// take counts n tasks that the plan places in a zone.
func (z *zoneRoom) take(zone string, n int) {
	if z != nil {
		z.use.Add(zone, n)
	}
}

// zoneRoomFor returns the room of a demand. If all tasks of the job must be in one zone, the plan is
// restricted to the zone in which the machines to be provisioned cost least, and among equals to
// the zone with the fewest tasks that need one: tasks that are placed in several zones can't all
// start.
func (sim *simulation) zoneRoomFor(d *planner.Demand, maxWaitS float64) *zoneRoom {
	zones := newZoneRoom(d)
	if zones == nil || !d.Job.OneZone {
		return zones
	}
	unplaced := sim.unplacedByZone(d, zones, maxWaitS)
	lowest, fewest, best := math.Inf(1), math.MaxInt, ""
	for _, zone := range slices.Sorted(maps.Keys(unplaced)) {
		left := unplaced[zone]
		cost := sim.provisionCost(d, zone, left)
		if cmp.Or(cmp.Compare(cost, lowest), cmp.Compare(left, fewest)) < 0 {
			lowest, fewest, best = cost, left, zone
		}
	}
	zones.only = &best
	return zones
}

// unplacedByZone returns, for each zone with room for the job, how many tasks of a demand would be
// left if all were placed on the existing machines of the zone, cordoned ones included. It leaves
// out zones without offers in which no task fits, and returns early once a zone has none left.
func (sim *simulation) unplacedByZone(d *planner.Demand, zones *zoneRoom, maxWaitS float64) map[string]int {
	unplaced := map[string]int{}
	for _, o := range sim.offers {
		if zones.left(o.Zone) > 0 {
			unplaced[o.Zone] = d.Count
		}
	}
	for _, machines := range [][]*simulatedMachine{sim.machines, sim.cordoned} {
		for _, s := range machines {
			limitS := max(maxWaitS, s.bootS+bootGraceS)
			if _, fits := s.wait(d, limitS); !fits || !s.offer.suits(d.Job) || zones.left(s.offer.Zone) == 0 {
				continue
			}
			left, known := unplaced[s.offer.Zone]
			if !known {
				left = d.Count
			}
			trial := *s // fill replaces the matrix of the copy
			left = trial.fill(d, left, limitS)
			if unplaced[s.offer.Zone] = left; left == 0 {
				return unplaced
			}
		}
	}
	return unplaced
}

// provisionCost returns the weighted hourly price of the machines for n tasks of a demand in a zone;
// +Inf if no offer suits.
func (sim *simulation) provisionCost(d *planner.Demand, zone string, n int) float64 {
	if n == 0 {
		return 0
	}
	zones := newZoneRoom(d)
	zones.only = &zone
	for _, spot := range []bool{true, false} {
		if o, t, ok := sim.cheapestOffer(d, zones, n, spot); ok {
			return float64(n) * costPerTask(d, n, o, t, sim.wanted[o])
		}
	}
	return math.Inf(1)
}
