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

// fakeFailoverState holds counts that the timeline reads concurrently while the test changes them.
type fakeFailoverState struct {
	mu                                sync.Mutex
	failovers, recorded, unresponsive int
}

func (p *fakeFailoverState) FailoverProgress() (failovers, recorded, unresponsive int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failovers, p.recorded, p.unresponsive
}

// The first recovery is timed from the start of the process and ends with the first heartbeat of the
// last worker. A later failover is timed from its own beginning. No timer runs in between.
func TestRecoveriesTimedFromStartAndFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		p := &fakeFailoverState{recorded: 100, unresponsive: 100}
		timeline := failovertiming.New(p, 44*time.Second, slog.New(slog.NewTextHandler(&out, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = timeline.Run(ctx) }()
		step := func(d time.Duration, f func()) {
			time.Sleep(d)
			synctest.Wait()
			p.mu.Lock()
			defer p.mu.Unlock()
			f()
		}
		step(time.Second, func() { timeline.Mark(failovertiming.LeaseAcquired); timeline.Mark(failovertiming.Up) })
		step(time.Second, func() { timeline.Mark(failovertiming.ShardClaimed) })
		step(time.Second, func() { p.failovers = 1 })
		step(time.Second, func() {
			timeline.Mark(failovertiming.FirstHeartbeat)
			timeline.Mark(failovertiming.FirstHeartbeat)
			p.unresponsive = 40
		})
		step(time.Second, func() { timeline.Mark(failovertiming.FirstGrant); p.unresponsive = 4 })
		step(time.Second, func() { p.unresponsive = 0 })
		step(time.Second, func() {})
		last := timeline.LastRecovery()
		for phase, want := range map[failovertiming.Phase]float64{
			failovertiming.Up: 1, failovertiming.ShardClaimed: 2, failovertiming.JobsRead: 3, failovertiming.FirstHeartbeat: 4, failovertiming.HalfOfWorkers: 4,
			failovertiming.FirstGrant: 5, failovertiming.MostWorkers: 5, failovertiming.AllWorkers: 6,
		} {
			if got := last[phase.String()]; got < want || got > want+0.2 {
				t.Errorf("%s after %.2f s, want %.0f", phase, got, want)
			}
		}
		if n := strings.Count(out.String(), "msg=recovered"); n != 1 {
			t.Errorf("%d lines: %s", n, out.String())
		}
		step(time.Hour, func() { p.failovers, p.unresponsive = 2, 100; timeline.Mark(failovertiming.ShardClaimed) })
		step(time.Second, func() { timeline.Reset() })
		step(time.Minute, func() { p.unresponsive = 100; timeline.Mark(failovertiming.ShardClaimed) })
		step(time.Minute, func() {})
		if n := strings.Count(out.String(), "msg=recovered"); n != 2 {
			t.Errorf("%d lines after a reset recovery and one without heartbeats: %s", n, out.String())
		}
		if last = timeline.LastRecovery(); last["claimed"] > 0.1 || last["all_heard"] != 0 {
			t.Errorf("second recovery: %v", last)
		}
		cancel()
		<-done
	})
}

// The time that a process waits for its predecessor to end, before it listens, is not part of its
// recovery.
func TestResetStartExcludesWaitForPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timeline := failovertiming.New(&fakeFailoverState{}, 44*time.Second, slog.New(slog.DiscardHandler))
		time.Sleep(10 * time.Second)
		timeline.ResetStart()
		time.Sleep(time.Second)
		timeline.Mark(failovertiming.Up)
		if up := timeline.LastRecovery()[failovertiming.Up.String()]; up < 1 || up > 1.2 {
			t.Errorf("up after %.2f s, want 1", up)
		}
	})
}
