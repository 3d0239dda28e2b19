package main

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/wire"
	"github.com/wallrack/wallrack/internal/worker"
)

// firstReport runs a worker with its files in dir until its first report, and returns that.
func firstReport(t *testing.T, dir string) wire.Report {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	reports := make(chan wire.Report, 1)
	controller := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var report wire.Report
		if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
			t.Error(err)
		}
		select {
		case reports <- report:
		default:
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer controller.Close()
	settings := workerSettings{
		id: worker.Identity{Name: "n-1", Type: "m", Zone: "z"}, listen: "127.0.0.1:0", dir: dir, descriptions: "http://127.0.0.1:1",
		controllers: []string{"a=" + controller.Listener.Addr().String()}, reportS: 1, leaseS: 10, maxLogKB: 1,
	}
	settings.id.Size.CPUs = 1
	ended := make(chan error, 1)
	go func() { ended <- runWorker(ctx, settings, slog.New(slog.DiscardHandler)) }()
	select {
	case report := <-reports:
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		return report
	case err := <-ended:
		t.Fatalf("the worker ended without a report: %v", err)
	}
	return wire.Report{}
}

// A copy of a command that was sent to the process before would match an equal session.
func TestRestartedWorkerReportsLaterSession(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "tasks")
	for session := uint64(1); session <= 3; session++ {
		if report := firstReport(t, dir); report.Session != session {
			t.Errorf("session %d, not %d", report.Session, session)
		}
	}
}
