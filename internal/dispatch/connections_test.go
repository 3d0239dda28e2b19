package dispatch_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/sockets"
	"github.com/wallrack/wallrack/internal/wire"
)

// orderedWorkers are workers that answer direct orders and count the connections to them.
type orderedWorkers struct {
	endpoints []string
	dialled   []atomic.Int64 // connections that were opened
	open      atomic.Int64   // connections that are open now
	held      atomic.Bool    // orders to the first worker wait for release
	waiting   atomic.Bool    // one does
	release   chan struct{}
}

// stillValid is the check of an order that may be sent.
func stillValid() error { return nil }

func newOrderedWorkers(tb testing.TB, n int) *orderedWorkers {
	answer, err := json.Marshal(report(9, 7))
	if err != nil {
		tb.Fatal(err)
	}
	w := &orderedWorkers{dialled: make([]atomic.Int64, n), release: make(chan struct{})}
	for i := range n {
		srv := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if i == 0 && w.held.Load() {
				w.waiting.Store(true)
				<-w.release
			}
			_, _ = rw.Write(answer)
		}))
		srv.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				w.dialled[i].Add(1)
				w.open.Add(1)
			case http.StateClosed:
				w.open.Add(-1)
			}
		}
		srv.Start()
		tb.Cleanup(srv.Close)
		w.endpoints = append(w.endpoints, srv.Listener.Addr().String())
	}
	return w
}

func (w *orderedWorkers) order(tb testing.TB, orders *dispatch.HTTPCommandSender, worker int) {
	tb.Helper()
	if _, _, err := orders.SendCommands(context.Background(), w.endpoints[worker], wire.Orders{Token: 7, Session: 1}, stillValid); err != nil {
		tb.Errorf("order to worker %d: %v", worker, err)
	}
}

func (w *orderedWorkers) orderAll(tb testing.TB, orders *dispatch.HTTPCommandSender) {
	tb.Helper()
	for worker := range w.endpoints {
		w.order(tb, orders, worker)
	}
}

// dials returns how many connections were opened since the last call, from the first worker
// on.
func (w *orderedWorkers) dials() (each []int64, sum int64) {
	for i := range w.dialled {
		n := w.dialled[i].Swap(0)
		each, sum = append(each, n), sum+n
	}
	return each, sum
}

// eventually waits for what the workers' servers notice a little later.
func eventually(tb testing.TB, what string, holds func() bool) {
	tb.Helper()
	for start := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			tb.Fatalf("not within 5 s: %s", what)
		}
	}
}

// Orders to many workers in turn keep their connections while there are sockets to spare.
// When users take those, idle connections are closed, the longest idle first, and are not
// closed again and again by users that come and go.
func TestOrderConnectionsFollowTheFreeSockets(t *testing.T) {
	const workers = 40 // four times the orders at once
	var accepted atomic.Int64
	budget := sockets.Budget{Limit: 200, Accepted: func() int { return int(accepted.Load()) }}
	orders, w := dispatch.NewHTTPCommandSender(budget), newOrderedWorkers(t, workers)
	w.orderAll(t, orders)
	w.orderAll(t, orders)
	if _, sum := w.dials(); sum != workers || orders.Connections() != workers {
		t.Errorf("%d connections opened and %d kept for two orders to each of %d workers", sum, orders.Connections(), workers)
	}

	for budget.Orders().Keep != workers-10 {
		accepted.Add(1)
	}
	orders.Trim()
	if n := orders.Connections(); n != workers-10 {
		t.Errorf("%d connections kept, %d allowed", n, workers-10)
	}
	eventually(t, "the others are closed", func() bool { return w.open.Load() == workers-10 })
	for worker := workers - 1; worker >= 0; worker-- {
		w.order(t, orders, worker)
	}
	if each, sum := w.dials(); sum != 10 || each[9] != 1 || each[10] != 0 {
		t.Errorf("not the 10 longest idle ones were closed: opened anew %v", each)
	}

	half := int64(budget.Limit) / 32 // of the reserve
	accepted.Add(-half)
	w.orderAll(t, orders)
	full := orders.Connections()
	for range 20 {
		accepted.Add(half)
		orders.Trim()
		accepted.Add(-half)
		orders.Trim()
	}
	if n := orders.Connections(); n != full {
		t.Errorf("%d of %d connections left after users came and went", n, full)
	}
}

// An order under way keeps its connection, however few sockets there are: it would be
// unknown whether it was executed, and only a newer term ends that.
func TestOrderUnderWayKeepsItsConnection(t *testing.T) {
	var accepted atomic.Int64
	budget := sockets.Budget{Limit: 96, Accepted: func() int { return int(accepted.Load()) }}
	orders, w := dispatch.NewHTTPCommandSender(budget), newOrderedWorkers(t, 20)
	w.order(t, orders, 0) // its connection was idle before
	w.held.Store(true)
	done := make(chan struct{})
	go func() { defer close(done); w.order(t, orders, 0) }()
	eventually(t, "the order waits at its worker", func() bool { return w.waiting.Load() })
	w.held.Store(false)
	for worker := 1; worker < len(w.endpoints); worker++ {
		w.order(t, orders, worker)
	}
	accepted.Store(int64(budget.MaxAccepted()))
	orders.Trim()
	if n := orders.Connections(); n != budget.OrdersAtOnce() {
		t.Errorf("%d connections with no socket to spare, %d orders at once", n, budget.OrdersAtOnce())
	}
	close(w.release)
	<-done
	w.order(t, orders, 0)
	if n := w.dialled[0].Load(); n != 1 {
		t.Errorf("%d connections for orders to a worker whose connection was in use", n)
	}
	eventually(t, "no others are open", func() bool { return w.open.Load() == int64(budget.OrdersAtOnce()) })
}
