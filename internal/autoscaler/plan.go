package autoscaler

import (
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	// bootGraceS is how much longer, in seconds, than the remaining boot time pending work may
	// wait for a booting machine.
	bootGraceS = 5
	// maxBootFactor bounds the boot time of a healthy machine, as a multiple of its type's.
	maxBootFactor     = 1.5
	minBootRemainingS = 3
	// headroomUsedShare is the share of CPUs in use above which machines are provisioned ahead
	// of demand although nothing is pending.
	headroomUsedShare = 0.7
)

// simulatedMachine is a machine in the plan: one that is up, booting, or to be provisioned.
type simulatedMachine struct {
	offer    offer
	matrix   matching.WaitMatrix // of the time after it has booted
	bootS    float64             // remaining boot time in seconds
	instance *instance           // nil if it is not up
	planned  []plannedTasks      // tasks that the plan has placed on it, if it is an on-demand worker
}

// newSimulated returns an empty machine of type t.
func newSimulated(o offer, t wire.MachineType, bootS float64) *simulatedMachine {
	return &simulatedMachine{offer: o, matrix: matching.WaitMatrix{{WaitS: 0, Free: ResourcesOf(t)}}, bootS: bootS}
}

// fill places up to n tasks within the wait time and returns how many are left. It places all
// tasks that can start at the same time in one step: placing 25,000 small tasks one by one
// occupies a small controller's processor for two seconds of every plan.
func (s *simulatedMachine) fill(d *planner.Demand, n int, maxWaitS float64) int {
	for n > 0 {
		waitS, fits := s.wait(d, maxWaitS)
		if !fits {
			break
		}
		k := max(1, s.matrix.CountFitting(d.Resources, waitS, d.RunS, n))
		s.matrix = s.matrix.Reserve(d.Resources.Scale(float64(k)), waitS, d.RunS)
		n -= k
	}
	return n
}

// wait returns how many seconds after its boot the machine can start a task of a demand. fits is
// false if the task would wait for more than maxWaitS in all.
func (s *simulatedMachine) wait(d *planner.Demand, maxWaitS float64) (waitS float64, fits bool) {
	waitS = s.matrix.WaitWithin(d.Resources, d.RunS, maxWaitS-s.bootS)
	return waitS, s.bootS+waitS <= maxWaitS
}

// place places up to n tasks of a demand within the wait time, as far as the requirements and the
// zone rules of the job allow. It returns how many of the n tasks are left.
func (s *simulatedMachine) place(d *planner.Demand, zones *zoneRoom, n int, maxWaitS float64) int {
	if !s.offer.suits(d.Job) {
		return n
	}
	if _, fits := s.wait(d, maxWaitS); !fits {
		return n // most machines are full, and the room in the zone takes longer to look up
	}
	allowed := min(n, zones.left(s.offer.Zone))
	placed := allowed - s.fill(d, allowed, maxWaitS)
	zones.take(s.offer.Zone, placed)
	if placed > 0 && s.instance != nil && !s.offer.Spot {
		s.planned = append(s.planned, plannedTasks{d, zones, placed, maxWaitS})
	}
	return n - placed
}

// simulation is a plan in progress.
type simulation struct {
	autoscaler *Autoscaler
	machines   []*simulatedMachine // that accept tasks
	cordoned   []*simulatedMachine
	onDemand   map[*instance]*simulatedMachine // the on-demand workers that are up, cordoned or not
	offers     []offer
	wanted     map[offer]int
	order      []offer // keys of wanted, in the order in which they were added

	vacateSearches int // searches of vacate for other machines so far
}

// plan simulates the pending work on the existing machines. It determines how many machines of each
// offer to provision, and the order of the offers: first for tasks that would wait too long on
// existing machines (see planDemand), then for headroom (addHeadroom). It uncordons workers that the
// work needs. Called with mu held.
func (a *Autoscaler) plan(now time.Time, demand []planner.Demand) *simulation {
	sim := a.simulate(now)
	bootS := a.shortestBootS()
	for i := range demand {
		sim.planDemand(&demand[i], bootS)
	}
	// If nothing is pending and much capacity is unused, no headroom is needed: arrivals are declining.
	if len(demand) > 0 || a.usedCPUs > headroomUsedShare*sim.totalCPUs() {
		sim.addHeadroom()
	}
	return sim
}

