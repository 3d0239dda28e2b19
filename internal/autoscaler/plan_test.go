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
	return newTestAutoscaler(
		wire.MachineType{Name: "small", CPUs: 8, MemoryGB: 32, Price: 0.6, SpotPrice: 0.2, BootS: 20, Zones: []string{"a", "b"}},
		wire.MachineType{Name: "large", CPUs: 64, MemoryGB: 128, Price: 4, SpotPrice: 1.3, BootS: 40, Zones: []string{"a"}},
	)
}

// newTestAutoscaler returns an autoscaler for machines of the types.
func newTestAutoscaler(types ...wire.MachineType) *Autoscaler {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	catalog := NewCatalog(nil, nil, log)
	catalog.set(types)
	return New(Options{Platform: &config.Platform{}, Operator: &config.Operator{HeartbeatTimeoutS: 14}, Catalog: catalog, Log: log})
}

// refuse records that the cloud refused the offers that are chosen.
func (a *Autoscaler) refuse(chosen func(offer) bool) {
	now := time.Now()
	for _, o := range a.offers(now) {
		if chosen(o) {
			a.refusals[o] = refusal{at: now}
		}
	}
}

// wantedByPlan plans once and returns the machines that the plan wants.
func (a *Autoscaler) wantedByPlan(now time.Time, demand []planner.Demand) map[offer]int {
	return a.plan(now, demand).wanted
}

func demand(tasks int, spot bool, slack float64) []planner.Demand {
	return []planner.Demand{{
		Resources: matching.Resources{CPUs: 2, MemoryGB: 2}, Job: &wire.Job{Spot: spot, Kind: wire.KindArray, Tasks: tasks},
		Count: tasks, RunS: 30, SlackS: slack,
	}}
}

