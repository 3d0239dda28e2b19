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

// countByOffer counts the machines that are not being deleted. Called with mu held.
func (a *Autoscaler) countByOffer() map[offer]int {
	n := map[offer]int{}
	for name, inst := range a.instances {
		if !a.isDeleting(name) {
			n[inst.offer]++
		}
	}
	return n
}

// recordRefusal records that the cloud has no more machines of an offer. Unless machines of it are lost
// or deleted, another request would only use up the cloud's rate limit. Called with mu held.
func (a *Autoscaler) recordRefusal(o offer) { a.refusals[o] = refusal{time.Now(), a.countByOffer()[o]} }

// offers returns the offers that may be requested now, in a fixed order. Called with mu held.
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

// cheapestOffer returns the offer with the lowest cost per task for n pending tasks of a demand,
// see costPerTask, in the zones that have room for them. It returns false if no offer suits.
func (sim *simulation) cheapestOffer(d *planner.Demand, zones *zoneRoom, n int, spot bool) (offer, wire.MachineType, bool) {
	var best offer
	var bestType wire.MachineType
	lowest := math.Inf(1)
	for _, o := range sim.offers {
		t, ok := sim.autoscaler.catalog.Type(o.Type)
		allowed := min(n, zones.left(o.Zone))
		if !ok || o.Spot != spot || allowed == 0 || sim.exhausted(o) || !o.suits(d.Job) || !d.Resources.Fits(ResourcesOf(t)) {
			continue
		}
		if cost := costPerTask(d, allowed, o, t, sim.wanted[o]); cost < lowest {
			best, bestType, lowest = o, t, cost
		}
	}
	return best, bestType, !math.IsInf(lowest, 1)
}

// exhausted reports whether the plan wants as many machines of an offer as can be requested at the
// same time: maxProvision in each of the maxInFlight provisions.
func (sim *simulation) exhausted(o offer) bool {
	return sim.wanted[o] >= maxProvision*sim.autoscaler.maxInFlight()
}

// costPerTask returns the weighted hourly price of an offer per task, for n tasks of a demand.
// wanted is the number of machines of the offer that the plan wants already.
func costPerTask(d *planner.Demand, n int, o offer, t wire.MachineType, wanted int) float64 {
	capacity := tasksPerMachine(d.Resources, ResourcesOf(t))
	// The unused part of a machine counts half: it is idle now, but may serve later work.
	used := min(float64(capacity), float64(n))
	cost := o.price(t) / (0.5*used + 0.5*float64(capacity))
	w := float64(wanted)
	// A long boot time, and machines of the offer that the plan wants already, raise the cost.
	return cost * (1 + 0.1*t.BootS/minBillingS + w/(w+maxProvision))
}

// tasksPerMachine returns how many tasks fit on a machine of the size, at least 1.
func tasksPerMachine(task, size matching.Resources) int { return max(1, task.CountFitting(size, 1e6)) }

// addHeadroom adds spot machines ahead of demand, up to the target capacity.
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
		sim.addWanted(best)
		total += size
	}
}
