package scheduler_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/wire"
)

// fakeCluster is a scheduler that leads the only shard, with generated workers. It also
// implements the scheduler's dependencies (state service, membership, dispatchers and machine
// types), which accept every request.
type fakeCluster struct {
	scheduler *scheduler.Scheduler
	platform  *config.Platform
	views     []dispatch.WorkerView // last observed views, by index of the worker
	revision  uint64                // last revision of the state service

	leaseRemaining time.Duration
	leadsNoShard   atomic.Bool            // no shard is claimed
	items          map[string][]wire.Item // stored in the state service, by prefix

	onList  func(prefix string)   // called at every listing; nil: not called
	onTxn   func(ops []wire.Op)   // called at every transaction; nil: not called
	onWatch func(context.Context) // called at every watch; nil: not called

	raiseTokenAbove     uint64              // highest value in instructions sent so far
	reportedAssignments atomic.Int64        // number of assignments sent for tasks that their workers report
	unlaunched          dispatch.Unlaunched // response to instructions that contain halts
}

// machineType is the machine type of all workers.
var machineType = wire.MachineType{Name: "m", CPUs: 16, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 1, Price: 1, SpotPrice: 0.3, BootS: 10, Zones: []string{"z"}}

// newScheduler returns a scheduler that uses the store, and the cluster for all other
// dependencies.
func newScheduler(platform *config.Platform, operator *config.Operator, store jobrecord.Store, cluster *fakeCluster, options ...func(*scheduler.Options)) *scheduler.Scheduler {
	o := scheduler.Options{
		Platform: platform, Operator: operator, Store: store, Member: cluster, Dispatchers: cluster, MachineTypes: cluster,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	for _, change := range options {
		change(&o)
	}
	return scheduler.New(o)
}

// withLogSlots sets the number of log records that a shard keeps.
func withLogSlots(n int) func(*scheduler.Options) {
	return func(o *scheduler.Options) { o.LogSlots = n }
}

// newCluster returns a cluster whose scheduler has loaded its shard. Each worker has 12 of its
// 16 CPUs in use, and the jobs have more tasks than fit the free resources.
func newCluster(tb testing.TB, workers, jobs int, options ...func(*scheduler.Options)) *fakeCluster {
	operator, err := config.LoadOperator("")
	if err != nil {
		tb.Fatal(err)
	}
	platform := &config.Platform{Node: "a", Params: config.Params{
		Teams:   []config.Team{{Name: "t"}},
		Workers: config.Workers{ReportS: 1, LeaseS: 10, CancelS: 40},
		State:   config.State{RPS: 100, WriteRPS: 100, ValueKB: 16, TxnOps: 48},
	}}
	cluster := &fakeCluster{leaseRemaining: time.Minute, platform: platform}
	cluster.scheduler = newScheduler(platform, operator, cluster, cluster, options...)
	if err := cluster.scheduler.Load(context.Background()); err != nil {
		tb.Fatal(err)
	}
	for i := range workers {
		total := matching.Resources{CPUs: machineType.CPUs, MemoryGB: machineType.MemoryGB}
		use := []matching.Allocation{{Resources: matching.Resources{CPUs: 12, MemoryGB: 12}, RemainingS: 20}}
		cluster.views = append(cluster.views, dispatch.WorkerView{
			Name: fmt.Sprintf("n-%06d", i), Type: "m", Zone: "z", Spot: i%3 > 0, Session: 1, Seq: 1,
			Token: 7, Dispatcher: "a", Matrix: matching.NewWaitMatrix(total, use, nil),
		})
		cluster.scheduler.ObserveWorker(cluster.views[i])
	}
	for i := range jobs {
		due := 60.0 + float64(i)
		cluster.scheduler.JobAccepted(&wire.Job{
			UID: fmt.Sprintf("j-%06d", i), Class: fmt.Sprintf("c%d", i%2), Team: "t", Kind: wire.KindArray,
			Priority: []string{"normal", "urgent"}[i%2], Tasks: 100, CPUs: float64(2 + 6*(i%2)), MemoryGB: 3, Image: fmt.Sprintf("i%d", i%20),
			ImageGB: 1, EstimateS: 30, Spot: true, DueS: &due,
		}, nil, 0, time.Now().UnixMilli(), uint64(i+1))
	}
	return cluster
}

// run starts the scheduler. stop stops it and waits for its end.
func (c *fakeCluster) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.scheduler.Run(ctx) }() // ends with the context
	return func() { cancel(); <-done }
}

// acceptArray accepts job j-1, an array of the given number of tasks of 2 CPUs each.
func (c *fakeCluster) acceptArray(tasks int) {
	c.scheduler.JobAccepted(&wire.Job{
		UID: "j-1", Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: tasks,
		CPUs: 2, MemoryGB: 1, EstimateS: 5, Spot: true,
	}, nil, 0, time.Now().UnixMilli(), 1)
}

