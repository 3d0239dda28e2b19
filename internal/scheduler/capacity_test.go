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

// Cluster sizes for the series that do not vary the cluster size.
const (
	fixedWorkers = 400
	fixedJobs    = 100
)

// newSchedulerWithTeams returns a scheduler with the given number of teams in its settings.
func newSchedulerWithTeams(tb testing.TB, teams int) *scheduler.Scheduler {
	operator, err := config.LoadOperator("")
	if err != nil {
		tb.Fatal(err)
	}
	platform := &config.Platform{Node: "a", Params: config.Params{State: config.State{RPS: 100, WriteRPS: 100, ValueKB: 16, TxnOps: 48}}}
	for i := range teams {
		platform.Params.Teams = append(platform.Params.Teams, config.Team{Name: fmt.Sprintf("team-%03d", i), CPUsMax: 64})
	}
	cluster := &fakeCluster{platform: platform, leaseRemaining: time.Minute}
	return newScheduler(platform, operator, cluster, cluster)
}

// sendIdleHeartbeat makes the scheduler observe a heartbeat of the i-th worker with the given
// tasks and with all resources free.
func (c *fakeCluster) sendIdleHeartbeat(i int, tasks ...dispatch.TaskView) {
	view := &c.views[i]
	view.Seq++
	view.Tasks, view.Matrix = tasks, matching.NewWaitMatrix(matching.Resources{CPUs: machineType.CPUs, MemoryGB: machineType.MemoryGB}, nil, nil)
	c.scheduler.ObserveWorker(*view)
}

// makeWorkersIdle sends a heartbeat of each of the first workers with all resources free, so
// that tasks are placed on them.
func (c *fakeCluster) makeWorkersIdle(workers int) {
	for i := range workers {
		c.sendIdleHeartbeat(i)
	}
}

// newPlacedCluster returns a cluster in which the given number of tasks is placed, four on each
// worker.
func newPlacedCluster(tb testing.TB, tasks int) *fakeCluster {
	cluster := newIdleCluster(tb, tasks)
	cluster.placeAll(tb, tasks/20, tasks)
	return cluster
}

// newIdleCluster returns a cluster in which the given number of tasks wait, with free resources
// for exactly these tasks.
func newIdleCluster(tb testing.TB, tasks int) *fakeCluster {
	cluster := newCluster(tb, tasks/4, 0)
	cluster.makeWorkersIdle(tasks / 4)
	cluster.submit(tasks)
	return cluster
}

// placeAll runs scheduling passes until the given number of tasks of the first jobs is placed.
// The workers continue to send heartbeats meanwhile: on a busy machine they would otherwise
// become unresponsive after some seconds, and no further task would be placed.
func (c *fakeCluster) placeAll(tb testing.TB, jobs, tasks int) {
	const maxPasses = 5000 // a pass ends when its time is used up, and on a busy machine it places few tasks
	heartbeats := time.Now()
	for passes, placed := 0, 0; placed < tasks; passes++ {
		if passes == maxPasses {
			tb.Fatalf("%d of %d tasks placed in %d passes", placed, tasks, passes)
		}
		if time.Since(heartbeats) > time.Second {
			c.makeWorkersIdle(tasks / 4)
			heartbeats = time.Now()
		}
		c.scheduler.Pass()
		placed = 0
		for i := range jobs {
			placed += c.scheduler.PlacedTasks(fmt.Sprintf("j-%06d", i))
		}
	}
}

// submit accepts jobs of 20 tasks each. Four tasks fill a worker.
func (c *fakeCluster) submit(tasks int) {
	for i := range tasks / 20 {
		c.scheduler.JobAccepted(&wire.Job{
			UID: fmt.Sprintf("j-%06d", i), Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 20,
			CPUs: 4, MemoryGB: 4, Image: "i", ImageGB: 0.01, EstimateS: 30, Spot: true,
		}, nil, 0, time.Now().UnixMilli(), uint64(i+1))
	}
}

// measurePlacementWrites returns the requests, writes and bytes sent to the state service to
// record the placements of the given number of tasks.
func measurePlacementWrites(tb testing.TB, tasks int) (requests, writes, bytes float64) {
	cluster := newPlacedCluster(tb, tasks)
	cluster.onTxn = func(ops []wire.Op) {
		data, err := json.Marshal(ops)
		if err != nil {
			tb.Fatal(err)
		}
		requests++
		writes += float64(len(ops))
		bytes += float64(len(data))
	}
	if err := cluster.scheduler.WriteAll(context.Background()); err != nil {
		tb.Fatal(err)
	}
	return requests, writes, bytes
}

