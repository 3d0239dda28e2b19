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

// newDeadWorker returns the address of a worker that takes connections and never answers.
func newDeadWorker(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// Orders to machines that are well don't wait for silent ones that are asked for their
// reports, however many those are.
func TestOrdersDoNotWaitForSilentMachines(t *testing.T) {
	budget := sockets.Budget{Limit: 200, Accepted: func() int { return 0 }}
	orderer := dispatch.NewHTTPCommandSender(budget)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan struct{})
	silent := 4 * budget.OrdersAtOnce()
	for range silent {
		dead := newDeadWorker(t)
		go func() {
			_, _ = orderer.FetchReport(ctx, dead) // it fails when the test ends
			done <- struct{}{}
		}()
	}
	eventually(t, "silent machines are asked", func() bool { return orderer.Connections() >= budget.OrdersAtOnce()/2 })

	workers := newOrderedWorkers(t, 1)
	within, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	for range 50 { // while ever more of the silent ones are asked
		if _, _, err := orderer.SendCommands(within, workers.endpoints[0], wire.Orders{Token: 7, Session: 1}, stillValid); err != nil {
			t.Fatalf("an order while %d silent machines are asked: %v", silent, err)
		}
	}
	cancel()
	for range silent {
		<-done
	}
}
