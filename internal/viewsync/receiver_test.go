package viewsync

import (
	"errors"
	"testing"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// epochSink is a scheduler with a settable leadership epoch.
type epochSink struct {
	epoch    uint64
	observed []string
}

func (s *epochSink) LeadershipEpoch() uint64 { return s.epoch }

func (s *epochSink) ObserveWorker(v dispatch.WorkerView) {
	if s.epoch > 0 {
		s.observed = append(s.observed, v.Dispatcher+"/"+v.Name)
	}
}

// A scheduler that leads no shards observes no views, and one that begins to lead, for the first
// time or again, observes all of them. Messages from unknown dispatchers are refused.
func TestAllViewsObservedAfterFailover(t *testing.T) {
	sink := &epochSink{}
	r := NewReceiver(sink, []string{"h"})
	p := NewPublisher("h", singleWorkerSource{dispatch.WorkerView{Name: "n-1", Type: "m"}})
	nowMs := int64(0)
	sync := func() {
		nowMs += heartbeatMs
		p.CollectChanges(nowMs, []string{"o"})
		for more := true; more; {
			m := p.Next(nowMs, "o")
			if m == nil {
				return
			}
			reply, err := r.HandleMessage(m)
			if err != nil && !errors.Is(err, ErrNotLeading) {
				t.Fatal(err)
			}
			more = p.HandleReply(nowMs, "o", reply)
		}
	}
	for step, want := range []struct {
		epoch    uint64
		observed int
	}{{0, 0}, {1, 1}, {1, 1}, {0, 1}, {0, 1}, {2, 2}, {3, 3}, {3, 3}} {
		sink.epoch = want.epoch
		sync()
		sync()
		if len(sink.observed) != want.observed || want.observed > 0 && sink.observed[0] != "h/n-1" {
			t.Errorf("step %d: observed %v, not %d times", step, sink.observed, want.observed)
		}
	}
	if _, err := r.HandleMessage(&Message{Dispatcher: "x", Stream: 3}); !errors.Is(err, ErrMalformed) {
		t.Errorf("a message from an unknown dispatcher: %v", err)
	}
}
