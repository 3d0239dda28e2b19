package usage_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/usage"
)

// The log line contains the duties performed since the last one, and memory use beyond the limit is
// reported within two seconds.
func TestUsageLoggedAndMemoryPressureNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		m := usage.New(1, func() map[string]int { return map[string]int{"jobs": 3} }, slog.New(slog.NewTextHandler(&out, nil)))
		if m.MemoryPressure() {
			t.Error("memory pressure before the first probe")
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = m.Run(ctx) }()
		start := time.Now()
		time.Sleep(2 * time.Second)
		usage.AddTime(usage.Reports, start)
		usage.CountEvent(usage.MalformedReports)
		if !m.MemoryPressure() {
			t.Error("no memory pressure with a limit of one byte")
		}
		r := m.Read()
		if r.Duties["reports"].Count < 1 || r.Duties["reports"].Seconds < 2 || r.Events["malformed_reports"] < 1 || r.HeapMB <= 0 || r.Queues["jobs"] != 3 {
			t.Errorf("reading %+v", r)
		}
		time.Sleep(12 * time.Second)
		cancel()
		<-ended
		if line := out.String(); strings.Count(line, "msg=usage") != 1 || !strings.Contains(line, "duties.reports.n=") || !strings.Contains(line, "jobs:3") {
			t.Errorf("log %q", line)
		}
	})
}
