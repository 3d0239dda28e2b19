package scheduler_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/slurm"
	"github.com/wallrack/wallrack/internal/wire"
)

// fleet is a generated fleet with one owner, whose store and holders accept
// everything.
type fleet struct {
	owner *scheduler.Scheduler
	cfg   *config.Platform
	views []dispatch.WorkerView
	rev   uint64
	held  time.Duration
	raise uint64                 // the highest token that a direction asked to be beyond
	items map[string][]wire.Item // by prefix
	list  func(prefix string)    // called at every listing, if set
	sent  func(ops []wire.Op)    // called at every transaction, if set
	watch func(context.Context)  // called with each watch, if set
	none  atomic.Bool            // it has no jobs, as far as Claimed says
	told  atomic.Int64           // entries for listed tasks that directions had

	unlaunched dispatch.Unlaunched // how every direction with halts is answered
}

var size = wire.MachineType{Name: "m", CPUs: 16, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 1, Price: 1, SpotPrice: 0.3, BootS: 10, Zones: []string{"z"}}

// run has the owner work until stop is called.
func (f *fleet) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.owner.Run(ctx) }()
	return func() { cancel(); <-done }
}

// acceptArray accepts j-1, an array of so many tasks of 2 CPUs.
func (f *fleet) acceptArray(tasks int) {
	f.owner.JobAccepted(&wire.Job{UID: "j-1", Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: tasks, CPUs: 2, MemoryGB: 1, Estimate: 5, Spot: true},
		nil, 0, time.Now().UnixMilli(), 1)
}

func (f *fleet) Type(string) (wire.MachineType, bool) { return size, true }
func (f *fleet) Name() string                         { return "a" }
func (f *fleet) LeaseRemaining() time.Duration        { return f.held }
func (f *fleet) Own() map[int]uint64                  { return map[int]uint64{0: 1} }
func (f *fleet) OwnsShard(shard int) (uint64, bool)   { return 1, shard == 0 }
func (f *fleet) ClaimedShards() map[int]uint64 {
	if f.none.Load() {
		return nil
	}
	return f.Own()
}

func (f *fleet) NextToken(context.Context) (uint64, error) {
	return 7, nil
}
func (f *fleet) ShardKey(int) string { return "c/shard/000" }
func (f *fleet) SendInstructions(_ context.Context, _ string, d dispatch.Instructions) (dispatch.Unlaunched, error) {
	f.raise = max(f.raise, d.RaiseTokenAbove)
	for _, e := range d.Assign {
		if e.Listed {
			f.told.Add(1)
		}
	}
	if len(d.Halt) == 0 {
		return dispatch.Unlaunched{}, nil
	}
	return f.unlaunched, nil
}
func (f *fleet) Get(context.Context, string) (wire.Item, error) { return wire.Item{}, nil }
func (f *fleet) List(_ context.Context, prefix string) ([]wire.Item, uint64, error) {
	if f.list != nil {
		f.list(prefix)
	}
	return f.items[prefix], 0, nil
}

func (f *fleet) Txn(_ context.Context, _ []wire.Guard, ops ...wire.Op) (uint64, error) {
	f.rev++
	if f.sent != nil {
		f.sent(ops)
	}
	return f.rev, nil
}

func (f *fleet) BulkTxn(ctx context.Context, g []wire.Guard, ops ...wire.Op) (uint64, error) {
	return f.Txn(ctx, g, ops...)
}

func (f *fleet) Watch(ctx context.Context, _ string, _ time.Duration, _ func([]wire.Item), _ func([]wire.Event)) {
	if f.watch != nil {
		f.watch(ctx)
	}
	<-ctx.Done()
}

