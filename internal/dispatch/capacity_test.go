package dispatch_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/capacity"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/sockets"
	"github.com/wallrack/wallrack/internal/wire"
)

// reportingWorkers are a dispatcher and workers that each run a number of tasks.
type reportingWorkers struct {
	dispatcher *dispatch.Dispatcher
	reports    []*wire.Report
}

func (w *reportingWorkers) report(tb testing.TB, i int) {
	w.reports[i].Seq++
	if status, _ := w.dispatcher.HandleReport(context.Background(), w.reports[i]); status != http.StatusOK {
		tb.Fatalf("report answered with %d", status)
	}
}

// discardingStub is a stub that does not keep views.
type discardingStub struct{ *stub }

func (discardingStub) ObserveWorker(dispatch.WorkerView) {}

func newReportingWorkers(tb testing.TB, workers, tasks int) *reportingWorkers {
	s := discardingStub{&stub{token: 7}}
	w := &reportingWorkers{dispatcher: dispatch.New(context.Background(), dispatch.Options{
		Node: "a", WorkerLease: 44 * time.Second, Schedulers: s, Tokens: s, MachineTypes: s, Routing: s, Commands: s, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})}
	for i := range workers {
		r := &wire.Report{Machine: fmt.Sprintf("n-%06d", i), Endpoint: fmt.Sprintf("10.1.%03d.%03d:9000", i/250, i%250), Type: "m", Zone: "z", Session: 1, Token: 7}
		var instructions dispatch.Instructions
		for t := range tasks {
			task := wire.TaskName(fmt.Sprintf("j-%06d", i), t)
			r.Tasks = append(r.Tasks, wire.Task{Task: task, Attempt: 20, State: wire.TaskRunning})
			instructions.Assign = append(instructions.Assign, dispatch.QueueEntry{
				TaskRef: dispatch.TaskRef{Worker: r.Machine, Task: task, Attempt: 20}, Leader: "a",
				Resources: matching.Resources{CPUs: 0.1, MemoryGB: 0.1}, RunS: 30, Reported: true,
			})
		}
		w.reports = append(w.reports, r)
		w.report(tb, i)
		w.dispatcher.ApplyInstructions(instructions)
		w.report(tb, i)
	}
	return w
}

// publishedBytes returns the size of all workers' views as sent to a peer.
func publishedBytes(tb testing.TB, w *reportingWorkers) float64 {
	data, err := json.Marshal(w.dispatcher.WorkerViews())
	if err != nil {
		tb.Fatal(err)
	}
	return float64(len(data))
}

// largeFleetBudget returns the socket budget of one of six controllers of a large fleet, with the
// given number of workers that report to it.
func largeFleetBudget(workers int) sockets.Budget {
	return sockets.Budget{MaxSockets: 2157, Peers: 5, Accepted: func() int { return workers }}
}

// commandCPUTime measures the processor time of sending commands to one of many workers, chosen by
// next, each with its own address. It includes the workers' servers.
func commandCPUTime(tb testing.TB, workers int, next func() int) float64 {
	sender, w := dispatch.NewHTTPCommandSender(largeFleetBudget(workers)), newFakeWorkers(tb, workers)
	commands := wire.PushedCommands{Token: 7, Session: 1, Commands: []wire.Command{{Verb: wire.VerbStart, Task: "j-000400/10", Attempt: 20}}}
	for worker := range workers {
		w.command(tb, sender, worker) // the first commands to a worker always dial
	}
	return capacity.ProcessorTime(tb, func() {
		if _, _, err := sender.SendCommands(context.Background(), w.endpoints[next()], commands, alwaysValid); err != nil {
			tb.Fatal(err)
		}
	})
}

func commandsRoundRobin(tb testing.TB, workers int) float64 {
	i := 0
	return commandCPUTime(tb, workers, func() int { i++; return i % workers })
}

func commandsRandomOrder(tb testing.TB, workers int) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	return commandCPUTime(tb, workers, func() int { return random.IntN(workers) })
}