// measureJobEndWrites returns the number of writes for the ends of the given number of jobs of
// one task each.
func measureJobEndWrites(tb testing.TB, jobs int) (writes float64) {
	cluster := newCluster(tb, jobs, 0)
	cluster.makeWorkersIdle(jobs)
	for i := range jobs {
		cluster.scheduler.JobAccepted(&wire.Job{
			UID: fmt.Sprintf("j-%06d", i), Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 1,
			CPUs: 16, MemoryGB: 4, EstimateS: 30, Spot: true,
		}, nil, 0, time.Now().UnixMilli(), uint64(i+1))
	}
	cluster.placeAll(tb, jobs, jobs)
	if err := cluster.scheduler.WriteAll(context.Background()); err != nil {
		tb.Fatal(err)
	}
	done := map[string][]dispatch.TaskView{}
	for i := range jobs {
		for _, ref := range cluster.scheduler.PlacementsOf(fmt.Sprintf("j-%06d", i)) {
			done[ref.Worker] = append(done[ref.Worker], dispatch.TaskView{Task: wire.Task{Task: ref.Task, Attempt: ref.Attempt, State: wire.TaskExited, Cause: wire.CauseDone}})
		}
	}
	for i := range cluster.views {
		cluster.sendIdleHeartbeat(i, done[cluster.views[i].Name]...)
	}
	cluster.onTxn = func(ops []wire.Op) { writes += float64(len(ops)) }
	if err := cluster.scheduler.WriteAll(context.Background()); err != nil {
		tb.Fatal(err)
	}
	return writes
}

// newFailoverCluster returns a cluster whose state service has the given number of jobs, with
// all placements of their tasks in the log, for the scheduler to load.
func newFailoverCluster(tb testing.TB, jobs int) *fakeCluster {
	cluster := newCluster(tb, 0, 0)
	cluster.items = map[string][]wire.Item{}
	add := func(prefix, key, value string) {
		cluster.items[prefix] = append(cluster.items[prefix], wire.Item{Key: prefix + key, Value: json.RawMessage(value), Version: 1})
	}
	for i := range jobs {
		add("live/", fmt.Sprintf("j-%06d", i), fmt.Sprintf(`{"job":{"uid":"j-%06d","docket":"c","crew":"t","sort":"sweep","pieces":20,"cpus":2}}`, i))
		placements := ""
		for task := range 20 {
			placements += fmt.Sprintf(",%d,%d,0", task, task+1)
		}
		add("log/", fmt.Sprintf("000/%05d", i), fmt.Sprintf(`{"seq":%d,"m":["n-%06d"],"j":[{"u":"j-%06d","p":[%s]}]}`, i+1, i, i, placements[1:]))
	}
	return cluster
}

// failOver makes the scheduler unload its shard and load it again.
func (c *fakeCluster) failOver(tb testing.TB) {
	c.scheduler.Unload()
	if err := c.scheduler.Load(context.Background()); err != nil {
		tb.Fatal(err)
	}
}

// measurePlacementHeap returns the heap bytes used by placing the given number of waiting
// tasks.
func measurePlacementHeap(tb testing.TB, tasks int) float64 {
	cluster := newIdleCluster(tb, tasks)
	return capacity.HeapBytes(func() any {
		cluster.placeAll(tb, tasks/20, tasks)
		if err := cluster.scheduler.WriteAll(context.Background()); err != nil {
			tb.Fatal(err)
		}
		return cluster
	})
}