// sendHeartbeat makes the scheduler observe a heartbeat of the i-th worker, which reports the
// given tasks, has no free resources for fullS seconds, and has the tasks of j-1 that are
// placed on it in its queue.
func (c *fakeCluster) sendHeartbeat(i int, fullS float64, tasks ...dispatch.TaskView) {
	total := matching.Resources{CPUs: machineType.CPUs, MemoryGB: machineType.MemoryGB}
	var uses []matching.Allocation
	if fullS > 0 {
		uses = []matching.Allocation{{Resources: total, RemainingS: fullS}}
	}
	view := &c.views[i]
	view.Seq++
	view.Tasks, view.Queue, view.Matrix = tasks, nil, matching.NewWaitMatrix(total, uses, nil)
	for _, ref := range c.scheduler.PlacementsOf("j-1") {
		if ref.Worker == view.Name {
			view.Queue = append(view.Queue, dispatch.QueueView{TaskRef: ref, WaitS: fullS})
		}
	}
	c.scheduler.ObserveWorker(*view)
}

// addWorker adds a spot worker, which has sent no heartbeat yet, under fencing token 7.
func (c *fakeCluster) addWorker(name, zone string) {
	c.views = append(c.views, dispatch.WorkerView{Name: name, Type: "m", Zone: zone, Spot: true, Session: 1, Token: 7, Dispatcher: "a"})
}

// sendRunning makes the scheduler observe a heartbeat of the first worker, on which the given tasks
// have been running and have the given total of CPUs in use for 300 s. Each has attempt 1 + its index.
func (c *fakeCluster) sendRunning(cpus float64, tasks ...string) {
	var uses []matching.Allocation
	if cpus > 0 {
		uses = []matching.Allocation{{Resources: matching.Resources{CPUs: cpus, MemoryGB: 1}, RemainingS: 300}}
	}
	view := &c.views[0]
	view.Seq++
	view.Matrix = matching.NewWaitMatrix(matching.Resources{CPUs: machineType.CPUs, MemoryGB: machineType.MemoryGB}, uses, nil)
	view.Tasks = nil
	for i, task := range tasks {
		view.Tasks = append(view.Tasks, dispatch.TaskView{Task: wire.Task{Task: task, Attempt: uint64(i + 1), State: wire.TaskRunning}})
	}
	c.scheduler.ObserveWorker(*view)
}

// grant grants the start of a task's attempt on the first worker.
func (c *fakeCluster) grant(task string, attempt uint64) {
	ref := dispatch.TaskRef{Worker: c.views[0].Name, Task: task, Attempt: attempt}
	c.scheduler.GrantLocal(dispatch.GrantRequest{TaskRef: ref, Token: 7, Session: 1})
}

// placementsOn returns the placements of j-1 on a worker.
func (c *fakeCluster) placementsOn(worker string) []dispatch.TaskRef {
	return slices.DeleteFunc(c.scheduler.PlacementsOf("j-1"), func(ref dispatch.TaskRef) bool { return ref.Worker != worker })
}

func (c *fakeCluster) Type(string) (wire.MachineType, bool) { return machineType, true }
func (c *fakeCluster) Name() string                         { return "a" }
func (c *fakeCluster) LeaseRemaining() time.Duration        { return c.leaseRemaining }
func (c *fakeCluster) LeadsShard(shard int) (uint64, bool) {
	return 1, shard == 0 && c.leaseRemaining > 0
}
func (c *fakeCluster) NextToken(context.Context) (uint64, error) { return 7, nil }
func (c *fakeCluster) ShardKey(int) string                       { return "c/shard/000" }

func (c *fakeCluster) ClaimedShards() map[int]uint64 {
	if c.leadsNoShard.Load() {
		return nil
	}
	return map[int]uint64{0: 1}
}

func (c *fakeCluster) SendInstructions(_ context.Context, _ string, instructions dispatch.Instructions) (dispatch.Unlaunched, error) {
	c.raiseTokenAbove = max(c.raiseTokenAbove, instructions.RaiseTokenAbove)
	for _, assignment := range instructions.Assign {
		if assignment.Reported {
			c.reportedAssignments.Add(1)
		}
	}
	if len(instructions.Halt) == 0 {
		return dispatch.Unlaunched{}, nil
	}
	return c.unlaunched, nil
}

func (c *fakeCluster) Get(context.Context, string) (wire.Item, error) { return wire.Item{}, nil }

func (c *fakeCluster) List(_ context.Context, prefix string) ([]wire.Item, uint64, error) {
	if c.onList != nil {
		c.onList(prefix)
	}
	return c.items[prefix], 0, nil
}

func (c *fakeCluster) Txn(_ context.Context, _ []wire.Guard, ops ...wire.Op) (uint64, error) {
	c.revision++
	if c.onTxn != nil {
		c.onTxn(ops)
	}
	return c.revision, nil
}

func (c *fakeCluster) BulkTxn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error) {
	return c.Txn(ctx, guards, ops...)
}

func (c *fakeCluster) Watch(ctx context.Context, _ string, _ time.Duration, _ func([]wire.Item), _ func([]wire.Event)) {
	if c.onWatch != nil {
		c.onWatch(ctx)
	}
	<-ctx.Done()
}