// The plan for a job of the maximum size must be bounded in time and in the machines that it wants.
func TestPlanOfLargestJobIsBounded(t *testing.T) {
	a := testAutoscaler()
	start := time.Now()
	wanted := a.wantedByPlan(time.Now(), demand(wire.MaxTasksPerJob, true, 20))
	for o, n := range wanted {
		if n > maxProvision*a.maxInFlight() {
			t.Errorf("plan wants %d machines of %+v", n, o)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("plan took %v", took)
	}
}

// Spot machines are provisioned where allowed and available; on-demand ones for work that may
// not run on spot machines, or would otherwise be late.
func TestPlanPrefersSpot(t *testing.T) {
	a := testAutoscaler()
	now := time.Now()
	count := func(wanted map[offer]int, spot bool) (n int) {
		for o, k := range wanted {
			if o.Spot == spot {
				n += k
			}
		}
		return n
	}
	if w := a.wantedByPlan(now, demand(8, true, 60)); count(w, true) == 0 || count(w, false) != 0 {
		t.Errorf("spot allowed: plan wants %v", w)
	}
	if w := a.wantedByPlan(now, demand(8, false, 60)); count(w, true) != 0 || count(w, false) == 0 {
		t.Errorf("spot not allowed: plan wants %v", w)
	}
	a.refuse(func(o offer) bool { return o.Spot })
	if w := a.wantedByPlan(now, demand(8, true, 60)); count(w, true) != 0 {
		t.Errorf("spot offers refused recently: plan wants %v", w)
	}
}

// For a job with a zone and types, only machines of that zone and these types are provisioned.
func TestPlanHonorsZoneAndTypes(t *testing.T) {
	a := testAutoscaler()
	d := demand(40, true, 60)
	zone := "b"
	d[0].Job.Zone, d[0].Job.Types = &zone, []string{"small"}
	w := a.wantedByPlan(time.Now(), d)
	if len(w) == 0 {
		t.Error("nothing provisioned")
	}
	for o := range w {
		if o.Zone != "b" || o.Type != "small" {
			t.Errorf("provisioned %+v", o)
		}
	}
}

// After an offer is refused, a request for it can only succeed if machines of it were lost since.
// Requesting all refused offers every few seconds would use up the cloud's rate limit.
func TestRefusedOfferIsRequestedAgainAfterLossOrPause(t *testing.T) {
	a := testAutoscaler()
	o := offer{"small", "a", true}
	a.instances["n-1"] = &instance{name: "n-1", offer: o}
	a.recordRefusal(o)
	offered := func(after time.Duration) bool {
		for _, x := range a.offers(time.Now().Add(after)) {
			if x == o {
				return true
			}
		}
		return false
	}
	if offered(refusalBackoff + time.Second) {
		t.Error("requested again although no machine was lost")
	}
	delete(a.instances, "n-1")
	if !offered(refusalBackoff + time.Second) {
		t.Error("not requested again although a machine was lost")
	}
	if offered(time.Second) || !offered(longRefusalBackoff+time.Second) {
		t.Error("requested within the backoff, or not after the long backoff")
	}
}

// While a roll-out may be rolled back, the machines on which its old version ran must be
// retained although they are idle.
func TestReservedCapacityIsNotDrained(t *testing.T) {
	now := time.Now()
	for _, reserved := range []float64{0, 1e6} {
		a := testAutoscaler()
		a.reservedCPUs = func() float64 { return reserved }
		dispatcher := &fakeDispatcher{}
		a.dispatcher = dispatcher
		a.op.IdleTimeoutS = 20
		var load planner.WorkerLoad
		load.LastHeartbeat = now
		for i := range 3 {
			name := fmt.Sprintf("n-%d", i)
			a.instances[name] = &instance{name: name, offer: offer{"small", "z", false}, provisionedAt: now.Add(-time.Hour), discoveredAt: now.Add(-time.Hour), lastHeartbeat: now, idleSince: now.Add(-time.Hour), load: &load}
		}
		a.drainIdle(now, nil)
		if (dispatcher.drained > 0) != (reserved == 0) {
			t.Errorf("with %v CPUs reserved, %d machines were drained", reserved, dispatcher.drained)
		}
	}
}

// fakeDispatcher is a Dispatcher that counts drained workers.
type fakeDispatcher struct{ drained int }

func (d *fakeDispatcher) Drain(string) bool   { d.drained++; return true }
func (d *fakeDispatcher) RemoveWorker(string) {}
func (d *fakeDispatcher) PollReports(context.Context, map[string]string, time.Duration) {
}

// Planning many small tasks one by one occupies a small controller's processor for seconds, in
// which nothing is started (incident d184 of kitaboard-ops). The batched plan must leave the
// same number of tasks unplaced as a plan that places one task after the other.
func TestPlanOfManySmallTasksIsFastAndExact(t *testing.T) {
	a := testAutoscaler()
	now := time.Now()
	load := planner.WorkerLoad{Matrix: matching.NewWaitMatrix(matching.Resources{CPUs: 64, MemoryGB: 128},
		[]matching.Allocation{{Resources: matching.Resources{CPUs: 30, MemoryGB: 9}, RemainingS: 7}, {Resources: matching.Resources{CPUs: 3, MemoryGB: 70}, RemainingS: 12}}, nil), LastHeartbeat: now}
	for i := range 200 {
		name := fmt.Sprintf("n-%d", i)
		a.instances[name] = &instance{name: name, offer: offer{"large", "a", true}, provisionedAt: now, discoveredAt: now, lastHeartbeat: now, load: &load}
	}
	d := demand(25_000, true, 200)
	d[0].Resources = matching.Resources{CPUs: 0.5, MemoryGB: 1}
	d[0].RunS = 5
	start := time.Now()
	a.plan(now, d)
	if took := time.Since(start); took > 200*time.Millisecond {
		t.Errorf("a plan took %v", took)
	}
	// On a fast machine the time alone would not show a regression. Each step of the plan
	// allocates a matrix, so that the allocations count the steps.
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
		s := &simulatedMachine{matrix: matching.NewWaitMatrix(total, running, nil), bootS: 3}
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
			t.Fatalf("fill leaves %d of %d tasks, want %d as when placed one by one", got, n, left)
		}
	})
}