// capacitySeries are the series in docs/CAPACITY.md that this package measures.
var capacitySeries = []capacity.Series{
	{Name: "scheduler.heapOfMachines", Sizes: []int{400, 800, 1600, 3200}, FixedSlack: 20_000, Measure: func(tb testing.TB, workers int) float64 {
		return capacity.HeapBytes(func() any { return newCluster(tb, workers, 0).scheduler })
	}},
	{Name: "scheduler.heapOfJobs", Sizes: []int{200, 400, 800, 1600}, FixedSlack: 20_000, Measure: func(tb testing.TB, jobs int) float64 {
		return capacity.HeapBytes(func() any { return newCluster(tb, 0, jobs).scheduler })
	}},
	{Name: "scheduler.heapOfPlaces", Sizes: []int{800, 1600, 3200, 6400}, FixedSlack: 86_000, Measure: func(tb testing.TB, tasks int) float64 {
		return capacity.Median(func() float64 { return measurePlacementHeap(tb, tasks) }) // the candidate workers are random
	}},
	{Name: "scheduler.heapOfTeams", Sizes: []int{50, 100, 200, 400}, FixedSlack: 10_000, Measure: func(tb testing.TB, teams int) float64 {
		return capacity.HeapBytes(func() any { return newSchedulerWithTeams(tb, teams) })
	}},
	{Name: "scheduler.requestsOfStarts", Sizes: []int{400, 800, 1600, 3200}, FixedSlack: 1, Measure: func(tb testing.TB, tasks int) float64 {
		requests, _, _ := measurePlacementWrites(tb, tasks)
		return requests
	}},
	{Name: "scheduler.writesOfStarts", Sizes: []int{400, 800, 1600, 3200}, FixedSlack: 1, Measure: func(tb testing.TB, tasks int) float64 {
		_, writes, _ := measurePlacementWrites(tb, tasks)
		return writes
	}},
	{Name: "scheduler.bytesOfStarts", Sizes: []int{400, 800, 1600, 3200}, FixedSlack: 1000, Measure: func(tb testing.TB, tasks int) float64 {
		_, _, bytes := measurePlacementWrites(tb, tasks)
		return bytes
	}},
	{Name: "scheduler.writesOfEnds", Sizes: []int{25, 50, 100, 200}, FixedSlack: 1, Measure: func(tb testing.TB, jobs int) float64 { return measureJobEndWrites(tb, jobs) }},
	{Name: "scheduler.allocsOfReport", Sizes: []int{400, 800, 1600, 3200}, FixedSlack: 1, Measure: func(tb testing.TB, workers int) float64 {
		cluster, i := newCluster(tb, workers, 0), 0
		return testing.AllocsPerRun(workers, func() {
			view := &cluster.views[i%workers]
			view.Seq++
			cluster.scheduler.ObserveWorker(*view)
			i++
		})
	}},
	{Name: "scheduler.allocsOfTakeover", Sizes: []int{100, 200, 400, 800}, FixedSlack: 200, Measure: func(tb testing.TB, jobs int) float64 {
		cluster := newFailoverCluster(tb, jobs)
		return testing.AllocsPerRun(1, func() { cluster.failOver(tb) })
	}},
	{Name: "scheduler.report", Noisy: true, Sizes: []int{400, 800, 1600, 3200}, Measure: func(tb testing.TB, workers int) float64 {
		cluster, i := newCluster(tb, workers, fixedJobs), 0
		cluster.scheduler.Pass()
		return capacity.ProcessorTime(tb, func() {
			view := &cluster.views[i%workers]
			view.Seq++
			cluster.scheduler.ObserveWorker(*view)
			i++
		})
	}},
	{Name: "scheduler.passOfMachines", Noisy: true, Sizes: []int{650, 1300, 2600, 5200}, Measure: func(tb testing.TB, workers int) float64 {
		cluster := newCluster(tb, workers, fixedJobs)
		return capacity.ProcessorTime(tb, cluster.scheduler.Pass)
	}},
	{Name: "scheduler.passOfJobs", Noisy: true, Sizes: []int{100, 200, 400, 800}, Measure: func(tb testing.TB, jobs int) float64 {
		cluster := newCluster(tb, fixedWorkers, jobs)
		return capacity.ProcessorTime(tb, cluster.scheduler.Pass)
	}},
	{Name: "scheduler.placeTasks", Noisy: true, Sizes: []int{400, 800, 1600, 3200}, Measure: func(tb testing.TB, tasks int) float64 {
		return capacity.ProcessorTimeAfterSetup(tb, func() func() {
			cluster := newIdleCluster(tb, tasks)
			return func() {
				cluster.placeAll(tb, tasks/20, tasks)
				if err := cluster.scheduler.WriteAll(context.Background()); err != nil {
					tb.Fatal(err)
				}
			}
		})
	}},
	{Name: "scheduler.demand", Noisy: true, Sizes: []int{650, 1300, 2600, 5200}, Measure: func(tb testing.TB, workers int) float64 {
		cluster := newCluster(tb, workers, fixedJobs)
		cluster.scheduler.Pass()
		return capacity.ProcessorTime(tb, func() { cluster.scheduler.Demand(20) })
	}},
	{Name: "scheduler.takeover", Noisy: true, Sizes: []int{100, 200, 400, 800}, Measure: func(tb testing.TB, jobs int) float64 {
		cluster := newFailoverCluster(tb, jobs)
		return capacity.ProcessorTime(tb, func() { cluster.failOver(tb) })
	}},
}

func TestCapacity(t *testing.T)      { capacity.Check(t, capacitySeries...) }
func BenchmarkCapacity(b *testing.B) { capacity.Bench(b, capacitySeries...) }
