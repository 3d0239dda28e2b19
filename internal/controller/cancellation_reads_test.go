package controller

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/statestore"
)

// A leader whose cancels are unknown answers no worker, so all workers lose their leases during a longer pause.
func TestSlowReadOfCancellationsIsRepeatedWithinTheLeaseOfWorkers(t *testing.T) {
	const (
		responseTime = 1500 * time.Millisecond // of a state service that refuses most requests
		workerLease  = 11 * time.Second        // the shortest that operators use
	)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(responseTime)
		_, _ = w.Write([]byte(`{"rows":[],"truncated":false,"ledger":1}`)) // fails only if the client has gone
	}))
	defer service.Close()
	registry := cancellation.New(cancellation.Options{Limit: time.Minute, LeaseRemaining: func() time.Duration { return time.Minute }})
	client := statestore.New(strings.TrimPrefix(service.URL, "http://"), 1000, 1000, 24)
	reader := &cancellationReader{registry: registry, store: client, log: slog.New(slog.DiscardHandler)}
	pause := reader.read(t.Context())
	if registry.KnownUntil().IsZero() {
		t.Fatal("the read failed")
	}
	if pause > workerLease {
		t.Errorf("the next read follows after %v, and workers' leases last %v", pause, workerLease)
	}
}
