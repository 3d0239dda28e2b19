package dispatch_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/sockets"
	"github.com/wallrack/wallrack/internal/wire"
)

// newUnresponsiveWorker returns the address of a worker that accepts connections and never
// responds.
func newUnresponsiveWorker(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// Commands to responsive workers don't wait for polls of unresponsive ones, no matter how many of
// those there are.
func TestCommandsDuringPollsOfUnresponsiveWorkers(t *testing.T) {
	budget := sockets.Budget{MaxSockets: 200, Accepted: func() int { return 0 }}
	sender := dispatch.NewHTTPCommandSender(budget)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan struct{})
	unresponsive := 4 * budget.MaxConcurrentRequests()
	for range unresponsive {
		endpoint := newUnresponsiveWorker(t)
		go func() {
			_, _ = sender.FetchReport(ctx, endpoint) // fails when the test ends
			done <- struct{}{}
		}()
	}
	eventually(t, "unresponsive workers are polled", func() bool { return sender.Connections() >= budget.MaxConcurrentRequests()/2 })

	workers := newFakeWorkers(t, 1)
	within, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	for range 50 { // while polls of further unresponsive workers start
		if _, _, err := sender.SendCommands(within, workers.endpoints[0], wire.PushedCommands{Token: 7, Session: 1}, alwaysValid); err != nil {
			t.Fatalf("commands while %d unresponsive workers are polled: %v", unresponsive, err)
		}
	}
	cancel()
	for range unresponsive {
		<-done
	}
}
