package capacity

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// tolerance is the share by which an exact figure may differ from the page's.
const tolerance = 0.1

// zeroTolerance is a difference by which a figure that is 0 may seem to differ.
const zeroTolerance = 1e-9

// Series is something measured at several sizes.
type Series struct {
	Name  string // as in the page; its part before the first dot is the package
	Sizes []int  // at least four
	// Noisy is for processor time, and for memory that the runtime rounds: printed,
	// not held by a test.
	Noisy bool
	// FixedSlack is the difference of the fixed part that is never a fault: the fit takes
	// small fixed parts from values that are far larger. Up to 2 % of those; 0: none.
	FixedSlack float64
	Measure    func(tb testing.TB, size int) float64
}

// Line measures the series at its sizes and fits a line.
func (s *Series) Line(tb testing.TB) Line {
	if len(s.Sizes) < 4 {
		tb.Fatalf("%s: %d sizes, four at least", s.Name, len(s.Sizes))
	}
	values := make([]float64, len(s.Sizes))
	for i, size := range s.Sizes {
		values[i] = s.Measure(tb, size)
	}
	tb.Logf("at %d: %.5g", s.Sizes, values)
	return Fit(s.Sizes, values)
}

// Check measures the exact series and fails if a slope or fixed part is more than a tenth
// over the page's figure, or so far below it that the page misleads, or if the page has
// other rows for the package than its tests measure.
func Check(t *testing.T, series ...Series) {
	rows, err := ReadPage()
	if err != nil {
		t.Fatal(err)
	}
	if err := checkNames(rows, series); err != nil {
		t.Error(err)
	}
	for _, s := range series {
		if row, ok := rows[s.Name]; ok && !s.Noisy {
			t.Run(s.Name, func(t *testing.T) {
				if err := checkLine(row, s.Line(t), s.FixedSlack); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// checkNames reports a series that the page lacks, a row that nothing measures, and one of
// another kind.
func checkNames(rows map[string]Row, series []Series) error {
	measured := map[string]bool{}
	for _, s := range series {
		measured[s.Name] = true
		if row, ok := rows[s.Name]; !ok || row.Exact == s.Noisy {
			return fmt.Errorf("%s: not in %s, or of another kind there", s.Name, PagePath)
		}
	}
	for name := range rows {
		if part, _, _ := strings.Cut(name, "."); strings.HasPrefix(series[0].Name, part+".") && !measured[name] {
			return fmt.Errorf("%s: in %s, and measured by no test", name, PagePath)
		}
	}
	return nil
}

// checkLine holds a measured line to the page's.
func checkLine(row Row, line Line, fixedSlack float64) error {
	for _, part := range []struct {
		name                  string
		page, measured, slack float64
	}{{"slope", row.Slope, line.Slope, zeroTolerance}, {"fixed part", row.Fixed, line.Fixed, max(fixedSlack, zeroTolerance)}} {
		allowed := max(tolerance*math.Abs(part.page), part.slack)
		switch difference := part.measured - part.page; {
		case difference > allowed:
			return fmt.Errorf("%s %.4g, %.4g by %s: grown by more than a tenth", part.name, part.measured, part.page, PagePath)
		case difference < -allowed:
			return fmt.Errorf("%s %.4g, %.4g by %s: correct the page", part.name, part.measured, part.page, PagePath)
		}
	}
	return nil
}

// Bench prints the lines of all series as benchmark metrics. Each is measured once,
// whatever the benchmark's time is.
func Bench(b *testing.B, series ...Series) {
	for _, s := range series {
		var line *Line
		b.Run(s.Name, func(b *testing.B) {
			if line == nil {
				fitted := s.Line(b)
				line = &fitted
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(line.Fixed, "fixed")
			b.ReportMetric(line.Slope, "slope")
			b.ReportMetric(100*line.Error, "error-%")
			b.ReportMetric(line.SlopeRatio, "bend")
		})
	}
}

// HeapBytes returns the bytes of live heap that what create returns takes.
func HeapBytes(create func() any) float64 {
	before := liveHeap()
	created := create()
	after := liveHeap()
	runtime.KeepAlive(created)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC() // the first one's finalizers and pools are gone after the second
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

const (
	measureRounds = 7
	minRoundTime  = 30 * time.Millisecond
)

// ProcessorTime returns the processor time of one call in ns, user and system, the
// collector's share included: the median of some rounds, so that what else the machine
// does matters little.
func ProcessorTime(tb testing.TB, call func()) float64 {
	call()
	return Median(func() float64 {
		calls, start, used := 0, time.Now(), UsedProcessorTime(tb)
		for time.Since(start) < minRoundTime || calls == 0 {
			call()
			calls++
		}
		return float64(UsedProcessorTime(tb)-used) / float64(calls)
	})
}

// UsedProcessorTime is the processor time of this process, user and system.
func UsedProcessorTime(tb testing.TB) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// ProcessorTimeAfterSetup is ProcessorTime of a call that has to be prepared anew each time.
func ProcessorTimeAfterSetup(tb testing.TB, setup func() func()) float64 {
	return Median(func() float64 {
		call := setup()
		runtime.GC() // the preparation's garbage is not the call's
		used := UsedProcessorTime(tb)
		call()
		return float64(UsedProcessorTime(tb) - used)
	})
}
