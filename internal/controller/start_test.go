package controller

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/config"
)

const settings = `
node_name = "racker-0"
serve_on = "127.0.0.1:0"
mesh_addr = "127.0.0.1:0"
[[siblings]]
node_name = "racker-1"
address = "127.0.0.1:1"
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:1"
[params]
zones = ["z"]
[[params.teams]]
name = "t"
[params.workers]
report_s = 1.0
lease_s = 11.0
cancel_s = 41.0
[params.state]
rps = 80.0
write_rps = 30.0
value_kb = 8.0
txn_ops = 24
[params.cloud]
rps = 1.5
list_lag_s = 8.0
[params.limits]
cpu = 0.072
ram_mb = 54.0
sockets = 600
`

// options returns the options of a controller that reaches no other process.
func options(t testing.TB) Options {
	t.Helper()
	p, err := config.ParsePlatform([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	op, err := config.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	return Options{Platform: p, Operator: op, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
}

// runFor runs a controller that reaches no other process for the duration d.
func runFor(t testing.TB, d time.Duration) {
	o := options(t)
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	if err := Run(ctx, o); err != nil && ctx.Err() == nil {
		t.Fatal(err)
	}
}

// A controller that reaches neither the state service nor the cloud nor a peer keeps retrying,
// and shuts down cleanly when its context ends.
func TestRunWithoutReachableServicesEndsWithContext(t *testing.T) {
	began := time.Now()
	runFor(t, 300*time.Millisecond)
	if took := time.Since(began); took < 300*time.Millisecond || took > 10*time.Second {
		t.Errorf("Run returned after %v, want 300ms to 10s", took)
	}
}

// BenchmarkStart measures the start of a process from its settings to the first iterations of
// its loops, and its shutdown.
func BenchmarkStart(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		runFor(b, time.Microsecond)
	}
}
