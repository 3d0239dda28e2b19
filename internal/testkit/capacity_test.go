package testkit_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/capacity"
)

const loadFor = 2 * time.Second

// loaded is the processor time of a report of one of so many workers when nothing starts,
// and of a start with its share of all that a controller does: grants, passes, records,
// ends; see BenchmarkLoad. The workers' end of the connections is in both.
func loaded(tb testing.TB, machines int) (ofReport, ofStart float64) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	spend := func(jobs int) (used time.Duration, reports, starts float64) {
		l := newLoad(tb, machines, 10, jobs)
		defer l.end()
		before, began, usedBefore := l.node.scheduler.Counters().Granted, time.Now(), capacity.UsedProcessorTime(tb)
		i := 0
		for ; time.Since(began) < loadFor; i++ {
			l.report(tb, i)
		}
		return capacity.UsedProcessorTime(tb) - usedBefore, float64(i), float64(l.node.scheduler.Counters().Granted - before)
	}
	used, reports, _ := spend(0)
	ofReport = float64(used) / reports
	used, reports, starts := spend(max(20, machines/10))
	tb.Logf("%d machines: %.0f reports, %.0f starts in %v of processor time", machines, reports, starts, used)
	return ofReport, (float64(used) - reports*ofReport) / starts
}

var capacitySeries = []capacity.Series{
	{Name: "testkit.idleReport", Noisy: true, Sizes: []int{325, 650, 1300, 2600}, Measure: func(tb testing.TB, machines int) float64 {
		report, _ := loaded(tb, machines)
		return report
	}},
	{Name: "testkit.start", Noisy: true, Sizes: []int{325, 650, 1300, 2600}, Measure: func(tb testing.TB, machines int) float64 {
		_, start := loaded(tb, machines)
		return start
	}},
}

func TestCapacity(t *testing.T)      { capacity.Check(t, capacitySeries...) }
func BenchmarkCapacity(b *testing.B) { capacity.Bench(b, capacitySeries...) }
