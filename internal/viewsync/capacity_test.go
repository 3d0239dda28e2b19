package viewsync

import (
	"fmt"
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/capacity"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	tasksPerWorker   = 4     // 11,000 tasks on 2,600 workers
	reportIntervalMs = 8_000 // between a worker's reports
	overrunWaitS     = 2.2   // expected wait in s for a task that has exceeded its estimated run time
)

// workerViews are the views of a dispatcher's workers.
type workerViews []dispatch.WorkerView

func (workerViews) HasWorkers() bool                                { return true }
func (w workerViews) WorkerViews() []dispatch.WorkerView            { return w }
func (workerViews) ChangedViews() ([]dispatch.WorkerView, []string) { return nil, nil }

// workersAt returns views of a number of workers whose reports are of the given time. On each of
// them, a number of tasks, given by started, have just been replaced by new ones.
func workersAt(workers int, atMs int64, started int) (views workerViews) {
	elapsedS := float64(atMs) / msPerSecond
	for i := range workers {
		v := dispatch.WorkerView{
			Name: fmt.Sprintf("n-%06d", i), Endpoint: fmt.Sprintf("10.1.%03d.%03d:9000", i/250, i%250), Type: "m", Zone: "z",
			Session: 1, Seq: 1000 + uint64(atMs), Token: 7, Dispatcher: "a", AgeS: 0.25, UnansweredS: 0.25,
		}
		allocations := make([]matching.Allocation, 0, tasksPerWorker)
		for t := range tasksPerWorker {
			task := dispatch.TaskView{Task: wire.Task{Task: wire.TaskName(fmt.Sprintf("j-%06d", i), t), Attempt: 20, State: wire.TaskRunning}, StateAgeS: 10 + elapsedS}
			left := max(overrunWaitS, 10*float64(t)-elapsedS)
			if t < started {
				task.Attempt, task.StateAgeS, left = 21, 0, 30
			}
			v.Tasks = append(v.Tasks, task)
			allocations = append(allocations, matching.Allocation{Resources: matching.Resources{CPUs: 2, MemoryGB: 8}, RemainingS: left})
		}
		v.Matrix = matching.NewWaitMatrix(matching.Resources{CPUs: 16, MemoryGB: 64}, allocations, nil)
		views = append(views, v)
	}
	return views
}

// sentBytes returns the size of the messages that send workers' views to a leader: first all
// views, and then the changes after the workers have reported again, with a number of tasks of
// each worker, given by started, replaced in between.
func sentBytes(tb testing.TB, workers, started int) (whole, change float64) {
	e, d := NewEncoder("a"), NewDecoder()
	first := workersAt(workers, 0, 0)
	e.replaces = d.stream
	send := func(nowMs int64) (bytes float64) {
		for more := true; more; {
			m := e.Next(nowMs, first)
			if m == nil {
				break
			}
			data, err := json.Marshal(m)
			if err != nil {
				tb.Fatal(err)
			}
			bytes += float64(len(data))
			_, reply, err := d.Apply(m)
			if err != nil {
				tb.Fatal(err)
			}
			more = e.HandleReply(nowMs, reply)
		}
		return bytes
	}
	whole = send(0)
	e.Update(reportIntervalMs, workersAt(workers, reportIntervalMs, started), nil)
	return whole, send(reportIntervalMs)
}

var capacitySeries = []capacity.Series{
	{Name: "viewsync.whole", Sizes: []int{100, 400, 800, 1600}, FixedSlack: 500, Measure: func(tb testing.TB, workers int) float64 {
		whole, _ := sentBytes(tb, workers, 0)
		return whole
	}},
	{Name: "viewsync.report", Sizes: []int{100, 400, 800, 1600}, FixedSlack: 500, Measure: func(tb testing.TB, workers int) float64 {
		_, change := sentBytes(tb, workers, 0)
		return change
	}},
	{Name: "viewsync.start", Sizes: []int{100, 400, 800, 1600}, FixedSlack: 500, Measure: func(tb testing.TB, workers int) float64 {
		_, change := sentBytes(tb, workers, 1)
		return change
	}},
}

func TestCapacity(t *testing.T)      { capacity.Check(t, capacitySeries...) }
func BenchmarkCapacity(b *testing.B) { capacity.Bench(b, capacitySeries...) }
