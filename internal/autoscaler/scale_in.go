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

// minUptimeS is the minimum uptime, in seconds, of a machine. Deleting it earlier saves next to
// nothing, since the cloud bills at least minBillingS.
const minUptimeS = minBillingS - 5

// cordon cordons on-demand workers, those with the smallest share of CPUs in use first, while the
// capacity exceeds what running and pending work, the headroom and the reserve need. It cordons none
// on which the plan counts for tasks that fit nowhere else (see vacate): the capacity may be in
// machines that those tasks may not use. It returns all cordoned workers. Without cordoning, tasks that
// could run elsewhere would prevent on-demand workers from becoming idle. Called with mu held.
func (a *Autoscaler) cordon(now time.Time, demand []planner.Demand, sim *simulation) map[string]bool {
	if now.Sub(a.leadingSince) < cordonDelay {
		return nil // the loads are not known completely yet
	}
	candidates, spareCPUs := a.cordonCandidates(now, demand)
	slices.SortFunc(candidates, func(x, y *instance) int {
		return cmp.Or(cmp.Compare(a.usedShare(x), a.usedShare(y)), cmp.Compare(x.name, y.name))
	})
	names := map[string]bool{}
	for _, inst := range candidates {
		if t, _ := a.catalog.Type(inst.offer.Type); !inst.cordoned && spareCPUs > t.CPUs && sim.vacate(inst) {
			inst.cordoned = true
			spareCPUs -= t.CPUs
		}
		if inst.cordoned {
			names[inst.name] = true
		}
	}
	return names
}

// cordonCandidates returns the on-demand workers, and by how many CPUs the workers that are not
// cordoned exceed the running and pending work, the headroom and the reserve.
func (a *Autoscaler) cordonCandidates(now time.Time, demand []planner.Demand) (candidates []*instance, spareCPUs float64) {
	spareCPUs = -a.onDemandTargetCPUs() - a.reservedCPUs() - demandedCPUs(demand)
	for name, inst := range a.instances {
		t, ok := a.catalog.Type(inst.offer.Type)
		if !ok || inst.load == nil || a.isDeleting(name) || inst.load.Notice || a.unresponsive(inst, now) || !inst.drainingSince.IsZero() {
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

// unresponsive reports whether a worker's last heartbeat is older than the heartbeat timeout.
func (a *Autoscaler) unresponsive(inst *instance, now time.Time) bool {
	return now.Sub(inst.lastHeartbeat) > seconds(a.op.HeartbeatTimeoutS)
}

// usedShare returns the share of a worker's CPUs that are in use.
func (a *Autoscaler) usedShare(inst *instance) float64 {
	t, _ := a.catalog.Type(inst.offer.Type)
	return inst.load.Used.CPUs / max(1, t.CPUs)
}

// pricePerCPU returns the hourly price of a machine per CPU.
func (a *Autoscaler) pricePerCPU(inst *instance) float64 {
	t, _ := a.catalog.Type(inst.offer.Type)
	return inst.offer.price(t) / max(1, t.CPUs)
}

// lowestPricePerCPU returns the lowest hourly price per CPU of all machine types.
func (a *Autoscaler) lowestPricePerCPU() float64 {
	lowest := math.Inf(1)
	for _, t := range a.catalog.All() {
		lowest = min(lowest, min(t.SpotPrice, t.Price)/t.CPUs)
	}
	return lowest
}

// drainIdle drains machines that have been idle for a while, the most expensive first, as long as
// the target capacity remains. It drains no spot machines if the plan wants spot machines, and no
// on-demand ones if it wants those, unless they are cordoned. A later step deletes the drained
// machines. Called with mu held.
func (a *Autoscaler) drainIdle(now time.Time, wanted map[offer]int) {
	wantedKinds := map[bool]bool{} // by offer.Spot
	for o := range wanted {
		wantedKinds[o.Spot] = true
	}
	idle, totalCPUs := a.idleWorkers(now)
	slices.SortFunc(idle, func(x, y *instance) int {
		return cmp.Or(cmp.Compare(a.pricePerCPU(y), a.pricePerCPU(x)), cmp.Compare(x.name, y.name))
	})
	lowestPrice := a.lowestPricePerCPU()
	for _, inst := range idle {
		t, _ := a.catalog.Type(inst.offer.Type)
		// A cordoned worker gets no tasks, so it is drained as soon as it is idle.
		if !inst.cordoned && now.Sub(inst.idleSince) < seconds(a.op.IdleTimeoutS*lowestPrice/a.pricePerCPU(inst)) || now.Sub(inst.provisionedAt) < minUptimeS*time.Second {
			continue
		}
		if !inst.cordoned && (wantedKinds[inst.offer.Spot] || a.needed(inst.offer, t, totalCPUs)) {
			continue
		}
		totalCPUs -= t.CPUs
		if a.dispatcher.Drain(inst.name) {
			inst.drainingSince = now
		}
	}
}

// needed reports whether draining a machine would leave the capacity more than half that machine
// below the target. The target is thus rounded to the nearest number of machines. With a target of 0
// even the last machine is drained.
func (a *Autoscaler) needed(o offer, t wire.MachineType, totalCPUs float64) bool {
	target := a.targetCPUs()
	if o.onDemand(t) {
		target = a.onDemandTargetCPUs()
	}
	target += a.reservedCPUs()
	return totalCPUs-t.CPUs < target-t.CPUs/2
}

// idleWorkers updates the time since which each worker is idle. It returns the idle workers, and
// the CPUs of all workers. It leaves out the workers that are being drained.
func (a *Autoscaler) idleWorkers(now time.Time) (idle []*instance, totalCPUs float64) {
	for name, inst := range a.instances {
		if inst.load == nil || a.isDeleting(name) || a.unresponsive(inst, now) || !inst.drainingSince.IsZero() {
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

// scaleIn deletes up to maxDelete machines, given with the reasons. After the cloud's answer it
// notifies the scheduler and the dispatcher.
func (a *Autoscaler) scaleIn(ctx context.Context, reasons map[string]string) {
	batch := a.startDeleting(reasons)
	if len(batch) == 0 {
		return
	}
	// If this process was paused since the decision, a successor may use these machines by
	// now.
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

// isDeleting reports whether a machine is being deleted, or was deleted and may still be listed.
// Called with mu held.
func (a *Autoscaler) isDeleting(name string) bool {
	_, ok := a.deleting[name]
	return ok
}

// forgetDeleted removes the deleted machines that no list contains any more. Called with mu held.
func (a *Autoscaler) forgetDeleted(now time.Time) {
	for name, unlisted := range a.deleting {
		if !unlisted.IsZero() && now.After(unlisted) {
			delete(a.deleting, name)
		}
	}
}

// startDeleting marks up to maxDelete machines that are not marked yet as being deleted, and
// returns their names.
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

// stopDeleting removes the marks of startDeleting.
func (a *Autoscaler) stopDeleting(batch []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range batch {
		delete(a.deleting, name)
	}
}
