package controller

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/statestore"
)

// A leader whose cancels are unknown answers no worker, so all workers lose their leases during a longer pause.
func TestSlowReadOfCancellationsIsRepeatedWithinTheLeaseOfWorkers(t *testing.T) {
	const (
		responseTime = 1500 * time.Millisecond // of a state service that refuses most requests
		workerLease  = 11 * time.Second        // the shortest that operators use
		cancelS      = 41                      // at the same site
	)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(responseTime)
		_, _ = w.Write([]byte(`{"rows":[],"truncated":false,"ledger":1}`)) // fails only if the client has gone
	}))
	defer service.Close()
	registry := cancellation.New(cancellation.Options{Limit: time.Minute, LeaseRemaining: func() time.Duration { return time.Minute }})
	client := statestore.New(strings.TrimPrefix(service.URL, "http://"), 1000, 1000, 24)
	reader := &cancellationReader{registry: registry, store: client, grace: responseGrace(config.Workers{LeaseS: workerLease.Seconds(), CancelS: cancelS}), log: slog.New(slog.DiscardHandler)}
	pause := reader.read(t.Context())
	if registry.KnownUntil().IsZero() {
		t.Fatal("the read failed")
	}
	if pause > workerLease {
		t.Errorf("the next read follows after %v, and workers' leases last %v", pause, workerLease)
	}
}

// Leases, log writes and polls share the rest of the state service's requests.
func TestReadsOfCancellationsTakeASmallPartOfTheStateService(t *testing.T) {
	const (
		controllers  = 5
		requestsPerS = 80   // of the smallest state service
		liveJobs     = 1300 // of 4,000 machines
		pageSize     = 1000 // of package statestore
		maxShare     = 0.05
	)
	for _, workers := range []config.Workers{{LeaseS: 11, CancelS: 41}, {LeaseS: 22, CancelS: 52}, {LeaseS: 44, CancelS: 64}} {
		reader := cancellationReader{grace: responseGrace(workers)}
		for duration := time.Duration(0); duration <= storeReadTimeout; duration += 100 * time.Millisecond {
			pause := reader.pauseAfter(duration)
			if pause+storeReadTimeout+exchangeInterval >= reader.grace {
				t.Errorf("%+v: a read fails %v after one of %v, and workers get no responses after %v", workers, pause, duration, reader.grace)
			}
			const pages = (liveJobs + pageSize - 1) / pageSize
			if share := controllers * pages / (duration + pause).Seconds() / requestsPerS; share > maxShare {
				t.Errorf("%+v: after reads of %v the next ones take %.3f of the state service", workers, duration, share)
			}
		}
	}
}
