package scheduler_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/capacity"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/wire"
)

// Of the sites that the slopes are for, where the series varies another number.
const (
	someMachines = 400
	someJobs     = 100
)

// teamsOwner is an owner whose settings name so many teams.
func teamsOwner(tb testing.TB, teams int) *scheduler.Scheduler {
	op, err := config.LoadOperator("")
	if err != nil {
		tb.Fatal(err)
	}
	cfg := &config.Platform{Node: "a", Params: config.Params{State: config.State{RPS: 100, WriteRPS: 100, ValueKB: 16, TxnOps: 48}}}
	for i := range teams {
		cfg.Params.Teams = append(cfg.Params.Teams, config.Team{Name: fmt.Sprintf("team-%03d", i), CPUsMax: 64})
	}
	f := &fleet{cfg: cfg}
	return newScheduler(cfg, op, f, f)
}

// see has the owner see a report of the i-th machine, which has room and these tasks.
func (f *fleet) see(i int, tasks ...dispatch.TaskView) {
	v := &f.views[i]
	v.Seq++
	v.Tasks, v.Matrix = tasks, matching.NewWaitMatrix(matching.Resources{CPUs: size.CPUs, MemoryGB: size.MemoryGB}, nil, nil)
	f.owner.ObserveWorker(*v)
}

// roomFor makes machines of the fleet empty, so that each takes placements.
func (f *fleet) roomFor(machines int) {
	for i := range machines {
		f.see(i)
	}
}

// placedTasks is a fleet whose passes placed so many tasks, four on each machine.
func placedTasks(tb testing.TB, tasks int) *fleet {
	f := emptyFleet(tb, tasks)
	f.placeAll(tb, tasks/20, tasks)
	return f
}

// emptyFleet has room for just so many tasks, which wait.
func emptyFleet(tb testing.TB, tasks int) *fleet {
	f := newFleet(tb, tasks/4, 0)
	f.roomFor(tasks / 4)
	f.submit(tasks)
	return f
}

// placeAll makes passes until so many tasks of these jobs have a place.
func (f *fleet) placeAll(tb testing.TB, jobs, tasks int) {
	const mostPasses = 5000 // a pass ends with its time, in which a busy machine places few
	for passes, placed := 0, 0; placed < tasks; passes++ {
		if passes == mostPasses {
			tb.Fatalf("%d of %d tasks placed in %d passes", placed, tasks, passes)
		}
		f.owner.Pass()
		placed = 0
		for i := range jobs {
			placed += f.owner.Placed(fmt.Sprintf("j-%06d", i))
		}
	}
}

// submit accepts jobs of 20 tasks, four of which fill a machine.
func (f *fleet) submit(tasks int) {
	for i := range tasks / 20 {
		f.owner.JobAccepted(&wire.Job{
			UID: fmt.Sprintf("j-%06d", i), Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 20,
			CPUs: 4, MemoryGB: 4, Image: "i", ImageGB: 0.01, Estimate: 30, Spot: true,
		}, nil, 0, time.Now().UnixMilli(), uint64(i+1))
	}
}

// recorded is what the state service is asked to write for so many placements.
func recorded(tb testing.TB, tasks int) (requests, writes, bytes float64) {
	f := placedTasks(tb, tasks)
	f.sent = func(ops []wire.Op) {
		data, err := json.Marshal(ops)
		if err != nil {
			tb.Fatal(err)
		}
		requests++
		writes += float64(len(ops))
		bytes += float64(len(data))
	}
	if err := f.owner.Record(context.Background()); err != nil {
		tb.Fatal(err)
	}
	return requests, writes, bytes
}

