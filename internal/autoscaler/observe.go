package autoscaler

import (
	"math"
	"time"

	"github.com/wallrack/wallrack/internal/planner"
)

// observe applies the workers' loads to the instances, and adds vanished machines to unwanted.
// Called with mu held.
func (a *Autoscaler) observe(now time.Time, loads []planner.WorkerLoad, unwanted map[string]string) {
	used := 0.0
	for i := range loads {
		load := &loads[i]
		used += load.Used.CPUs
		if a.vanished(load.Name, load.LastKnown) {
			unwanted[load.Name] = "not in the cloud's list any more"
		}
		if load.LastHeartbeat.IsZero() {
			continue
		}
		inst := a.instances[load.Name]
		if inst == nil {
			if a.isDeleting(load.Name) {
				continue
			}
			inst = &instance{name: load.Name, discoveredAt: now, provisionedAt: now}
			a.instances[load.Name] = inst
		}
		inst.load, inst.lastHeartbeat, inst.offer = load, load.LastHeartbeat, offer{load.Type, load.Zone, load.Spot}
		inst.updateDraining(now)
	}
	a.usedCPUs += usedSmoothing * (used - a.usedCPUs)
}

// demandedCPUs returns the CPUs of all tasks of a demand.
func demandedCPUs(demand []planner.Demand) float64 {
	total := 0.0
	for i := range demand {
		total += demand[i].Resources.CPUs * float64(demand[i].Count)
	}
	return total
}

// logState logs the state at most once in logInterval: among others the CPUs of the waiting work,
// and of the part of it for which the plan found neither a machine nor an offer. Called with mu held.
func (a *Autoscaler) logState(now time.Time, loads []planner.WorkerLoad, waiting, unplaced float64, wanted map[offer]int) {
	if now.Sub(a.stateLoggedAt) < logInterval {
		return
	}
	a.stateLoggedAt = now
	var total, used, spot float64
	up, wantedMachines := 0, 0
	for i := range loads {
		t, ok := a.catalog.Type(loads[i].Type)
		if !ok || loads[i].LastHeartbeat.IsZero() {
			continue
		}
		up++
		total += t.CPUs
		used += loads[i].Used.CPUs
		if loads[i].Spot {
			spot += t.CPUs
		}
	}
	for _, n := range wanted {
		wantedMachines += n
	}
	a.log.Info("autoscaler", "machines", len(a.instances), "up", up, "cpus", total, "spot_cpus", spot, "used", used, "waiting", waiting,
		"unplaced", unplaced, "wanted_machines", wantedMachines, "arriving", math.Round(a.arrivalCPUs))
}
