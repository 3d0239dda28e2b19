package autoscaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/wire"
)

// countByOffer counts the machines that there are. Called with mu held.
func (a *Autoscaler) countByOffer() map[offer]int {
	n := map[offer]int{}
	for name, inst := range a.instances {
		if !a.isDeleting(name) {
			n[inst.offer]++
		}
	}
	return n
}

// refuse notes that no more of an offer is to be had: to request it again is a waste of the
// cloud's rate limit unless machines of it were lost or deleted since. Called with mu held.
func (a *Autoscaler) refuse(o offer) { a.refusals[o] = refusal{time.Now(), a.countByOffer()[o]} }

// offers lists what may be provisioned now, in a fixed order. Called with mu held.
func (a *Autoscaler) offers(now time.Time) []offer {
	var out []offer
	count := a.countByOffer()
	for _, t := range a.catalog.All() {
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := offer{t.Name, zone, spot}
				r, refused := a.refusals[o]
				since := now.Sub(r.at)
				if !refused || since > longRefusalBackoff || since > refusalBackoff && count[o] < r.machines {
					out = append(out, o)
				}
			}
		}
	}
	slices.SortFunc(out, func(x, y offer) int {
		if c := cmp.Or(cmp.Compare(x.Type, y.Type), cmp.Compare(x.Zone, y.Zone)); c != 0 || x.Spot == y.Spot {
			return c
		}
		if x.Spot {
			return -1
		}
		return 1
	})
	return out
}

// cheapestOffer is the offer at which n waiting tasks cost least: the price of a machine by the tasks
// that it would run. It is false if none suits.
func (sim *simulation) cheapestOffer(d *planner.Demand, n int, spot bool) (offer, wire.MachineType, bool) {
	var best offer
	var bestType wire.MachineType
	lowest := math.Inf(1)
	for _, o := range sim.offers {
		t, ok := sim.autoscaler.catalog.Type(o.Type)
		if !ok || o.Spot != spot || sim.exhausted(o) || !allows(d.Job, o) || !d.Resources.Fits(ResourcesOf(t)) {
			continue
		}
		if cost := costPerTask(d, n, o, t, sim.wants[o]); cost < lowest {
			best, bestType, lowest = o, t, cost
		}
	}
	return best, bestType, !math.IsInf(lowest, 1)
}

// exhausted reports whether the plan wants as many machines of an offer as provisions can be
// in flight for.
func (sim *simulation) exhausted(o offer) bool {
	return sim.wants[o] >= maxProvision*sim.autoscaler.maxInFlight()
}

// costPerTask rates an offer for n tasks of a demand, of which the plan wants some already.
func costPerTask(d *planner.Demand, n int, o offer, t wire.MachineType, wanted int) float64 {
	capacity := tasksPerMachine(d.Resources, ResourcesOf(t))
	// A machine much larger than the work is mostly idle, but the rest of it serves what
	// comes next.
	used := min(float64(capacity), float64(n))
	cost := o.price(t) / (0.5*used + 0.5*float64(capacity))
	w := float64(wanted)
	// A long boot, and machines that are wanted of the offer already, count against it.
	return cost * (1 + 0.1*t.BootS/minBillingS + w/(w+maxProvision))
}

// tasksPerMachine is how many tasks a machine of that size runs side by side, at least one.
func tasksPerMachine(task, size matching.Resources) int { return max(1, task.CountFitting(size, 1e6)) }

// addHeadroom adds spot machines ahead of the demand, up to the target.
func (sim *simulation) addHeadroom() {
	target := sim.autoscaler.targetCPUs()
	for total := sim.totalCPUs(); total < target; {
		missing := target - total
		var best offer
		size, lowest := 0.0, math.Inf(1)
		for _, o := range sim.offers {
			t, ok := sim.autoscaler.catalog.Type(o.Type)
			if ok && o.Spot && t.GPUs == 0 && t.CPUs <= 2*missing && t.SpotPrice/t.CPUs < lowest {
				best, size, lowest = o, t.CPUs, t.SpotPrice/t.CPUs
			}
		}
		if size == 0 || sim.exhausted(best) {
			break
		}
		sim.want(best)
		total += size
	}
}
