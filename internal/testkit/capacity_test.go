package testkit_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/capacity"
)

const loadDuration = 2 * time.Second

// measureLoad returns the processor time in nanoseconds of one heartbeat when no task starts, and
// of one task start including its share of the controller's other work: grants, scheduling passes,
// records and task ends; see BenchmarkLoad. Both include the workers' side of the connections.
func measureLoad(tb testing.TB, machines int) (perReport, perStart float64) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	measure := func(jobs int) (used time.Duration, reports, starts float64) {
		l := newLoad(tb, machines, 10, jobs)
		defer l.stop()
		before, began, usedBefore := l.node.scheduler.Counters().Granted, time.Now(), capacity.UsedProcessorTime(tb)
		i := 0
		for ; time.Since(began) < loadDuration; i++ {
			l.report(tb, i)
		}
		return capacity.UsedProcessorTime(tb) - usedBefore, float64(i), float64(l.node.scheduler.Counters().Granted - before)
	}
	used, reports, _ := measure(0)
	perReport = float64(used) / reports
	used, reports, starts := measure(max(20, machines/10))
	tb.Logf("%d machines: %.0f heartbeats, %.0f starts in %v of processor time", machines, reports, starts, used)
	return perReport, (float64(used) - reports*perReport) / starts
}

var capacitySeries = []capacity.Series{
	{Name: "testkit.idleReport", Noisy: true, Sizes: []int{325, 650, 1300, 2600}, Measure: func(tb testing.TB, machines int) float64 {
		report, _ := measureLoad(tb, machines)
		return report
	}},
	{Name: "testkit.start", Noisy: true, Sizes: []int{325, 650, 1300, 2600}, Measure: func(tb testing.TB, machines int) float64 {
		_, start := measureLoad(tb, machines)
		return start
	}},
}

func TestCapacity(t *testing.T)      { capacity.Check(t, capacitySeries...) }
func BenchmarkCapacity(b *testing.B) { capacity.Bench(b, capacitySeries...) }