// idleConnectionBytes measures the memory, heap and stacks, of idle connections for commands. Of
// the workers' side it includes only the sockets.
func idleConnectionBytes(tb testing.TB, connections int) float64 {
	answer, err := json.Marshal(report(9, 7))
	if err != nil {
		tb.Fatal(err)
	}
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	sender := dispatch.NewHTTPCommandSender(largeFleetBudget(connections))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // the second collection frees what earlier series left
	runtime.ReadMemStats(&before)
	for range connections {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		answered := make(chan net.Conn, 1)
		go func() { answered <- answerOnce(tb, lis, response) }()
		if _, _, err := sender.SendCommands(context.Background(), lis.Addr().String(), wire.PushedCommands{Token: 7, Session: 1}, alwaysValid); err != nil {
			tb.Fatal(err)
		}
		worker := <-answered
		_ = lis.Close()                       // nothing else connects
		defer func() { _ = worker.Close() }() // nothing more is written to it
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if n := sender.Connections(); n != connections {
		tb.Fatalf("%d of %d connections kept", n, connections)
	}
	return float64(after.HeapAlloc+after.StackInuse) - float64(before.HeapAlloc+before.StackInuse)
}

// answerOnce responds to one request without an HTTP server and returns the open connection.
func answerOnce(tb testing.TB, lis net.Listener, response string) net.Conn {
	conn, err := lis.Accept()
	if err != nil {
		tb.Error(err)
		return nil
	}
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		tb.Error(err)
	}
	if _, err := io.WriteString(conn, response); err != nil {
		tb.Error(err)
	}
	return conn
}

const tasksPerWorker = 4 // 11,000 tasks on 2,600 workers

var capacitySeries = []capacity.Series{
	{Name: "dispatch.heap", Sizes: []int{400, 800, 1600, 3200}, FixedSlack: 10_000, Measure: func(tb testing.TB, workers int) float64 {
		return capacity.HeapBytes(func() any { return newReportingWorkers(tb, workers, tasksPerWorker).dispatcher })
	}},
	{Name: "dispatch.heapOfTask", Sizes: []int{2, 4, 8, 16}, FixedSlack: 100, Measure: func(tb testing.TB, tasks int) float64 {
		return capacity.HeapBytes(func() any { return newReportingWorkers(tb, 500, tasks).dispatcher }) / 500
	}},
	{Name: "dispatch.views", Sizes: []int{100, 400, 800, 1600}, FixedSlack: 500, Measure: func(tb testing.TB, workers int) float64 {
		return publishedBytes(tb, newReportingWorkers(tb, workers, tasksPerWorker))
	}},
	{Name: "dispatch.viewOfTasks", Sizes: []int{1, 2, 4, 8}, Measure: func(tb testing.TB, tasks int) float64 {
		return publishedBytes(tb, newReportingWorkers(tb, 100, tasks)) / 100
	}},
	{Name: "dispatch.allocsOfReport", Sizes: []int{1, 2, 4, 8}, Measure: func(tb testing.TB, tasks int) float64 {
		w := newReportingWorkers(tb, 1, tasks)
		return testing.AllocsPerRun(200, func() { w.report(tb, 0) })
	}},
	{Name: "dispatch.report", Noisy: true, Sizes: []int{400, 800, 1600, 3200}, Measure: func(tb testing.TB, workers int) float64 {
		w, i := newReportingWorkers(tb, workers, tasksPerWorker), 0
		return capacity.ProcessorTime(tb, func() { w.report(tb, i%workers); i++ })
	}},
	{Name: "dispatch.order", Noisy: true, Sizes: []int{50, 100, 200, 400, 800}, Measure: commandsRoundRobin},
	{Name: "dispatch.orderBeyond", Noisy: true, Sizes: []int{1000, 1200, 1400, 1600}, Measure: commandsRandomOrder},
	{Name: "dispatch.keptConnections", Noisy: true, Sizes: []int{200, 400, 600, 900}, Measure: idleConnectionBytes},
	{Name: "dispatch.makeViews", Noisy: true, Sizes: []int{400, 800, 1600, 3200}, Measure: func(tb testing.TB, workers int) float64 {
		w := newReportingWorkers(tb, workers, tasksPerWorker)
		return capacity.ProcessorTime(tb, func() { publishedBytes(tb, w) })
	}},
}

func TestCapacity(t *testing.T)      { capacity.Check(t, capacitySeries...) }
func BenchmarkCapacity(b *testing.B) { capacity.Bench(b, capacitySeries...) }
