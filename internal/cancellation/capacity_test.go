package cancellation

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/capacity"
)

// newRegistryWithCancels returns a registry that has confirmed cancels of which its peer has
// acknowledged none.
func newRegistryWithCancels(tb testing.TB, cancels int) *Registry {
	r := New(Options{Peers: []string{"b"}, Limit: time.Minute, LeaseRemaining: func() time.Duration { return time.Minute }})
	r.mayConfirm = true
	for i := range cancels {
		if err := r.Confirm(fmt.Sprintf("j-%06d", i)); err != nil {
			tb.Fatal(err)
		}
	}
	return r
}

var capacitySeries = []capacity.Series{
	{Name: "cancellation.message", Sizes: []int{1, 10, 100, 1000}, FixedSlack: 20, Measure: func(tb testing.TB, cancels int) float64 {
		r := newRegistryWithCancels(tb, cancels)
		r.lastStamp = 1_000_000_000_000 // with a fixed number of digits
		r.incarnation = 1 << 63
		data, err := json.Marshal(r.MessageFor("b"))
		if err != nil {
			tb.Fatal(err)
		}
		return float64(len(data))
	}},
	{Name: "cancellation.heap", Sizes: []int{400, 800, 1600, 3200}, FixedSlack: 4000, Measure: func(tb testing.TB, cancels int) float64 {
		// The division of a map into groups depends on the random seed of its hash function.
		return capacity.Median(func() float64 { return capacity.HeapBytes(func() any { return newRegistryWithCancels(tb, cancels) }) })
	}},
}

func TestCapacity(t *testing.T)      { capacity.Check(t, capacitySeries...) }
func BenchmarkCapacity(b *testing.B) { capacity.Bench(b, capacitySeries...) }
