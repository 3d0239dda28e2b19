package viewsync

import (
	"errors"
	"testing"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// tenant is an owner that has its jobs at times.
type tenant struct {
	tenure   uint64
	observed []string
}

func (o *tenant) OwnershipEpoch() uint64 { return o.tenure }

func (o *tenant) ObserveWorker(v dispatch.WorkerView) {
	if o.tenure > 0 {
		o.observed = append(o.observed, v.Holder+"/"+v.Name)
	}
}

// TestOwnerIsToldAnew: an owner without jobs is told nothing, and one that comes to have
// some, for the first time or again, is told all; of holders that it does not know it takes
// nothing.
func TestOwnerIsToldAnew(t *testing.T) {
	o := &tenant{}
	r := NewReceiver(o, []string{"h"})
	p := NewPublisher("h", oneView{dispatch.WorkerView{Name: "n-1", Type: "m"}})
	nowMs := int64(0)
	tell := func() {
		nowMs += heartbeatMs
		p.Gather(nowMs, []string{"o"})
		for more := true; more; {
			m := p.Next(nowMs, "o")
			if m == nil {
				return
			}
			reply, err := r.Take(m)
			if err != nil && !errors.Is(err, ErrNoOwner) {
				t.Fatal(err)
			}
			more = p.Took(nowMs, "o", reply)
		}
	}
	for step, want := range []struct {
		tenure uint64
		told   int
	}{{0, 0}, {1, 1}, {1, 1}, {0, 1}, {0, 1}, {2, 2}, {3, 3}, {3, 3}} {
		o.tenure = want.tenure
		tell()
		tell()
		if len(o.observed) != want.told || want.told > 0 && o.observed[0] != "h/n-1" {
			t.Errorf("step %d: told of %v, not %d times", step, o.observed, want.told)
		}
	}
	if _, err := r.Take(&Message{Holder: "x", Stream: 3}); !errors.Is(err, ErrMalformed) {
		t.Errorf("a message of a holder that is not known: %v", err)
	}
}
