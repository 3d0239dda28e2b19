package connlimit

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/sockets"
	"github.com/wallrack/wallrack/internal/wire"
)

// Users, or connections that never send anything, must not take the sockets that the lease's
// renewal needs: those beyond the limit are refused at once, with a time to come back.
func TestListenerRejectsConnectionsBeyondLimit(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limit := &Limit{max: 2, onAdmit: func() {}}
	limited := NewListener(lis, limit)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(limited) }()
	defer func() {
		closeOrFail(t, srv)
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	// One that is refused says nothing first: the answer comes at once, and a client of
	// net/http that sees it before it has sent its request calls it an error, by chance.
	request := func(text string) int {
		conn, err := net.Dial("tcp", lis.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
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
		for start := time.Now(); limit.Open() != open; time.Sleep(time.Millisecond) {
			if time.Since(start) > 5*time.Second {
				t.Fatalf("%d connections open, not %d", limit.Open(), open)
			}
		}
	}
	var idle [2]net.Conn
	for i := range idle {
		if idle[i], err = net.Dial("tcp", lis.Addr().String()); err != nil {
			t.Fatal(err)
		}
	}
	wait(2)
	if got := request(""); got != http.StatusServiceUnavailable {
		t.Errorf("status %d with all connections taken", got)
	}
	_ = idle[0].Close()
	wait(1)
	if got := request("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); got != http.StatusOK {
		t.Errorf("status %d after one left", got)
	}
	_ = idle[1].Close()
}

// Idle connections for commands must never cost a user or worker a connection: all that the
// limit allows are admitted, and the process keeps within its limit meanwhile.
func TestIdleCommandConnectionsAreClosedForAccepted(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeOrFail(t, lis)
	const maxSockets, peers = 200, 2
	limit, commands := New(maxSockets, peers)
	limited := NewListener(lis, limit)
	budget := sockets.Budget{MaxSockets: maxSockets, Peers: peers, Accepted: limit.Open}
	own := budget.MaxSockets - budget.MaxAccepted() - budget.MaxConcurrentRequests()

	for range 3 * budget.MaxConcurrentRequests() {
		worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }))
		defer worker.Close()
		_, _, _ = commands.SendCommands(context.Background(), worker.Listener.Addr().String(), wire.PushedCommands{Token: 1}, func() error { return nil }) // only the connection matters
	}
	if n := commands.Connections(); n != 3*budget.MaxConcurrentRequests() {
		t.Fatalf("%d connections for commands before anybody came", n)
	}
	for user := range budget.MaxAccepted() {
		c, err := net.Dial("tcp", lis.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer closeOrFail(t, c)
		admitted, err := limited.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer closeOrFail(t, admitted)
		if limit.Open() != user+1 {
			t.Fatalf("user %d was not admitted", user)
		}
		if total := limit.Open() + commands.Connections() + own; total > budget.MaxSockets {
			t.Fatalf("%d sockets of %d with %d users", total, budget.MaxSockets, limit.Open())
		}
	}
	if n := commands.Connections(); n != budget.MaxConcurrentRequests() {
		t.Errorf("%d connections left for %d commands at once", n, budget.MaxConcurrentRequests())
	}
}

func closeOrFail(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}
