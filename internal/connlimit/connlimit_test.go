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

// Connections beyond the limit are refused at once with a Retry-After header, even if the open ones
// are idle. Otherwise clients could use up the sockets needed to renew the lease.
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
	// A refused connection sends no request: the server responds at once, and an http.Client
	// that receives the response before it has sent its request returns an error.
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
			t.Error("refused without a Retry-After header")
		}
		return resp.StatusCode
	}
	wait := func(open int) {
		for start := time.Now(); limit.Open() != open; time.Sleep(time.Millisecond) {
			if time.Since(start) > 5*time.Second {
				t.Fatalf("%d connections open, want %d", limit.Open(), open)
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
		t.Errorf("status %d at the limit", got)
	}
	_ = idle[0].Close()
	wait(1)
	if got := request("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); got != http.StatusOK {
		t.Errorf("status %d after one connection was closed", got)
	}
	_ = idle[1].Close()
}

// All connections from users and workers that the limit allows are accepted, even if there are idle
// connections for commands: these are closed, so that the process stays within its socket limit.
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
		_, _, _ = commands.SendCommands(context.Background(), worker.Listener.Addr().String(), wire.PushedCommands{Token: 1}, func() error { return nil }) // only the connection matters, not the result
	}
	if n := commands.Connections(); n != 3*budget.MaxConcurrentRequests() {
		t.Fatalf("%d connections for commands before the first accepted connection", n)
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
			t.Fatalf("connection %d was not accepted", user)
		}
		if total := limit.Open() + commands.Connections() + own; total > budget.MaxSockets {
			t.Fatalf("%d sockets of %d in use with %d accepted connections", total, budget.MaxSockets, limit.Open())
		}
	}
	if n := commands.Connections(); n != budget.MaxConcurrentRequests() {
		t.Errorf("%d connections for commands left, want %d", n, budget.MaxConcurrentRequests())
	}
}

func closeOrFail(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}
