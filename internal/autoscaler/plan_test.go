package autoscaler

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/wire"
)

func testAutoscaler() *Autoscaler {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	catalog := NewCatalog(nil, nil, log)
	catalog.set([]wire.MachineType{
		{Name: "small", CPUs: 8, MemoryGB: 32, Price: 0.6, SpotPrice: 0.2, BootS: 20, Zones: []string{"a", "b"}},
		{Name: "large", CPUs: 64, MemoryGB: 128, Price: 4, SpotPrice: 1.3, BootS: 40, Zones: []string{"a"}},
	})
	return New(Options{Platform: &config.Platform{}, Operator: &config.Operator{HeartbeatTimeoutS: 14}, Catalog: catalog, Log: log})
}

func demand(tasks int, spot bool, slack float64) []planner.Demand {
	return []planner.Demand{{
		Resources: matching.Resources{CPUs: 2, MemoryGB: 2}, Job: &wire.Job{Spot: spot, Kind: wire.KindArray, Tasks: tasks},
		Count: tasks, RunS: 30, SlackS: slack,
	}}
}

// A job of the largest size must make no plan provision, or take time, without bound.
func TestPlanOfLargestJobIsBounded(t *testing.T) {
	a := testAutoscaler()
	start := time.Now()
	wants, _ := a.plan(time.Now(), demand(wire.MaxTasksPerJob, true, 20))
	for o, n := range wants {
		if n > maxProvision*a.maxInFlight() {
			t.Errorf("%d of %+v", n, o)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("took %v", took)
	}
}

// Spot machines are provisioned where allowed and available; on-demand ones for work
// that may not use them, or would be late.
func TestPlanPrefersSpot(t *testing.T) {
	a := testAutoscaler()
	now := time.Now()
	count := func(wants map[offer]int, spot bool) (n int) {
		for o, k := range wants {
			if o.Spot == spot {
				n += k
			}
		}
		return n
	}
	if w, _ := a.plan(now, demand(8, true, 60)); count(w, true) == 0 || count(w, false) != 0 {
		t.Errorf("spot allowed: %v", w)
	}
	if w, _ := a.plan(now, demand(8, false, 60)); count(w, true) != 0 || count(w, false) == 0 {
		t.Errorf("spot not allowed: %v", w)
	}
	for _, o := range a.offers(now) {
		if o.Spot {
			a.refusals[o] = refusal{at: now}
		}
	}
	if w, _ := a.plan(now, demand(8, true, 60)); count(w, true) != 0 {
		t.Errorf("refused a moment ago: %v", w)
	}
}

// For a job that names zone and types only machines of these are provisioned.
func TestPlanKeepsToJobsZoneAndTypes(t *testing.T) {
	a := testAutoscaler()
	d := demand(40, true, 60)
	zone := "b"
	d[0].Job.Zone, d[0].Job.Types = &zone, []string{"small"}
	w, _ := a.plan(time.Now(), d)
	if len(w) == 0 {
		t.Error("nothing provisioned")
	}
	for o := range w {
		if o.Zone != "b" || o.Type != "small" {
			t.Errorf("provisioned %+v", o)
		}
	}
}

// Once an offer is refused, a request for it can only succeed when machines of it were
// lost since; an autoscaler that requested every few seconds all that it could not
// have left nothing of the cloud's rate limit for what it could.
func TestRefusedOfferIsRequestedAgainAfterLossOrPause(t *testing.T) {
	a := testAutoscaler()
	o := offer{"small", "a", true}
	a.instances["n-1"] = &instance{name: "n-1", offer: o}
	a.refuse(o)
	offered := func(after time.Duration) bool {
		for _, x := range a.offers(time.Now().Add(after)) {
			if x == o {
				return true
			}
		}
		return false
	}
	if offered(refusalPause + time.Second) {
		t.Error("requested again although no machine was lost")
	}
	delete(a.instances, "n-1")
	if !offered(refusalPause + time.Second) {
		t.Error("not requested again although a machine was lost")
	}
	if offered(time.Second) || !offered(longRefusalPause+time.Second) {
		t.Error("the pauses do not hold")
	}
}

// While a roll-out may be rolled back, the machines that its old version ran on
// are kept although they are idle.
func TestReservedCapacityIsNotDrained(t *testing.T) {
	now := time.Now()
	for _, reserved := range []float64{0, 1e6} {
		a := testAutoscaler()
		a.reservedCPUs = func() float64 { return reserved }
		dispatcher := &drainCounter{}
		a.dispatcher = dispatcher
		a.op.IdleTimeoutS = 20
		var load planner.WorkerLoad
		load.LastHeartbeat = now
		for i := range 3 {
			name := fmt.Sprintf("n-%d", i)
			a.instances[name] = &instance{name: name, offer: offer{"small", "z", false}, provisioned: now.Add(-time.Hour), discovered: now.Add(-time.Hour), lastHeartbeat: now, idleSince: now.Add(-time.Hour), load: &load}
		}
		a.drainIdle(now, nil)
		if (dispatcher.drained > 0) != (reserved == 0) {
			t.Errorf("with %v CPUs reserved %d machines are drained", reserved, dispatcher.drained)
		}
	}
}

// drainCounter is a Dispatcher that counts drained workers.
type drainCounter struct{ drained int }

func (d *drainCounter) Drain(string) bool   { d.drained++; return true }
func (d *drainCounter) RemoveWorker(string) {}
func (d *drainCounter) PollReports(context.Context, map[string]string, time.Duration) {
}

// Many small tasks on machines that are up: planned task by task they held a small
// controller's processor for seconds at a time, and nothing was started (incident d184 of
// kitaboard-ops). The result must be that of one task after the other.
func TestPlanOfManySmallTasksIsQuickAndExact(t *testing.T) {
	a := testAutoscaler()
	now := time.Now()
	load := planner.WorkerLoad{Matrix: matching.NewWaitMatrix(matching.Resources{CPUs: 64, MemoryGB: 128},
		[]matching.Allocation{{Resources: matching.Resources{CPUs: 30, MemoryGB: 9}, RemainingS: 7}, {Resources: matching.Resources{CPUs: 3, MemoryGB: 70}, RemainingS: 12}}, nil), LastHeartbeat: now}
	for i := range 200 {
		name := fmt.Sprintf("n-%d", i)
		a.instances[name] = &instance{name: name, offer: offer{"large", "a", true}, provisioned: now, discovered: now, lastHeartbeat: now, load: &load}
	}
	d := demand(25_000, true, 200)
	d[0].Resources = matching.Resources{CPUs: 0.5, MemoryGB: 1}
	d[0].RunS = 5
	start := time.Now()
	a.plan(now, d)
	if took := time.Since(start); took > 200*time.Millisecond {
		t.Errorf("a plan took %v", took)
	}
	// On a quick machine the time shows nothing: each step of the plan makes a matrix.
	steps := testing.AllocsPerRun(1, func() {
		again := demand(25_000, true, 200)
		again[0].Resources, again[0].RunS = matching.Resources{CPUs: 0.5, MemoryGB: 1}, 5
		a.plan(now, again)
	})
	if steps > 10_000 {
		t.Errorf("a plan for 25,000 tasks allocates %.0f times", steps)
	}
	rapid.Check(t, func(t *rapid.T) {
		total := matching.Resources{CPUs: 64, MemoryGB: 128}
		count := rapid.IntRange(0, 6).Draw(t, "running")
		running := make([]matching.Allocation, 0, count)
		for range count {
			running = append(running, matching.Allocation{Resources: matching.Resources{CPUs: rapid.Float64Range(0.5, 10).Draw(t, "cpus"), MemoryGB: rapid.Float64Range(0, 20).Draw(t, "memory")}, RemainingS: rapid.Float64Range(0, 50).Draw(t, "left")})
		}
		d := &planner.Demand{Resources: matching.Resources{CPUs: float64(rapid.IntRange(1, 40).Draw(t, "size")) / 4, MemoryGB: float64(rapid.IntRange(0, 30).Draw(t, "gb"))}, RunS: rapid.Float64Range(0.5, 30).Draw(t, "run")}
		n, maxWaitS := rapid.IntRange(0, 300).Draw(t, "tasks"), rapid.Float64Range(0, 90).Draw(t, "patience")
		s := &simulated{matrix: matching.NewWaitMatrix(total, running, nil), bootS: 3}
		one := s.matrix
		left := n
		for ; left > 0; left-- {
			w := one.Wait(d.Resources, d.RunS)
			if s.bootS+w > maxWaitS {
				break
			}
			one = one.Reserve(d.Resources, w, d.RunS)
		}
		if got := s.fill(d, n, maxWaitS); got != left {
			t.Fatalf("%d of %d tasks are left, %d one by one", got, n, left)
		}
	})
}
