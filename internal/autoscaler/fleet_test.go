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
	return New(Options{Platform: &config.Platform{}, Operator: &config.Operator{SilentS: 14}, Catalog: catalog, Log: log})
}

func demand(tasks int, spot bool, slack float64) []planner.Demand {
	return []planner.Demand{{Shape: matching.Resources{CPUs: 2, MemoryGB: 2}, Job: &wire.Job{Spot: spot, Kind: wire.KindArray, Tasks: tasks},
		Count: tasks, Run: 30, Slack: slack}}
}

// A job of the largest size must not make one plan rent, or even think, without
// bound.
func TestPlanIsBounded(t *testing.T) {
	f := testAutoscaler()
	start := time.Now()
	wants, _ := f.plan(time.Now(), demand(wire.MaxTasks, true, 20))
	for o, n := range wants {
		if n > maxProvision*f.inFlight() {
			t.Errorf("%d of %+v", n, o)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("took %v", took)
	}
}

// Spot machines are rented where allowed and to be had; ordinary ones for work
// that may not use them, or would be late.
func TestPlanPrefersSpot(t *testing.T) {
	f := testAutoscaler()
	now := time.Now()
	count := func(wants map[offer]int, spot bool) (n int) {
		for o, k := range wants {
			if o.Spot == spot {
				n += k
			}
		}
		return n
	}
	if w, _ := f.plan(now, demand(8, true, 60)); count(w, true) == 0 || count(w, false) != 0 {
		t.Errorf("spot allowed: %v", w)
	}
	if w, _ := f.plan(now, demand(8, false, 60)); count(w, true) != 0 || count(w, false) == 0 {
		t.Errorf("spot not allowed: %v", w)
	}
	for _, o := range f.offers(now) {
		if o.Spot {
			f.refused[o] = refusal{at: now}
		}
	}
	if w, _ := f.plan(now, demand(8, true, 60)); count(w, true) != 0 {
		t.Errorf("refused a moment ago: %v", w)
	}
}

// A zone or type that the job names is all that is rented for it.
func TestPlanKeepsToTheJobsPlaces(t *testing.T) {
	f := testAutoscaler()
	d := demand(40, true, 60)
	zone := "b"
	d[0].Job.Zone, d[0].Job.Types = &zone, []string{"small"}
	w, _ := f.plan(time.Now(), d)
	if len(w) == 0 {
		t.Error("nothing rented")
	}
	for o := range w {
		if o.Zone != "b" || o.Type != "small" {
			t.Errorf("rented %+v", o)
		}
	}
}

// Once a kind is refused, asking again can only help when machines of it were
// lost since; a fleet that asked every few seconds for all that it could not
// have left no call of the cloud's budget for what it could.
func TestRefusedOffersAreLeftAlone(t *testing.T) {
	f := testAutoscaler()
	o := offer{"small", "a", true}
	f.instances["n-1"] = &instance{name: "n-1", offer: o}
	f.refuse(o)
	offered := func(after time.Duration) bool {
		for _, x := range f.offers(time.Now().Add(after)) {
			if x == o {
				return true
			}
		}
		return false
	}
	if offered(refusedPause + time.Second) {
		t.Error("asked again although all that there was is held")
	}
	delete(f.instances, "n-1")
	if !offered(refusedPause + time.Second) {
		t.Error("not asked again although a machine was lost")
	}
	if offered(time.Second) || !offered(refusedLong+time.Second) {
		t.Error("the pauses do not hold")
	}
}

// While a roll-out may have to go back, the machines that its old version ran on
// are kept although they are idle.
func TestHeldCapacityIsNotReturned(t *testing.T) {
	now := time.Now()
	for _, hold := range []float64{0, 1e6} {
		f := testAutoscaler()
		f.reservedCPUs = func() float64 { return hold }
		h := &drains{}
		f.dispatcher = h
		f.op.IdleS = 20
		var load planner.WorkerLoad
		load.Heard = now
		for i := range 3 {
			name := fmt.Sprintf("n-%d", i)
			f.instances[name] = &instance{name: name, offer: offer{"small", "z", false}, hired: now.Add(-time.Hour), known: now.Add(-time.Hour), heard: now, idle: now.Add(-time.Hour), load: &load}
		}
		f.idle(now, nil)
		if (h.n > 0) != (hold == 0) {
			t.Errorf("with %v CPUs held %d machines are drained", hold, h.n)
		}
	}
}

type drains struct{ n int }

func (d *drains) Drain(string) bool   { d.n++; return true }
func (d *drains) RemoveWorker(string) {}
func (d *drains) PollReports(context.Context, map[string]string, time.Duration) {
}

// An array of many small tasks and a storm of tiny jobs on machines that are there:
// planned task by task they held a small controller's processor for seconds at a
// time (kitaboard-ops, incident d184), and nothing was started. What comes out must be what
// one task after the other gives.
func TestPlanTakesTasksTogether(t *testing.T) {
	f := testAutoscaler()
	now := time.Now()
	load := planner.WorkerLoad{Matrix: matching.NewWaitMatrix(matching.Resources{CPUs: 64, MemoryGB: 128},
		[]matching.Allocation{{Resources: matching.Resources{CPUs: 30, MemoryGB: 9}, RemainingS: 7}, {Resources: matching.Resources{CPUs: 3, MemoryGB: 70}, RemainingS: 12}}, nil), Heard: now}
	for i := range 200 {
		name := fmt.Sprintf("n-%d", i)
		f.instances[name] = &instance{name: name, offer: offer{"large", "a", true}, hired: now, known: now, heard: now, load: &load}
	}
	d := demand(25_000, true, 200)
	d[0].Shape = matching.Resources{CPUs: 0.5, MemoryGB: 1}
	d[0].Run = 5
	start := time.Now()
	f.plan(now, d)
	if took := time.Since(start); took > 200*time.Millisecond {
		t.Errorf("a plan took %v", took)
	}
	// On a quick machine the time tells nothing: each step of the plan makes a matrix.
	steps := testing.AllocsPerRun(1, func() {
		again := demand(25_000, true, 200)
		again[0].Shape, again[0].Run = matching.Resources{CPUs: 0.5, MemoryGB: 1}, 5
		f.plan(now, again)
	})
	if steps > 10_000 {
		t.Errorf("a plan for 25,000 tasks allocates %.0f times", steps)
	}
	rapid.Check(t, func(t *rapid.T) {
		total := matching.Resources{CPUs: 64, MemoryGB: 128}
		var running []matching.Allocation
		for range rapid.IntRange(0, 6).Draw(t, "running") {
			running = append(running, matching.Allocation{Resources: matching.Resources{CPUs: rapid.Float64Range(0.5, 10).Draw(t, "cpus"), MemoryGB: rapid.Float64Range(0, 20).Draw(t, "memory")}, RemainingS: rapid.Float64Range(0, 50).Draw(t, "left")})
		}
		d := &planner.Demand{Shape: matching.Resources{CPUs: float64(rapid.IntRange(1, 40).Draw(t, "size")) / 4, MemoryGB: float64(rapid.IntRange(0, 30).Draw(t, "gb"))}, Run: rapid.Float64Range(0.5, 30).Draw(t, "run")}
		n, patience := rapid.IntRange(0, 300).Draw(t, "tasks"), rapid.Float64Range(0, 90).Draw(t, "patience")
		s := &sim{matrix: matching.NewWaitMatrix(total, running, nil), boot: 3}
		one := s.matrix
		left := n
		for ; left > 0; left-- {
			w := one.Wait(d.Shape, d.Run)
			if s.boot+w > patience {
				break
			}
			one = one.Reserve(d.Shape, w, d.Run)
		}
		if got := f.fillOne(d, s, n, patience); got != left {
			t.Fatalf("%d of %d tasks are left, %d one by one", got, n, left)
		}
	})
}
