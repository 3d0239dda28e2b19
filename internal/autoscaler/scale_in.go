package autoscaler

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/wire"
)

// minUptimeS is for how long a machine is kept at least: less saves next to nothing.
const minUptimeS = minBillingS - 5

// cordon chooses on-demand workers to cordon, the emptiest first, while there is more
// than what runs and the headroom need, and returns all that are cordoned. Without it, work
// that could as well run elsewhere keeps every one of them from falling idle. Called with mu
// held.
func (a *Autoscaler) cordon(now time.Time, demand []planner.Demand) map[string]bool {
	if now.Sub(a.leadingSince) < settleTime {
		return nil // what runs is not known well yet
	}
	candidates, spareCPUs := a.cordonCandidates(now, demand)
	slices.SortFunc(candidates, func(x, y *instance) int {
		return cmp.Or(cmp.Compare(a.usedShare(x), a.usedShare(y)), cmp.Compare(x.name, y.name))
	})
	names := map[string]bool{}
	for _, inst := range candidates {
		if t, _ := a.catalog.Type(inst.offer.Type); !inst.cordoned && spareCPUs > t.CPUs {
			inst.cordoned = true
			spareCPUs -= t.CPUs
		}
		if inst.cordoned {
			names[inst.name] = true
		}
	}
	return names
}

// cordonCandidates returns the on-demand workers, and how many CPUs of workers that are not
// cordoned are beyond what runs, what waits, the headroom and the reserve.
func (a *Autoscaler) cordonCandidates(now time.Time, demand []planner.Demand) (candidates []*instance, spareCPUs float64) {
	spareCPUs = -a.onDemandTargetCPUs() - a.reservedCPUs()
	for i := range demand {
		spareCPUs -= demand[i].Resources.CPUs * float64(demand[i].Count)
	}
	for name, inst := range a.instances {
		t, ok := a.catalog.Type(inst.offer.Type)
		if !ok || inst.load == nil || a.isDeleting(name) || inst.load.Notice || a.unresponsive(inst, now) {
			continue
		}
		if !inst.cordoned {
			spareCPUs += t.CPUs
		}
		if inst.offer.onDemand(t) {
			candidates = append(candidates, inst)
		}
	}
	return candidates, spareCPUs
}

// onDemand reports whether an offer is on-demand where there are spot machines of the type.
func (o offer) onDemand(t wire.MachineType) bool { return !o.Spot && t.SpotPrice > 0 }

// unresponsive reports whether a worker is beyond the heartbeat timeout.
func (a *Autoscaler) unresponsive(inst *instance, now time.Time) bool {
	return now.Sub(inst.lastHeartbeat) > seconds(a.op.HeartbeatTimeoutS)
}

// usedShare is the share of a worker's CPUs that are in use.
func (a *Autoscaler) usedShare(inst *instance) float64 {
	t, _ := a.catalog.Type(inst.offer.Type)
	return inst.load.Used.CPUs / max(1, t.CPUs)
}

// pricePerCPU is what a machine costs an hour and CPU.
func (a *Autoscaler) pricePerCPU(inst *instance) float64 {
	t, _ := a.catalog.Type(inst.offer.Type)
	return inst.offer.price(t) / max(1, t.CPUs)
}

// lowestPricePerCPU is that of the machine type that costs least.
func (a *Autoscaler) lowestPricePerCPU() float64 {
	lowest := math.Inf(1)
	for _, t := range a.catalog.All() {
		lowest = min(lowest, min(t.SpotPrice, t.Price)/t.CPUs)
	}
	return lowest
}