// simulate starts a plan with the machines that are up, booting or requested. Called with mu
// held.
func (a *Autoscaler) simulate(now time.Time) *simulation {
	sim := &simulation{autoscaler: a, wanted: map[offer]int{}, onDemand: map[*instance]*simulatedMachine{}}
	for name, inst := range a.instances {
		if a.isDeleting(name) || !inst.drainingSince.IsZero() || inst.load != nil && (inst.load.Notice || inst.load.Faulty) {
			continue
		}
		t, ok := a.catalog.Type(inst.offer.Type)
		if !ok {
			continue
		}
		switch {
		case inst.load != nil && len(inst.load.Matrix) > 0 && now.Sub(inst.lastHeartbeat) < seconds(a.op.HeartbeatTimeoutS):
			s := &simulatedMachine{offer: inst.offer, matrix: inst.load.Matrix, instance: inst}
			if inst.offer.onDemand(t) {
				sim.onDemand[inst] = s
			}
			if inst.cordoned {
				sim.cordoned = append(sim.cordoned, s)
			} else {
				sim.machines = append(sim.machines, s)
			}
		case inst.lastHeartbeat.IsZero() && inst.stage != wire.MachineFailed:
			leftS := bootRemainingS(t.BootS, now.Sub(inst.provisionedAt).Seconds())
			sim.machines = append(sim.machines, newSimulated(inst.offer, t, leftS))
		}
	}
	for _, p := range a.provisions {
		if t, ok := a.catalog.Type(p.req.Type); ok {
			for range p.req.Number {
				sim.machines = append(sim.machines, newSimulated(offer{p.req.Type, p.req.Zone, p.req.Spot}, t, t.BootS))
			}
		}
	}
	sim.offers = a.offers(now)
	return sim
}

// planDemand places a demand on the existing machines and provisions for the rest. It sets the
// demand's count to the number of tasks for which no machine is available.
func (sim *simulation) planDemand(d *planner.Demand, bootS float64) {
	if d.Job.Gang() || d.Job.Service() {
		// All tasks run at the same time, so none can wait for another to end.
		d.RunS = jobstate.UnboundedRunS
	}
	// Spot machines are provisioned for tasks that would wait at least about as long as a machine
	// takes to boot, on-demand machines only for tasks that would otherwise be late.
	maxWaitS := min(bootS, d.SlackS)
	zones := sim.zoneRoomFor(d, maxWaitS)
	d.Count = sim.fill(d, zones, maxWaitS, true)
	d.Count = sim.provision(d, zones, true, maxWaitS)
	if d.Count == 0 {
		return
	}
	maxWaitS = max(bootS, d.SlackS/2)
	d.Count = sim.fill(d, zones, maxWaitS, false)
	d.Count = sim.uncordon(d, zones, maxWaitS)
	d.Count = sim.provision(d, zones, false, maxWaitS)
}

// fill places pending tasks on the machines and returns how many are left. With untilBoot, tasks
// may exceed maxWaitS to wait for a booting machine.
func (sim *simulation) fill(d *planner.Demand, zones *zoneRoom, maxWaitS float64, untilBoot bool) int {
	n := d.Count
	for _, s := range sim.machines {
		if n == 0 {
			break
		}
		limitS := maxWaitS
		if untilBoot {
			limitS = max(limitS, s.bootS+bootGraceS)
		}
		n = s.place(d, zones, n, limitS)
	}
	return n
}

// uncordon places tasks on cordoned workers, which it uncordons, and returns how many tasks are
// left.
func (sim *simulation) uncordon(d *planner.Demand, zones *zoneRoom, maxWaitS float64) int {
	n := d.Count
	var remaining []*simulatedMachine
	for _, s := range sim.cordoned {
		if left := s.place(d, zones, n, maxWaitS); left < n {
			n, s.instance.cordoned = left, false
			sim.machines = append(sim.machines, s)
			continue
		}
		remaining = append(remaining, s)
	}
	sim.cordoned = remaining
	return n
}

// provision adds machines for a demand as long as an offer suits, and returns how many tasks are
// left.
func (sim *simulation) provision(d *planner.Demand, zones *zoneRoom, spot bool, maxWaitS float64) int {
	n := d.Count
	for n > 0 {
		o, t, ok := sim.cheapestOffer(d, zones, n, spot)
		if !ok {
			break
		}
		sim.addWanted(o)
		s := newSimulated(o, t, t.BootS)
		sim.machines = append(sim.machines, s)
		left := s.place(d, zones, n, maxWaitS+t.BootS)
		if left == n {
			break
		}
		n = left
	}
	return n
}

// addWanted adds a machine of an offer to the plan's result.
func (sim *simulation) addWanted(o offer) {
	if sim.wanted[o]++; sim.wanted[o] == 1 {
		sim.order = append(sim.order, o)
	}
}

// totalCPUs returns the CPUs of all machines in the plan.
func (sim *simulation) totalCPUs() float64 {
	total := 0.0
	for _, s := range sim.machines {
		if t, ok := sim.autoscaler.catalog.Type(s.offer.Type); ok {
			total += t.CPUs
		}
	}
	return total
}

// bootRemainingS returns the expected remaining boot time, in seconds, of a machine that has
// booted for elapsedS. A machine that exceeds the usual boot time may take several times as long
// or never come up, so elapsedS is returned: for work that can't wait, another one is provisioned.
func bootRemainingS(bootS, elapsedS float64) float64 {
	if elapsedS > maxBootFactor*bootS {
		return elapsedS
	}
	return max(minBootRemainingS, bootS-elapsedS)
}
