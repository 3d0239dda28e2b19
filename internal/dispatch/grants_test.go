package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// TestGrantsInBatches: what an owner elsewhere is to be asked while it is being asked goes
// with the next message, all together; each task starts by its own reply, and replies that
// don't fit the questions start nothing.
func TestGrantsInBatches(t *testing.T) {
	const roundTrip = 50 * time.Millisecond
	for _, short := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var asked []int
			s := &stub{term: 5, order: func(wire.Orders) (*wire.Report, bool, error) { return nil, false, dispatch.ErrNotSent }}
			s.there = func(requests []dispatch.GrantRequest) []dispatch.GrantReply {
				asked = append(asked, len(requests))
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
			h := holder(ctx, s)
			h.HandleReport(ctx, report(1, 5))
			for attempt := range uint64(4) {
				e := entry(attempt + 1)
				e.Owner = "b"
				h.ApplyInstructions(dispatch.Instructions{From: "b", Assign: []dispatch.QueueEntry{e}})
				if attempt == 0 {
					synctest.Wait() // the first is under way when the others come
				}
			}
			time.Sleep(3 * roundTrip)
			if len(asked) != 2 || asked[0] != 1 || asked[1] != 3 {
				t.Errorf("asked in batches of %v", asked)
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
			h.Wait()
		})
	}
}
