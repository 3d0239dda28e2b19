package wire_test

import (
	"fmt"
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/capacity"
	"github.com/wallrack/wallrack/internal/wire"
)

// jsonSize returns the size of the message in bytes when encoded as JSON.
func jsonSize(tb testing.TB, message any) float64 {
	data, err := json.Marshal(message)
	if err != nil {
		tb.Fatal(err)
	}
	return float64(len(data))
}

func taskName(i int) string { return wire.TaskName(fmt.Sprintf("j-%06d", 400+i), 10+i%80) }

var capacitySeries = []capacity.Series{
	{Name: "wire.report", Sizes: []int{1, 2, 5, 10, 40}, Measure: func(tb testing.TB, tasks int) float64 {
		r := wire.Report{Machine: "n-000231", Endpoint: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Session: 1, Seq: 1088, Token: 41}
		for i := range tasks {
			r.Tasks = append(r.Tasks, wire.Task{Task: taskName(i), Attempt: 20, State: wire.TaskRunning})
		}
		return jsonSize(tb, r)
	}},
	{Name: "wire.answer", Sizes: []int{1, 2, 5, 10, 40}, Measure: func(tb testing.TB, commands int) float64 {
		a := wire.ReportResponse{Token: 41}
		for i := range commands {
			a.Commands = append(a.Commands, wire.Command{Verb: wire.VerbStart, Task: taskName(i), Attempt: 20})
		}
		return jsonSize(tb, a)
	}},
	{Name: "wire.machines", Sizes: []int{50, 100, 250, 500}, Measure: func(tb testing.TB, machines int) float64 {
		list := wire.MachineList{More: true}
		for i := range machines {
			list.Machines = append(list.Machines, wire.ListedMachine{
				Name: fmt.Sprintf("n-%06d", i), Endpoint: fmt.Sprintf("10.1.%03d.%03d:9000", i/250, i%250),
				Type: "g8", Zone: "a", Spot: true, Stage: wire.MachineRunning, AgeS: 1061.5,
			})
		}
		return jsonSize(tb, list)
	}},
	{Name: "wire.readReport", Noisy: true, Sizes: []int{1, 5, 10, 40}, Measure: func(tb testing.TB, tasks int) float64 {
		r := wire.Report{Machine: "n-000231", Endpoint: "e", Type: "g8", Zone: "a", Session: 1}
		for i := range tasks {
			r.Tasks = append(r.Tasks, wire.Task{Task: taskName(i), Attempt: 20, State: wire.TaskRunning})
		}
		body, err := json.Marshal(r)
		if err != nil {
			tb.Fatal(err)
		}
		return capacity.ProcessorTime(tb, func() {
			if _, err := wire.ParseReport(body); err != nil {
				tb.Fatal(err)
			}
		})
	}},
}

func TestCapacity(t *testing.T)      { capacity.Check(t, capacitySeries...) }
func BenchmarkCapacity(b *testing.B) { capacity.Bench(b, capacitySeries...) }
