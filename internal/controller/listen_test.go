package controller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/sockets"
	"github.com/wallrack/wallrack/internal/wire"
)

// Users, or connections that never say anything, must not take the sockets
// that the lease's renewal needs: those beyond the limit are told to come back.
func TestDoorAnswersBeyondItsLimit(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &door{Listener: lis, most: 2}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(d) }()
	defer func() { _ = srv.Close(); <-done }()
	// One that is refused says nothing first: the answer comes at once, and a client of
	// net/http that sees it before it has sent its request calls it an error, by chance.
	ask := func(request string) int {
		c, err := net.Dial("tcp", lis.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(c, request); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
			t.Error("refused without saying when to come back")
		}
		return resp.StatusCode
	}
	wait := func(open int) {
		for start := time.Now(); d.count() != open; time.Sleep(time.Millisecond) {
			if time.Since(start) > 5*time.Second {
				t.Fatalf("%d connections open, not %d", d.count(), open)
			}
		}
	}
	var silent []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", lis.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		silent = append(silent, c)
	}
	wait(2)
	if got := ask(""); got != http.StatusServiceUnavailable {
		t.Errorf("status %d with the door full", got)
	}
	_ = silent[0].Close()
	wait(1)
	if got := ask("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); got != http.StatusOK {
		t.Errorf("status %d after one left", got)
	}
	_ = silent[1].Close()
}

// Idle connections for orders must never cost a user or worker a connection: all that the
// limit allows are admitted, and the process keeps within its limit meanwhile.
func TestOrderConnectionsGiveWay(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	d := &door{Listener: lis}
	budget := sockets.Budget{Limit: 200, Peers: 2, Accepted: d.count}
	orders := dispatch.NewHTTPCommandSender(budget)
	d.share(budget, orders)
	own := budget.Limit - budget.MaxAccepted() - budget.OrdersAtOnce()

	for range 3 * budget.OrdersAtOnce() {
		worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }))
		defer worker.Close()
		_, _, _ = orders.SendCommands(context.Background(), worker.Listener.Addr().String(), wire.Orders{Token: 1}, func() error { return nil }) // its answer is of no weight
	}
	if n := orders.Connections(); n != 3*budget.OrdersAtOnce() {
		t.Fatalf("%d connections for orders before anybody came", n)
	}
	for user := range budget.MaxAccepted() {
		c, err := net.Dial("tcp", lis.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		admitted, err := d.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer admitted.Close()
		if d.count() != user+1 {
			t.Fatalf("user %d was not admitted", user)
		}
		if total := d.count() + orders.Connections() + own; total > budget.Limit {
			t.Fatalf("%d sockets of %d with %d users", total, budget.Limit, d.count())
		}
	}
	if n := orders.Connections(); n != budget.OrdersAtOnce() {
		t.Errorf("%d connections left for %d orders at once", n, budget.OrdersAtOnce())
	}
}
