package membership_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/capacity"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// countingView counts controllers' requests to the state service, their writes and the events
// they receive.
type countingView struct {
	*testkit.View
	requests, writes, events *atomic.Int64
}

func (c countingView) Get(ctx context.Context, key string) (wire.Item, error) {
	c.requests.Add(1)
	return c.View.Get(ctx, key)
}

func (c countingView) Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error) {
	c.requests.Add(1)
	c.writes.Add(int64(len(ops)))
	return c.View.Txn(ctx, guards, ops...)
}

func (c countingView) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	c.requests.Add(1)
	return c.View.GrantLease(ctx, ttl)
}

func (c countingView) RenewLease(ctx context.Context, lease uint64) error {
	c.requests.Add(1)
	return c.View.RenewLease(ctx, lease)
}

func (c countingView) Watch(ctx context.Context, prefix string, hold time.Duration, reset func([]wire.Item), change func([]wire.Event)) {
	c.View.Watch(ctx, prefix, hold, reset, func(events []wire.Event) {
		c.requests.Add(1) // the watch sends its next request
		c.events.Add(int64(len(events)))
		change(events)
	})
}

// stateServiceLoad is the load in one minute.
type stateServiceLoad struct{ requests, writes, events float64 }

// measureMinutes returns the load that a number of controllers put on the state service in their
// first minute, in which they start one a second, and in the minute after it.
func measureMinutes(controllers int) (first, later stateServiceLoad) {
	var requests, writes, events atomic.Int64
	store := testkit.NewStore()
	ctx, cancel := context.WithCancel(context.Background())
	done := make([]<-chan struct{}, 0, controllers)
	for i := range controllers {
		view := countingView{&testkit.View{Store: store}, &requests, &writes, &events}
		done = append(done, startMember(ctx, membership.New(view, fmt.Sprintf("racker-%d", i+1), 5*time.Second, 1, 1, slog.New(slog.NewTextHandler(io.Discard, nil)))))
		time.Sleep(time.Second)
	}
	total := func() stateServiceLoad {
		return stateServiceLoad{float64(requests.Load()), float64(writes.Load()), float64(events.Load())}
	}
	time.Sleep(time.Minute - time.Duration(controllers)*time.Second)
	first = total()
	time.Sleep(time.Minute)
	later = total()
	cancel()
	for _, d := range done {
		<-d
	}
	return first, stateServiceLoad{later.requests - first.requests, later.writes - first.writes, later.events - first.events}
}

// simulateMinutes runs measureMinutes in simulated time, and returns one value of its results.
func simulateMinutes(controllers int, pick func(first, later stateServiceLoad) float64) (value float64) {
	synctest.Test(&testing.T{}, func(*testing.T) { value = pick(measureMinutes(controllers)) })
	return value
}

var capacitySeries = []capacity.Series{
	{Name: "membership.requests", Sizes: []int{1, 3, 6, 12}, FixedSlack: 5, Measure: func(_ testing.TB, controllers int) float64 {
		return simulateMinutes(controllers, func(_, later stateServiceLoad) float64 { return later.requests })
	}},
	{Name: "membership.writes", Sizes: []int{1, 3, 6, 12}, FixedSlack: 1, Measure: func(_ testing.TB, controllers int) float64 {
		return simulateMinutes(controllers, func(_, later stateServiceLoad) float64 { return later.writes })
	}},
	{Name: "membership.writesOfStarting", Sizes: []int{1, 3, 6, 12}, Noisy: true, Measure: func(_ testing.TB, controllers int) float64 {
		return simulateMinutes(controllers, func(first, _ stateServiceLoad) float64 { return first.writes })
	}},
	{Name: "membership.eventsOfStarting", Sizes: []int{1, 3, 6, 12}, Noisy: true, Measure: func(_ testing.TB, controllers int) float64 {
		return simulateMinutes(controllers, func(first, _ stateServiceLoad) float64 { return first.events })
	}},
}

func TestCapacity(t *testing.T)      { capacity.Check(t, capacitySeries...) }
func BenchmarkCapacity(b *testing.B) { capacity.Bench(b, capacitySeries...) }
