package slo_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/slo"
)

// jobs is a set of living jobs that a test controls.
type jobs struct {
	mu     sync.Mutex
	living []scheduler.JobStatus
}

func (j *jobs) JobStatuses() []scheduler.JobStatus {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]scheduler.JobStatus(nil), j.living...)
}

// set replaces the living jobs.
func (j *jobs) set(living ...scheduler.JobStatus) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.living = living
}

// A job that waits beyond its objective raises one alert, not one at every check. The alert is
// cleared once the job has started. A cancelled job raises none.
func TestMissedObjectiveAlertsOnceUntilOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		living := &jobs{}
		monitor := slo.New([]config.Objective{{Kind: "wait", Class: "c", WithinS: 2}, {Kind: "finished", Class: "c", WithinS: 5}}, living, slog.New(slog.NewTextHandler(io.Discard, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = monitor.Run(ctx) }()
		mux := http.NewServeMux()
		monitor.Register(mux)
		alerts := func() (out struct{ Open, Past []slo.Alert }) {
			time.Sleep(1500 * time.Millisecond)
			response := httptest.NewRecorder()
			mux.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/ops/alerts", nil))
			if err := json.Unmarshal(response.Body.Bytes(), &out); err != nil {
				t.Fatal(err)
			}
			return out
		}
		waits := scheduler.JobStatus{UID: "j-1", Class: "c", Age: 3 * time.Second, Tasks: 4, Started: 1}
		cancelled := scheduler.JobStatus{UID: "j-2", Class: "c", Age: time.Minute, Tasks: 4, Cancelled: true}
		living.set(waits, cancelled)
		first := alerts().Open
		if len(first) != 1 || first[0].Job != "j-1" || first[0].ObjectiveKind != "wait" || first[0].Message == "" || first[0].Page == "" {
			t.Fatalf("open alerts %+v", first)
		}
		if again := alerts(); len(again.Open) != 1 || !again.Open[0].Since.Equal(first[0].Since) || len(again.Past) != 0 {
			t.Errorf("alert raised again: %+v", again)
		}
		waits.Started = 4
		living.set(waits)
		if over := alerts(); len(over.Open) != 0 || len(over.Past) != 1 || over.Past[0].Cleared == nil {
			t.Errorf("alert not cleared: %+v", over)
		}
		cancel()
		<-ended
	})
}