// ended is the writes for so many jobs of one task that are done.
func ended(tb testing.TB, jobs int) (writes float64) {
	f := newFleet(tb, jobs, 0)
	f.roomFor(jobs)
	for i := range jobs {
		f.owner.JobAccepted(&wire.Job{
			UID: fmt.Sprintf("j-%06d", i), Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 1,
			CPUs: 16, MemoryGB: 4, Estimate: 30, Spot: true,
		}, nil, 0, time.Now().UnixMilli(), uint64(i+1))
	}
	f.placeAll(tb, jobs, jobs)
	if err := f.owner.Record(context.Background()); err != nil {
		tb.Fatal(err)
	}
	done := map[string][]dispatch.TaskView{}
	for i := range jobs {
		for _, ref := range f.owner.PlacesOf(fmt.Sprintf("j-%06d", i)) {
			done[ref.Machine] = append(done[ref.Machine], dispatch.TaskView{Task: wire.Task{Task: ref.Task, Attempt: ref.Attempt, State: wire.TaskExited, Cause: wire.CauseDone}})
		}
	}
	for i := range f.views {
		f.see(i, done[f.views[i].Name]...)
	}
	f.sent = func(ops []wire.Op) { writes += float64(len(ops)) }
	if err := f.owner.Record(context.Background()); err != nil {
		tb.Fatal(err)
	}
	return writes
}

// takeover is an owner that is to read so many jobs, of whose tasks a full log tells.
func takeover(tb testing.TB, jobs int) *fleet {
	f := newFleet(tb, 0, 0)
	f.items = map[string][]wire.Item{}
	add := func(prefix, key, value string) {
		f.items[prefix] = append(f.items[prefix], wire.Item{Key: prefix + key, Value: json.RawMessage(value), Version: 1})
	}
	for i := range jobs {
		add("live/", fmt.Sprintf("j-%06d", i), fmt.Sprintf(`{"job":{"uid":"j-%06d","docket":"c","crew":"t","sort":"sweep","pieces":20,"cpus":2}}`, i))
		places := ""
		for k := range 20 {
			places += fmt.Sprintf(",%d,%d,0", k, k+1)
		}
		add("log/", fmt.Sprintf("000/%05d", i), fmt.Sprintf(`{"seq":%d,"m":["n-%06d"],"j":[{"u":"j-%06d","p":[%s]}]}`, i+1, i, i, places[1:]))
	}
	return f
}

func (f *fleet) takeOver(tb testing.TB) {
	f.owner.Unload()
	if err := f.owner.Load(context.Background()); err != nil {
		tb.Fatal(err)
	}
}

// heapOfPlaces is what the places of so many waiting tasks take once they have one.
func heapOfPlaces(tb testing.TB, tasks int) float64 {
	f := emptyFleet(tb, tasks)
	return capacity.Heap(func() any {
		f.placeAll(tb, tasks/20, tasks)
		if err := f.owner.Record(context.Background()); err != nil {
			tb.Fatal(err)
		}
		return f
	})
}

