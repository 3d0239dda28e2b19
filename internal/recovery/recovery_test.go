package recovery_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/recovery"
)

// books are an owner's counts, which the timeline reads while the test changes them.
type books struct {
	mu                          sync.Mutex
	takeovers, machines, silent int
}

func (b *books) Recovered() (int, int, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.takeovers, b.machines, b.silent
}

// A recovery is timed from the start, closed when the last machine was heard,
// and a later takeover is timed anew; in between no timer runs.
func TestTimeline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := &books{machines: 100, silent: 100}
		tl := recovery.New(b, 44*time.Second, slog.New(slog.NewTextHandler(&out, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = tl.Run(ctx) }()
		step := func(d time.Duration, f func()) {
			time.Sleep(d)
			synctest.Wait()
			b.mu.Lock()
			defer b.mu.Unlock()
			f()
		}
		step(time.Second, func() { tl.Mark(recovery.Joined); tl.Mark(recovery.Up) })
		step(time.Second, func() { tl.Mark(recovery.Claimed) })
		step(time.Second, func() { b.takeovers = 1 })
		step(time.Second, func() { tl.Mark(recovery.Heard); tl.Mark(recovery.Heard); b.silent = 40 })
		step(time.Second, func() { tl.Mark(recovery.Granted); b.silent = 4 })
		step(time.Second, func() { b.silent = 0 })
		step(time.Second, func() {})
		last := tl.Last()
		for p, want := range map[recovery.Phase]float64{recovery.Up: 1, recovery.Claimed: 2, recovery.Read: 3, recovery.Heard: 4, recovery.Half: 4, recovery.Granted: 5, recovery.Most: 5, recovery.All: 6} {
			if got := last[p.String()]; got < want || got > want+0.2 {
				t.Errorf("%s after %.2f s, not %.0f", p, got, want)
			}
		}
		if n := strings.Count(out.String(), "msg=recovered"); n != 1 {
			t.Errorf("%d lines: %s", n, out.String())
		}
		step(time.Hour, func() { b.takeovers, b.silent = 2, 100; tl.Mark(recovery.Claimed) })
		step(time.Second, func() { tl.Lost() })
		step(time.Minute, func() { b.silent = 100; tl.Mark(recovery.Claimed) })
		step(time.Minute, func() {})
		if n := strings.Count(out.String(), "msg=recovered"); n != 2 {
			t.Errorf("%d lines after a loss and one that never ends: %s", n, out.String())
		}
		if last = tl.Last(); last["claimed"] > 0.1 || last["all_heard"] != 0 {
			t.Errorf("the later one: %v", last)
		}
		cancel()
		<-done
	})
}
