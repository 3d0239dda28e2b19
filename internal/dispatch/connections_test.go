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

// commandedWorkers are workers that respond to direct commands and count the connections to them.
type commandedWorkers struct {
	endpoints []string
	dialled   []atomic.Int64 // connections that were opened
	open      atomic.Int64   // connections that are open now
	held      atomic.Bool    // commands to the first worker wait for release
	waiting   atomic.Bool    // one does
	release   chan struct{}
}

// stillValid is the check of commands that may be sent.
func stillValid() error { return nil }

func newCommandedWorkers(tb testing.TB, n int) *commandedWorkers {
	answer, err := json.Marshal(report(9, 7))
	if err != nil {
		tb.Fatal(err)
	}
	w := &commandedWorkers{dialled: make([]atomic.Int64, n), release: make(chan struct{})}
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

func (w *commandedWorkers) command(tb testing.TB, sender *dispatch.HTTPCommandSender, worker int) {
	tb.Helper()
	if _, _, err := sender.SendCommands(context.Background(), w.endpoints[worker], wire.PushedCommands{Token: 7, Session: 1}, stillValid); err != nil {
		tb.Errorf("commands to worker %d: %v", worker, err)
	}
}

func (w *commandedWorkers) commandAll(tb testing.TB, sender *dispatch.HTTPCommandSender) {
	tb.Helper()
	for worker := range w.endpoints {
		w.command(tb, sender, worker)
	}
}

// dials returns how many connections were opened since the last call, from the first worker
// on.
func (w *commandedWorkers) dials() (each []int64, sum int64) {
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

// Commands to many workers in turn keep their connections while there are sockets to spare.
// When users take those, idle connections are closed, the longest idle first, and are not
// closed again and again by users that come and go.
func TestConnectionsKeptWithinFreeSockets(t *testing.T) {
	const workers = 40 // four times the messages at once
	var accepted atomic.Int64
	budget := sockets.Budget{MaxSockets: 200, Accepted: func() int { return int(accepted.Load()) }}
	sender, w := dispatch.NewHTTPCommandSender(budget), newCommandedWorkers(t, workers)
	w.commandAll(t, sender)
	w.commandAll(t, sender)
	if _, sum := w.dials(); sum != workers || sender.Connections() != workers {
		t.Errorf("%d connections opened and %d kept for two messages to each of %d workers", sum, sender.Connections(), workers)
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
	if each, sum := w.dials(); sum != 10 || each[9] != 1 || each[10] != 0 {
		t.Errorf("not the 10 longest idle ones were closed: opened anew %v", each)
	}

	half := int64(budget.MaxSockets) / 32 // of the reserve
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
		t.Errorf("%d of %d connections left after users came and went", n, full)
	}
}

// Commands under way keep their connection, however few sockets there are: else their outcome
// would be unknown, and only a newer fencing token ends that.
func TestConnectionKeptDuringCommands(t *testing.T) {
	var accepted atomic.Int64
	budget := sockets.Budget{MaxSockets: 96, Accepted: func() int { return int(accepted.Load()) }}
	sender, w := dispatch.NewHTTPCommandSender(budget), newCommandedWorkers(t, 20)
	w.command(t, sender, 0) // its connection was idle before
	w.held.Store(true)
	done := make(chan struct{})
	go func() { defer close(done); w.command(t, sender, 0) }()
	eventually(t, "the commands wait at their worker", func() bool { return w.waiting.Load() })
	w.held.Store(false)
	for worker := 1; worker < len(w.endpoints); worker++ {
		w.command(t, sender, worker)
	}
	accepted.Store(int64(budget.MaxAccepted()))
	sender.Trim()
	if n := sender.Connections(); n != budget.MaxConcurrentRequests() {
		t.Errorf("%d connections with no socket to spare, %d orders at once", n, budget.MaxConcurrentRequests())
	}
	close(w.release)
	<-done
	w.command(t, sender, 0)
	if n := w.dialled[0].Load(); n != 1 {
		t.Errorf("%d connections for orders to a worker whose connection was in use", n)
	}
	eventually(t, "no others are open", func() bool { return w.open.Load() == int64(budget.MaxConcurrentRequests()) })
}