var capacitySeries = []capacity.Series{
	{Name: "owner.heapOfMachines", Sizes: []int{400, 800, 1600, 3200}, FixedSlack: 20_000, Measure: func(tb testing.TB, machines int) float64 {
		return capacity.Heap(func() any { return newFleet(tb, machines, 0).owner })
	}},
	{Name: "owner.heapOfJobs", Sizes: []int{200, 400, 800, 1600}, FixedSlack: 20_000, Measure: func(tb testing.TB, jobs int) float64 {
		return capacity.Heap(func() any { return newFleet(tb, 0, jobs).owner })
	}},
	{Name: "owner.heapOfPlaces", Sizes: []int{800, 1600, 3200, 6400}, FixedSlack: 86_000, Measure: func(tb testing.TB, tasks int) float64 {
		return capacity.Median(func() float64 { return heapOfPlaces(tb, tasks) }) // candidates are drawn at random
	}},
	{Name: "owner.heapOfTeams", Sizes: []int{50, 100, 200, 400}, FixedSlack: 10_000, Measure: func(tb testing.TB, teams int) float64 {
		return capacity.Heap(func() any { return teamsOwner(tb, teams) })
	}},
	{Name: "owner.requestsOfStarts", Sizes: []int{400, 800, 1600, 3200}, FixedSlack: 1, Measure: func(tb testing.TB, tasks int) float64 {
		requests, _, _ := recorded(tb, tasks)
		return requests
	}},
	{Name: "owner.writesOfStarts", Sizes: []int{400, 800, 1600, 3200}, FixedSlack: 1, Measure: func(tb testing.TB, tasks int) float64 {
		_, writes, _ := recorded(tb, tasks)
		return writes
	}},
	{Name: "owner.bytesOfStarts", Sizes: []int{400, 800, 1600, 3200}, FixedSlack: 1000, Measure: func(tb testing.TB, tasks int) float64 {
		_, _, bytes := recorded(tb, tasks)
		return bytes
	}},
	{Name: "owner.writesOfEnds", Sizes: []int{25, 50, 100, 200}, FixedSlack: 1, Measure: func(tb testing.TB, jobs int) float64 { return ended(tb, jobs) }},
	{Name: "owner.allocsOfReport", Sizes: []int{400, 800, 1600, 3200}, FixedSlack: 1, Measure: func(tb testing.TB, machines int) float64 {
		f, i := newFleet(tb, machines, 0), 0
		return testing.AllocsPerRun(machines, func() {
			v := &f.views[i%machines]
			v.Seq++
			f.owner.ObserveWorker(*v)
			i++
		})
	}},
	{Name: "owner.allocsOfTakeover", Sizes: []int{100, 200, 400, 800}, FixedSlack: 200, Measure: func(tb testing.TB, jobs int) float64 {
		f := takeover(tb, jobs)
		return testing.AllocsPerRun(1, func() { f.takeOver(tb) })
	}},
	{Name: "owner.report", Scatters: true, Sizes: []int{400, 800, 1600, 3200}, Measure: func(tb testing.TB, machines int) float64 {
		f, i := newFleet(tb, machines, someJobs), 0
		f.owner.Pass()
		return capacity.ProcessorTime(tb, func() {
			v := &f.views[i%machines]
			v.Seq++
			f.owner.ObserveWorker(*v)
			i++
		})
	}},
	{Name: "owner.passOfMachines", Scatters: true, Sizes: []int{650, 1300, 2600, 5200}, Measure: func(tb testing.TB, machines int) float64 {
		f := newFleet(tb, machines, someJobs)
		return capacity.ProcessorTime(tb, f.owner.Pass)
	}},
	{Name: "owner.passOfJobs", Scatters: true, Sizes: []int{100, 200, 400, 800}, Measure: func(tb testing.TB, jobs int) float64 {
		f := newFleet(tb, someMachines, jobs)
		return capacity.ProcessorTime(tb, f.owner.Pass)
	}},
	{Name: "owner.placeTasks", Scatters: true, Sizes: []int{400, 800, 1600, 3200}, Measure: func(tb testing.TB, tasks int) float64 {
		return capacity.ProcessorTimeOf(tb, func() func() {
			f := emptyFleet(tb, tasks)
			return func() {
				f.placeAll(tb, tasks/20, tasks)
				if err := f.owner.Record(context.Background()); err != nil {
					tb.Fatal(err)
				}
			}
		})
	}},
	{Name: "owner.demand", Scatters: true, Sizes: []int{650, 1300, 2600, 5200}, Measure: func(tb testing.TB, machines int) float64 {
		f := newFleet(tb, machines, someJobs)
		f.owner.Pass()
		return capacity.ProcessorTime(tb, func() { f.owner.Demand(20) })
	}},
	{Name: "owner.takeover", Scatters: true, Sizes: []int{100, 200, 400, 800}, Measure: func(tb testing.TB, jobs int) float64 {
		f := takeover(tb, jobs)
		return capacity.ProcessorTime(tb, func() { f.takeOver(tb) })
	}},
}

func TestCapacity(t *testing.T)      { capacity.Check(t, capacitySeries...) }
func BenchmarkCapacity(b *testing.B) { capacity.Bench(b, capacitySeries...) }