// newScheduler returns a scheduler over a store, for which the fleet stands in for all else.
func newScheduler(cfg *config.Platform, op *config.Operator, store jobrecord.Store, f *fleet, options ...func(*scheduler.Options)) *scheduler.Scheduler {
	o := scheduler.Options{
		Platform: cfg, Operator: op, Store: store, Member: f, Dispatchers: f, MachineTypes: f,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	for _, change := range options {
		change(&o)
	}
	return scheduler.New(o)
}

// withLogSlots makes a shard keep so many log records.
func withLogSlots(n int) func(*scheduler.Options) {
	return func(o *scheduler.Options) { o.LogSlots = n }
}

// newFleet has machines with one task each and jobs that wait for more room
// than there is.
func newFleet(b testing.TB, machines, jobs int, options ...func(*scheduler.Options)) *fleet {
	op, err := config.LoadOperator("")
	if err != nil {
		b.Fatal(err)
	}
	cfg := &config.Platform{Node: "a", Params: config.Params{
		Teams:   []config.Team{{Name: "t"}},
		Workers: config.Workers{ReportS: 1, LeaseS: 10, CancelS: 40},
		State:   config.State{RPS: 100, WriteRPS: 100, ValueKB: 16, TxnOps: 48},
	}}
	f := &fleet{held: time.Minute, cfg: cfg}
	f.owner = newScheduler(cfg, op, f, f, options...)
	if err := f.owner.Load(context.Background()); err != nil {
		b.Fatal(err)
	}
	for i := range machines {
		total := matching.Resources{CPUs: size.CPUs, MemoryGB: size.MemoryGB}
		use := []matching.Allocation{{Resources: matching.Resources{CPUs: 12, MemoryGB: 12}, RemainingS: 20}}
		f.views = append(f.views, dispatch.WorkerView{
			Name: fmt.Sprintf("n-%06d", i), Type: "m", Zone: "z", Spot: i%3 > 0, Session: 1, Seq: 1,
			Token: 7, Holder: "a", Matrix: matching.NewWaitMatrix(total, use, nil),
		})
		f.owner.ObserveWorker(f.views[i])
	}
	for i := range jobs {
		due := 60.0 + float64(i)
		f.owner.JobAccepted(&wire.Job{
			UID: fmt.Sprintf("j-%06d", i), Class: fmt.Sprintf("c%d", i%2), Team: "t", Kind: wire.KindArray,
			Priority: []string{"normal", "urgent"}[i%2], Tasks: 100, CPUs: float64(2 + 6*(i%2)), MemoryGB: 3, Image: fmt.Sprintf("i%d", i%20),
			ImageGB: 1, Estimate: 30, Spot: true, DueS: &due,
		}, nil, 0, time.Now().UnixMilli(), uint64(i+1))
	}
	return f
}

// show observes a report of the i-th machine, which is full for so long, has these tasks,
// and has queued what j-1 has placed there.
func (f *fleet) show(i int, full float64, tasks ...dispatch.TaskView) {
	total := matching.Resources{CPUs: size.CPUs, MemoryGB: size.MemoryGB}
	var uses []matching.Allocation
	if full > 0 {
		uses = []matching.Allocation{{Resources: total, RemainingS: full}}
	}
	v := &f.views[i]
	v.Seq++
	v.Tasks, v.Queue, v.Matrix = tasks, nil, matching.NewWaitMatrix(total, uses, nil)
	for _, ref := range f.owner.PlacesOf("j-1") {
		if ref.Machine == v.Name {
			v.Queue = append(v.Queue, dispatch.QueueView{TaskRef: ref, WaitS: full})
		}
	}
	f.owner.ObserveWorker(*v)
}

func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ machines, jobs int }{{1700, 120}, {5400, 900}} {
		b.Run(fmt.Sprintf("machines=%d", size.machines), func(b *testing.B) {
			f := newFleet(b, size.machines, size.jobs)
			for b.Loop() {
				f.owner.Pass()
			}
		})
	}
}

// BenchmarkTakeover is a new owner's reading of 130 jobs and of a full log.
func BenchmarkTakeover(b *testing.B) {
	f := newFleet(b, 0, 0)
	f.items = map[string][]wire.Item{}
	add := func(prefix, key, value string) {
		f.items[prefix] = append(f.items[prefix], wire.Item{Key: prefix + key, Value: json.RawMessage(value), Version: 1})
	}
	for i := range 130 {
		add("live/", fmt.Sprintf("j-%d", i), fmt.Sprintf(`{"job":{"uid":"j-%d","docket":"c","crew":"t","sort":"sweep","pieces":100,"cpus":2}}`, i))
	}
	for i := range 512 {
		places := ""
		for k := range 20 {
			places += fmt.Sprintf(`,{"u":"j-%d","p":[%d,%d,0]}`, (i*20+k)%130, (i+k)%100, i+1)
		}
		add("log/", fmt.Sprintf("000/%05d", i), fmt.Sprintf(`{"seq":%d,"m":["n-%06d"],"j":[%s]}`, i+1, i, places[1:]))
	}
	for b.Loop() {
		f.owner.Unload()
		if err := f.owner.Load(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkReport(b *testing.B) {
	f := newFleet(b, 1700, 120)
	f.owner.Pass()
	for i := 0; b.Loop(); i++ {
		v := &f.views[i%len(f.views)]
		v.Seq++
		f.owner.ObserveWorker(*v)
	}
}

func BenchmarkDemand(b *testing.B) {
	f := newFleet(b, 1700, 120)
	f.owner.Pass()
	for b.Loop() {
		f.owner.Demand(20)
	}
}

// BenchmarkLargeArray is a job of 100,000 tasks: accepted, placed as far as its
// throttle lets it, and listed in pages, a row for each task.
func BenchmarkLargeArray(b *testing.B) {
	for b.Loop() {
		f := newFleet(b, 50, 0)
		f.owner.JobAccepted(&wire.Job{UID: "j-big", Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 100_000, CPUs: 1, Estimate: 30, Spot: true},
			&jobspec.Constraints{Number: 1, Array: "0-99999", MaxConcurrent: 20}, 0, time.Now().UnixMilli(), 1)
		f.owner.Pass()
		tasks, pages := 0, 0
		for from := (jobquery.Cursor{}); ; pages++ {
			jobs, next := f.owner.ListJobs(from, 500)
			for i := range jobs {
				tasks += len(slurm.Queue(&jobs[i], true, 0, time.UTC))
			}
			if next == nil {
				break
			}
			from = *next
		}
		if tasks < 100_000 {
			b.Fatalf("%d tasks in %d pages", tasks, pages)
		}
	}
}
