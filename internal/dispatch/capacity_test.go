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

// heldMachines is a holder of machines that run so many tasks each.
type heldMachines struct {
	holder  *dispatch.Dispatcher
	reports []*wire.Report
}

func (h *heldMachines) report(tb testing.TB, i int) {
	h.reports[i].Seq++
	if status, _ := h.holder.HandleReport(context.Background(), h.reports[i]); status != 200 {
		tb.Fatalf("report answered with %d", status)
	}
}

// discard is a stub that keeps no views.
type discard struct{ *stub }

func (discard) ObserveWorker(dispatch.WorkerView) {}

func holdMachines(tb testing.TB, machines, tasks int) *heldMachines {
	s := discard{&stub{term: 7}}
	h := &heldMachines{holder: dispatch.New(context.Background(), dispatch.Options{
		Node: "a", WorkerLease: 44 * time.Second, Schedulers: s, Tokens: s, MachineTypes: s, Routing: s, Commands: s, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})}
	for i := range machines {
		r := &wire.Report{Machine: fmt.Sprintf("n-%06d", i), Endpoint: fmt.Sprintf("10.1.%03d.%03d:9000", i/250, i%250), Type: "m", Zone: "z", Session: 1, Token: 7}
		var d dispatch.Instructions
		for t := range tasks {
			task := wire.TaskName(fmt.Sprintf("j-%06d", i), t)
			r.Tasks = append(r.Tasks, wire.Task{Task: task, Attempt: 20, State: wire.TaskRunning})
			d.Assign = append(d.Assign, dispatch.QueueEntry{TaskRef: dispatch.TaskRef{Machine: r.Machine, Task: task, Attempt: 20}, Owner: "a",
				Resources: matching.Resources{CPUs: 0.1, MemoryGB: 0.1}, Run: 30, Listed: true})
		}
		h.reports = append(h.reports, r)
		h.report(tb, i)
		h.holder.ApplyInstructions(d)
		h.report(tb, i)
	}
	return h
}

// published is the size of all machines' views as a peer gets them.
func published(tb testing.TB, h *heldMachines) float64 {
	data, err := json.Marshal(h.holder.WorkerViews())
	if err != nil {
		tb.Fatal(err)
	}
	return float64(len(data))
}

// largeSite is the sockets of a controller of today's larger fleet as one of six, with so
// many workers that report there.
func largeSite(workers int) sockets.Budget {
	return sockets.Budget{Limit: 2157, Peers: 5, Accepted: func() int { return workers }}
}

// orderOf is the processor time of a direct order to one of so many workers, each with an
// address of its own, which next picks; the workers' end is in it.
func orderOf(tb testing.TB, workers int, next func() int) float64 {
	orders, w := dispatch.NewHTTPCommandSender(largeSite(workers)), newOrderedWorkers(tb, workers)
	order := wire.Orders{Token: 7, Session: 1, Commands: []wire.Command{{Verb: wire.VerbStart, Task: "j-000400/10", Attempt: 20}}}
	for worker := range workers {
		w.order(tb, orders, worker) // first ones are always dialled
	}
	return capacity.ProcessorTime(tb, func() {
		if _, _, err := orders.SendCommands(context.Background(), w.endpoints[next()], order, stillValid); err != nil {
			tb.Fatal(err)
		}
	})
}

func orderInTurn(tb testing.TB, workers int) float64 {
	i := 0
	return orderOf(tb, workers, func() int { i++; return i % workers })
}

func orderAtRandom(tb testing.TB, workers int) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	return orderOf(tb, workers, func() int { return random.IntN(workers) })
}

// keptConnections is the memory, heap and stacks, of so many idle connections for orders.
// Of the workers' end, only the sockets' own memory is in it.
func keptConnections(tb testing.TB, connections int) float64 {
	answer, err := json.Marshal(report(9, 7))
	if err != nil {
		tb.Fatal(err)
	}
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	orders := dispatch.NewHTTPCommandSender(largeSite(connections))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // what other series left is gone after the second
	runtime.ReadMemStats(&before)
	for range connections {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		answered := make(chan net.Conn, 1)
		go func() { answered <- answerOnce(tb, lis, response) }()
		if _, _, err := orders.SendCommands(context.Background(), lis.Addr().String(), wire.Orders{Token: 7, Session: 1}, stillValid); err != nil {
			tb.Fatal(err)
		}
		worker := <-answered
		_ = lis.Close() // nobody else connects
		defer worker.Close()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if n := orders.Connections(); n != connections {
		tb.Fatalf("%d of %d connections kept", n, connections)
	}
	return float64(after.HeapAlloc+after.StackInuse) - float64(before.HeapAlloc+before.StackInuse)
}

// answerOnce answers one order without a server, and returns the open connection.
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

const tasksEach = 4 // 11,000 tasks on 2,600 machines

var capacitySeries = []capacity.Series{
	{Name: "machine.heap", Sizes: []int{400, 800, 1600, 3200}, FixedSlack: 10_000, Measure: func(tb testing.TB, machines int) float64 {
		return capacity.Heap(func() any { return holdMachines(tb, machines, tasksEach).holder })
	}},
	{Name: "machine.heapOfTask", Sizes: []int{2, 4, 8, 16}, FixedSlack: 100, Measure: func(tb testing.TB, tasks int) float64 {
		return capacity.Heap(func() any { return holdMachines(tb, 500, tasks).holder }) / 500
	}},
	{Name: "machine.views", Sizes: []int{100, 400, 800, 1600}, FixedSlack: 500, Measure: func(tb testing.TB, machines int) float64 {
		return published(tb, holdMachines(tb, machines, tasksEach))
	}},
	{Name: "machine.viewOfTasks", Sizes: []int{1, 2, 4, 8}, Measure: func(tb testing.TB, tasks int) float64 {
		return published(tb, holdMachines(tb, 100, tasks)) / 100
	}},
	{Name: "machine.allocsOfReport", Sizes: []int{1, 2, 4, 8}, Measure: func(tb testing.TB, tasks int) float64 {
		h := holdMachines(tb, 1, tasks)
		return testing.AllocsPerRun(200, func() { h.report(tb, 0) })
	}},
	{Name: "machine.report", Scatters: true, Sizes: []int{400, 800, 1600, 3200}, Measure: func(tb testing.TB, machines int) float64 {
		h, i := holdMachines(tb, machines, tasksEach), 0
		return capacity.ProcessorTime(tb, func() { h.report(tb, i%machines); i++ })
	}},
	{Name: "machine.order", Scatters: true, Sizes: []int{50, 100, 200, 400, 800}, Measure: orderInTurn},
	{Name: "machine.orderBeyond", Scatters: true, Sizes: []int{1000, 1200, 1400, 1600}, Measure: orderAtRandom},
	{Name: "machine.keptConnections", Scatters: true, Sizes: []int{200, 400, 600, 900}, Measure: keptConnections},
	{Name: "machine.makeViews", Scatters: true, Sizes: []int{400, 800, 1600, 3200}, Measure: func(tb testing.TB, machines int) float64 {
		h := holdMachines(tb, machines, tasksEach)
		return capacity.ProcessorTime(tb, func() { published(tb, h) })
	}},
}

func TestCapacity(t *testing.T)      { capacity.Check(t, capacitySeries...) }
func BenchmarkCapacity(b *testing.B) { capacity.Bench(b, capacitySeries...) }
