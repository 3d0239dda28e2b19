package autoscaler

import "github.com/wallrack/wallrack/internal/planner"

// maxVacateSearches bounds the searches of one plan for machines to move tasks to, since each may
// look at every machine. A worker for which no search is left is not cordoned in that step.
const maxVacateSearches = 32

// plannedTasks are tasks of a demand that a plan has placed on one machine.
type plannedTasks struct {
	demand   *planner.Demand
	zones    *zoneRoom
	count    int
	maxWaitS float64
}

// vacate moves the tasks that the plan has placed on an on-demand worker to other machines of the
// plan, so that the worker can be cordoned. Tasks for which a spot machine could be provisioned need
// not be moved, since the next plan prefers that to a cordoned worker. It returns false if tasks are
// left: they may use the worker only, and would wait for as long as it is cordoned in each step.
func (sim *simulation) vacate(inst *instance) bool {
	s := sim.onDemand[inst]
	if s == nil {
		return true
	}
	for len(s.planned) > 0 {
		last := len(s.planned) - 1
		if s.planned[last].count = sim.unmovable(s, s.planned[last]); s.planned[last].count > 0 {
			return false
		}
		s.planned = s.planned[:last]
	}
	return true
}

// unmovable moves tasks from a machine to others and returns how many are left.
func (sim *simulation) unmovable(from *simulatedMachine, tasks plannedTasks) int {
	tasks.zones.take(from.offer.Zone, -tasks.count)
	left := tasks.count
	if _, _, offered := sim.cheapestOffer(tasks.demand, tasks.zones, left, true); offered {
		return 0
	}
	if sim.vacateSearches < maxVacateSearches {
		sim.vacateSearches++
		for _, to := range sim.machines {
			if left == 0 {
				break
			}
			if to != from && (to.instance == nil || !to.instance.cordoned) {
				left = to.place(tasks.demand, tasks.zones, left, tasks.maxWaitS)
			}
		}
	}
	tasks.zones.take(from.offer.Zone, left)
	return left
}