// drainIdle drains machines that have done nothing for a while, the most expensive first, as
// long as the headroom stays; none of a kind, spot or on-demand, that the plan wants. A later
// step deletes them. Called with mu held.
func (a *Autoscaler) drainIdle(now time.Time, wants map[offer]int) {
	wanted := map[bool]bool{} // by whether they are spot machines
	for o := range wants {
		wanted[o.Spot] = true
	}
	idle, totalCPUs := a.idleWorkers(now)
	slices.SortFunc(idle, func(x, y *instance) int {
		return cmp.Or(cmp.Compare(a.pricePerCPU(y), a.pricePerCPU(x)), cmp.Compare(x.name, y.name))
	})
	lowestPrice := a.lowestPricePerCPU()
	for _, inst := range idle {
		t, _ := a.catalog.Type(inst.offer.Type)
		// A cordoned worker gets no tasks: waiting would only cost.
		if !inst.cordoned && now.Sub(inst.idleSince) < seconds(a.op.IdleTimeoutS*lowestPrice/a.pricePerCPU(inst)) || now.Sub(inst.provisioned) < minUptimeS*time.Second {
			continue
		}
		if !inst.cordoned && (wanted[inst.offer.Spot] || a.needed(inst.offer, t, totalCPUs)) {
			continue
		}
		totalCPUs -= t.CPUs
		if inst.drainingSince.IsZero() && a.dispatcher.Drain(inst.name) {
			inst.drainingSince = now
		}
	}
}

// needed reports whether the capacity would be too far below its target without a machine.
// The number of machines that is nearest to the target stays, so that the last ones go too
// when nothing more arrives.
func (a *Autoscaler) needed(o offer, t wire.MachineType, totalCPUs float64) bool {
	target := a.targetCPUs()
	if o.onDemand(t) {
		target = a.onDemandTargetCPUs()
	}
	target += a.reservedCPUs()
	return totalCPUs-t.CPUs < target-t.CPUs/2
}

// idleWorkers follows since when each worker is idle, and returns those that are, and the
// CPUs of all.
func (a *Autoscaler) idleWorkers(now time.Time) (idle []*instance, totalCPUs float64) {
	for name, inst := range a.instances {
		if inst.load == nil || a.isDeleting(name) || a.unresponsive(inst, now) {
			continue
		}
		if t, ok := a.catalog.Type(inst.offer.Type); ok {
			totalCPUs += t.CPUs
		}
		if inst.load.Placements > 0 {
			inst.idleSince = time.Time{}
			continue
		}
		if inst.idleSince.IsZero() {
			inst.idleSince = now
		}
		idle = append(idle, inst)
	}
	return idle, totalCPUs
}

// scaleIn deletes machines, given with the reasons, up to maxDelete of them. Once the cloud
// has answered, they are gone, and the scheduler and the dispatcher are notified.
func (a *Autoscaler) scaleIn(ctx context.Context, reasons map[string]string) {
	batch := a.startDeleting(reasons)
	if len(batch) == 0 {
		return
	}
	// What was decided before a standstill is not acted on after it: a successor may use
	// these machines by now.
	err := errNotLeading
	if a.scheduler.Ready() {
		err = a.cloud.deleteMachines(ctx, batch)
	}
	if err != nil {
		a.log.Info("scale in failed", "machines", batch, "err", err)
		a.stopDeleting(batch)
		return
	}
	for _, name := range batch {
		a.log.Info("scaled in", "worker", name, "reason", reasons[name])
		a.dispatcher.RemoveWorker(name)
		a.scheduler.WorkerDeleted(name)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	unlisted := time.Now().Add(2*a.maxListLag() + time.Minute)
	for _, name := range batch {
		delete(a.instances, name)
		a.deleting[name] = unlisted
	}
}

// isDeleting reports whether a machine is being deleted, or was and may still be listed. Called
// with mu held.
func (a *Autoscaler) isDeleting(name string) bool {
	_, ok := a.deleting[name]
	return ok
}

// forgetDeleted drops the deleted machines that no list shows any more. Called with mu held.
func (a *Autoscaler) forgetDeleted(now time.Time) {
	for name, unlisted := range a.deleting {
		if !unlisted.IsZero() && now.After(unlisted) {
			delete(a.deleting, name)
		}
	}
}

// startDeleting marks machines as being deleted that aren't yet, and returns them.
func (a *Autoscaler) startDeleting(reasons map[string]string) (batch []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range reasons {
		if !a.isDeleting(name) && len(batch) < maxDelete {
			a.deleting[name] = time.Time{}
			batch = append(batch, name)
		}
	}
	return batch
}

// stopDeleting takes the marks back.
func (a *Autoscaler) stopDeleting(batch []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range batch {
		delete(a.deleting, name)
	}
}
