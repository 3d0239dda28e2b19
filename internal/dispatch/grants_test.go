package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// Grant requests to a leader on another controller that arise while one is in flight are sent
// together afterwards. Each task starts according to its own reply. If the number of replies does
// not match the requests, nothing starts.
func TestGrantRequestsBatchedDuringRoundTrip(t *testing.T) {
	const roundTrip = 50 * time.Millisecond
	for _, short := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var batches []int
			s := &stub{token: 5, respond: func(wire.PushedCommands) (*wire.Report, bool, error) { return nil, false, dispatch.ErrNotSent }}
			s.grantRemote = func(requests []dispatch.GrantRequest) []dispatch.GrantReply {
				batches = append(batches, len(requests))
				time.Sleep(roundTrip)
				replies := make([]dispatch.GrantReply, len(requests))
				for i, r := range requests {
					replies[i] = dispatch.GrantReply{OK: r.Attempt != 2, Drop: r.Attempt == 2}
				}
				if short {
					return replies[1:]
				}
				return replies
			}
			ctx, cancel := context.WithCancel(context.Background())
			d := newDispatcher(ctx, s)
			d.HandleReport(ctx, report(1, 5))
			for attempt := range uint64(4) {
				e := entry(attempt + 1)
				e.Leader = "b"
				d.ApplyInstructions(dispatch.Instructions{From: "b", Assign: []dispatch.QueueEntry{e}})
				if attempt == 0 {
					synctest.Wait() // the first request is in flight when the others follow
				}
			}
			time.Sleep(3 * roundTrip)
			synctest.Wait() // orders the goroutines' writes before the reads below
			if len(batches) != 2 || batches[0] != 1 || batches[1] != 3 {
				t.Errorf("requested in batches of %v", batches)
			}
			started := map[uint64]bool{}
			for _, o := range s.sent {
				for _, c := range o.Commands {
					started[c.Attempt] = true
				}
			}
			if want := map[bool]int{false: 3, true: 0}[short]; len(started) != want || started[2] {
				t.Errorf("started %v, of %d", started, want)
			}
			cancel()
			d.Wait()
		})
	}
}
