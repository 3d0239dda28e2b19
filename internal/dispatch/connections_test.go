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

// fakeWorkers are workers that respond to commands and count the connections to them.
type fakeWorkers struct {
	endpoints    []string
	dialled      []atomic.Int64 // connections opened, by worker
	open         atomic.Int64   // connections open now
	blockFirst   atomic.Bool    // the first worker withholds its responses until release is closed
	firstBlocked atomic.Bool    // a request waits there
	release      chan struct{}
}

// alwaysValid accepts all commands.
func alwaysValid() error { return nil }

func newFakeWorkers(tb testing.TB, n int) *fakeWorkers {
	answer, err := json.Marshal(report(9, 7))
	if err != nil {
		tb.Fatal(err)
	}
	w := &fakeWorkers{dialled: make([]atomic.Int64, n), release: make(chan struct{})}
	for i := range n {
		srv := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if i == 0 && w.blockFirst.Load() {
				w.firstBlocked.Store(true)
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

func (w *fakeWorkers) command(tb testing.TB, sender *dispatch.HTTPCommandSender, worker int) {
	tb.Helper()
	if _, _, err := sender.SendCommands(context.Background(), w.endpoints[worker], wire.PushedCommands{Token: 7, Session: 1}, alwaysValid); err != nil {
		tb.Errorf("commands to worker %d: %v", worker, err)
	}
}

func (w *fakeWorkers) commandAll(tb testing.TB, sender *dispatch.HTTPCommandSender) {
	tb.Helper()
	for worker := range w.endpoints {
		w.command(tb, sender, worker)
	}
}

// newDials returns the number of connections opened since the last call, by worker and in total.
func (w *fakeWorkers) newDials() (each []int64, sum int64) {
	for i := range w.dialled {
		n := w.dialled[i].Swap(0)
		each, sum = append(each, n), sum+n
	}
	return each, sum
}

// eventually waits for a condition that the workers' servers bring about with a delay.
func eventually(tb testing.TB, what string, holds func() bool) {
	tb.Helper()
	for start := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			tb.Fatalf("not within 5 s: %s", what)
		}
	}
}

// Connections to workers stay open while there are sockets to spare. When clients take those, the
// connections that have been idle longest are closed. Clients that come and go don't cause
// connections to be closed again and again.
func TestConnectionsKeptWithinFreeSockets(t *testing.T) {
	const workers = 40 // four times the number of concurrent requests
	var accepted atomic.Int64
	budget := sockets.Budget{MaxSockets: 200, Accepted: func() int { return int(accepted.Load()) }}
	sender, w := dispatch.NewHTTPCommandSender(budget), newFakeWorkers(t, workers)
	w.commandAll(t, sender)
	w.commandAll(t, sender)
	if _, sum := w.newDials(); sum != workers || sender.Connections() != workers {
		t.Errorf("%d connections opened and %d kept for two requests to each of %d workers", sum, sender.Connections(), workers)
	}

	for budget.WorkerConnectionLimits().HardLimit != workers-10 {
		accepted.Add(1)
	}
	sender.Trim()
	if n := sender.Connections(); n != workers-10 {
		t.Errorf("%d connections kept, %d allowed", n, workers-10)
	}
	eventually(t, "the others are closed", func() bool { return w.open.Load() == workers-10 })
	for worker := workers - 1; worker >= 0; worker-- {
		w.command(t, sender, worker)
	}
	if each, sum := w.newDials(); sum != 10 || each[9] != 1 || each[10] != 0 {
		t.Errorf("the closed connections are not the 10 longest idle ones: reopened by worker: %v", each)
	}

	half := int64(budget.MaxSockets) / 32 // half of the reserve that the budget holds back
	accepted.Add(-half)
	w.commandAll(t, sender)
	full := sender.Connections()
	for range 20 {
		accepted.Add(half)
		sender.Trim()
		accepted.Add(-half)
		sender.Trim()
	}
	if n := sender.Connections(); n != full {
		t.Errorf("%d of %d connections left after clients came and went", n, full)
	}
}

// A connection with commands in flight is not closed, however few sockets there are. Otherwise the
// commands' outcome would be unknown until a newer fencing token invalidates them.
func TestConnectionKeptDuringCommands(t *testing.T) {
	var accepted atomic.Int64
	budget := sockets.Budget{MaxSockets: 96, Accepted: func() int { return int(accepted.Load()) }}
	sender, w := dispatch.NewHTTPCommandSender(budget), newFakeWorkers(t, 20)
	w.command(t, sender, 0) // so that the connection is an idle one that is reused
	w.blockFirst.Store(true)
	done := make(chan struct{})
	go func() { defer close(done); w.command(t, sender, 0) }()
	eventually(t, "the commands wait at their worker", func() bool { return w.firstBlocked.Load() })
	w.blockFirst.Store(false)
	for worker := 1; worker < len(w.endpoints); worker++ {
		w.command(t, sender, worker)
	}
	accepted.Store(int64(budget.MaxAccepted()))
	sender.Trim()
	if n := sender.Connections(); n != budget.MaxConcurrentRequests() {
		t.Errorf("%d connections with no socket to spare, limit of concurrent requests: %d", n, budget.MaxConcurrentRequests())
	}
	close(w.release)
	<-done
	w.command(t, sender, 0)
	if n := w.dialled[0].Load(); n != 1 {
		t.Errorf("%d connections opened to a worker whose connection was in use", n)
	}
	eventually(t, "no others are open", func() bool { return w.open.Load() == int64(budget.MaxConcurrentRequests()) })
}
