package connlimit

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// newCountedServer returns the address of a server that answers every request, behind a limit of open
// connections.
func newCountedServer(t *testing.T, limit *Limit) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(CountRequests("/v1/report", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })))
	_ = server.Listener.Close() // replaced
	server.Listener, server.Config.ConnContext = NewListener(lis, limit), ConnContext
	server.Start()
	t.Cleanup(server.Close)
	return lis.Addr().String()
}

// get makes a request with a client of its own, whose connection stays open for further ones, and returns the
// status; 0: no response.
func get(t *testing.T, addr, path string) int {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	t.Cleanup(client.CloseIdleConnections)
	response, err := client.Get("http://" + addr + path)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	_, _ = io.Copy(io.Discard, response.Body)    // so that the connection stays open
	return response.StatusCode
}

func TestOpenConnectionsAreCountedByClient(t *testing.T) {
	limit, _ := New(200, 2)
	addr := newCountedServer(t, limit)
	for _, path := range []string{"/v1/report", "/v1/report", "/v1/report", "/up"} {
		if status := get(t, addr, path); status != http.StatusOK {
			t.Errorf("%s: status %d", path, status)
		}
	}
	unused, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer closeOrFail(t, unused)
	for start := time.Now(); limit.Count(time.Minute).Unused == 0 && time.Since(start) < 5*time.Second; {
		time.Sleep(time.Millisecond)
	}
	if got, want := limit.Count(time.Minute), (OpenConnections{Unused: 1, Workers: 3, Users: 1}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	time.Sleep(5 * time.Millisecond)
	if got := limit.Count(time.Millisecond); got.Stale != 5 {
		t.Errorf("%d stale connections, want 5", got.Stale)
	}
}
