package autoscaler

import (
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/wire"
)

// observeDraining makes the autoscaler observe a heartbeat of the worker, and returns the machines to
// be deleted.
func (a *Autoscaler) observeDraining(inst *instance, now time.Time, draining bool) map[string]string {
	load := *inst.load
	load.Draining, load.LastHeartbeat = draining, now
	unwanted := map[string]string{}
	a.observe(now, []planner.WorkerLoad{load}, unwanted)
	a.collectUnwanted(now, unwanted)
	return unwanted
}

// A worker that was drained in an earlier term starts no tasks. If a leader counted it as capacity, work
// would wait beside it for ever; if it did not delete it, the machine would be paid for in vain.
func TestWorkerDrainedInEarlierTermIsDeletedAndNoCapacity(t *testing.T) {
	a := newZonedAutoscaler()
	now := time.Now()
	inst := a.addMachine("a", true, tasksPerTestMachine)
	if unwanted := a.observeDraining(inst, now, true); len(unwanted) != 0 {
		t.Errorf("deleted at once: %v", unwanted)
	}
	w := a.wantedByPlan(now, zonedDemand(&wire.Job{Kind: wire.KindArray, Tasks: 1}, 1, nil))
	if len(w) != 1 {
		t.Errorf("plan wants %v, want one machine beside the drained one", w)
	}
	if idle, cpus := a.idleWorkers(now); len(idle) != 0 || cpus != 0 {
		t.Errorf("%d idle workers with %v CPUs", len(idle), cpus)
	}
	if unwanted := a.observeDraining(inst, now.Add(2*planInterval), true); unwanted[inst.name] == "" {
		t.Error("not deleted")
	}
}

// A worker that its dispatcher does not drain any more takes tasks, so it counts as capacity again.
func TestWorkerThatIsNoLongerDrainedIsCapacity(t *testing.T) {
	a := newZonedAutoscaler()
	now := time.Now()
	inst := a.addMachine("a", true, tasksPerTestMachine)
	inst.load.Placements = 1
	a.observeDraining(inst, now, true)
	if a.observeDraining(inst, now.Add(drainConfirmation/2), false); inst.drainingSince.IsZero() {
		t.Error("a heartbeat from about the time of the drain counts")
	}
	if a.observeDraining(inst, now.Add(2*drainConfirmation), false); !inst.drainingSince.IsZero() {
		t.Error("still draining")
	}
	if w := a.wantedByPlan(now.Add(2*drainConfirmation), zonedDemand(&wire.Job{Kind: wire.KindArray, Tasks: 1}, 1, nil)); len(w) != 0 {
		t.Errorf("plan wants %v beside a worker with room", w)
	}
}
