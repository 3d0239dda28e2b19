package failovertiming_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/failovertiming"
)

// books are an owner's counts, which the timeline reads while the test changes them.
type books struct {
	mu                          sync.Mutex
	takeovers, machines, silent int
}

func (b *books) FailoverProgress() (int, int, int) {
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
		tl := failovertiming.New(b, 44*time.Second, slog.New(slog.NewTextHandler(&out, nil)))
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
		step(time.Second, func() { tl.Mark(failovertiming.Joined); tl.Mark(failovertiming.Up) })
		step(time.Second, func() { tl.Mark(failovertiming.Claimed) })
		step(time.Second, func() { b.takeovers = 1 })
		step(time.Second, func() { tl.Mark(failovertiming.Heard); tl.Mark(failovertiming.Heard); b.silent = 40 })
		step(time.Second, func() { tl.Mark(failovertiming.Granted); b.silent = 4 })
		step(time.Second, func() { b.silent = 0 })
		step(time.Second, func() {})
		last := tl.Last()
		for p, want := range map[failovertiming.Phase]float64{failovertiming.Up: 1, failovertiming.Claimed: 2, failovertiming.Read: 3, failovertiming.Heard: 4, failovertiming.Half: 4, failovertiming.Granted: 5, failovertiming.Most: 5, failovertiming.All: 6} {
			if got := last[p.String()]; got < want || got > want+0.2 {
				t.Errorf("%s after %.2f s, not %.0f", p, got, want)
			}
		}
		if n := strings.Count(out.String(), "msg=recovered"); n != 1 {
			t.Errorf("%d lines: %s", n, out.String())
		}
		step(time.Hour, func() { b.takeovers, b.silent = 2, 100; tl.Mark(failovertiming.Claimed) })
		step(time.Second, func() { tl.Reset() })
		step(time.Minute, func() { b.silent = 100; tl.Mark(failovertiming.Claimed) })
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
