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

// tolerance is the relative difference from the page's figure that is allowed for an exact figure.
const tolerance = 0.1

// zeroTolerance is the absolute difference that is allowed for rounding if the page's figure is 0.
const zeroTolerance = 1e-9

// Series is a quantity measured at several sizes.
type Series struct {
	Name  string // name on the page; the part before the first dot is the package
	Sizes []int  // at least four
	// Noisy marks processor time, and memory sizes that the runtime rounds: they are printed
	// but not compared with the page.
	Noisy bool
	// FixedSlack is the absolute difference allowed for the fixed part, at most 2 % of the
	// measured values. It is needed if the fixed part is small compared with these values,
	// because the fit is then inaccurate.
	FixedSlack float64
	Measure    func(tb testing.TB, size int) float64
}

// Line measures the series at its sizes and fits a line.
func (s *Series) Line(tb testing.TB) Line {
	if len(s.Sizes) < 4 {
		tb.Fatalf("%s: %d sizes, want at least four", s.Name, len(s.Sizes))
	}
	values := make([]float64, len(s.Sizes))
	for i, size := range s.Sizes {
		values[i] = s.Measure(tb, size)
	}
	tb.Logf("sizes %d: %.5g", s.Sizes, values)
	return Fit(s.Sizes, values)
}

// Check measures the exact series and fails if a slope or fixed part differs from the page's figure
// by more than a tenth; for a fixed part, a difference up to FixedSlack is also allowed. It fails
// as well if the page's rows for the package don't have the names and kinds of series.
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

// checkNames returns an error for a series without a row on the page, a row without a series, and a
// row whose kind differs from that of its series.
func checkNames(rows map[string]Row, series []Series) error {
	measured := map[string]bool{}
	for _, s := range series {
		measured[s.Name] = true
		if row, ok := rows[s.Name]; !ok || row.Exact == s.Noisy {
			return fmt.Errorf("%s: missing in %s or listed there with another kind", s.Name, PagePath)
		}
	}
	for name := range rows {
		if part, _, _ := strings.Cut(name, "."); strings.HasPrefix(series[0].Name, part+".") && !measured[name] {
			return fmt.Errorf("%s: listed in %s but measured by no test", name, PagePath)
		}
	}
	return nil
}

// checkLine compares a measured line with the page's row.
func checkLine(row Row, line Line, fixedSlack float64) error {
	for _, part := range []struct {
		name                  string
		page, measured, slack float64
	}{{"slope", row.Slope, line.Slope, zeroTolerance}, {"fixed part", row.Fixed, line.Fixed, max(fixedSlack, zeroTolerance)}} {
		allowed := max(tolerance*math.Abs(part.page), part.slack)
		switch difference := part.measured - part.page; {
		case difference > allowed:
			return fmt.Errorf("%s is %.4g, but %.4g in %s: more than a tenth above", part.name, part.measured, part.page, PagePath)
		case difference < -allowed:
			return fmt.Errorf("%s is %.4g, but %.4g in %s: more than a tenth below, update the page", part.name, part.measured, part.page, PagePath)
		}
	}
	return nil
}

// Bench reports the lines of all series as benchmark metrics. Each series is measured once,
// regardless of -benchtime.
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

// HeapBytes returns the live heap size of the value that create returns, in bytes.
func HeapBytes(create func() any) float64 {
	before := liveHeap()
	created := create()
	after := liveHeap()
	runtime.KeepAlive(created)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC() // the second collection frees objects with finalizers and the contents of pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

const (
	measureRounds = 7
	minRoundTime  = 30 * time.Millisecond
)

// ProcessorTime returns the processor time of one call in ns: user and system time, including
// garbage collection. It is the median of several rounds, which reduces the effect of other
// processes on the machine.
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

// UsedProcessorTime returns the user and system time of this process.
func UsedProcessorTime(tb testing.TB) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// ProcessorTimeAfterSetup returns the processor time, in ns, of the call that setup returns,
// without that of setup. It is the median of several rounds, each with a new setup and one call.
func ProcessorTimeAfterSetup(tb testing.TB, setup func() func()) float64 {
	return Median(func() float64 {
		call := setup()
		runtime.GC() // so that the call is not charged for the setup's garbage
		used := UsedProcessorTime(tb)
		call()
		return float64(UsedProcessorTime(tb) - used)
	})
}
