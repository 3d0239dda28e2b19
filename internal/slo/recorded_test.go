package slo_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/slo"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

var (
	logTime  = regexp.MustCompile(`time=\S+ `)
	jsonTime = regexp.MustCompile(`"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(Z|[+-]\d\d:\d\d)"`)
)

// The response with alerts of each kind, open and cleared, their log lines, and the keys of the
// statistics stay as recorded.
func TestRecordedAlerts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		due := 20.0
		living := &jobs{}
		late := []scheduler.JobStatus{
			{UID: "j-1", Class: "quick", Age: 3 * time.Second, Tasks: 4, Started: 1},
			{UID: "j-2", Class: "batch", Age: 30 * time.Second, Tasks: 2, Started: 2, Done: 1},
			{UID: "j-3", Class: "nightly", Age: 45 * time.Second, Tasks: 3, Started: 3, Done: 2, DueS: &due},
		}
		objectives := []config.Objective{{Kind: "wait", Class: "quick", WithinS: 2}, {Kind: "finished", Class: "batch", WithinS: 5}, {Kind: "deadline", Class: "nightly", Times: 2}}
		monitor := slo.New(objectives, living, slog.New(slog.NewTextHandler(&log, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = monitor.Run(ctx) }()
		mux := http.NewServeMux()
		monitor.Register(mux)
		var text strings.Builder
		query := func() {
			time.Sleep(1500 * time.Millisecond)
			synctest.Wait()
			response := httptest.NewRecorder()
			mux.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/ops/alerts", nil))
			fmt.Fprintf(&text, "%d %s %s\n", response.Code, response.Header().Get("Content-Type"), jsonTime.ReplaceAllString(response.Body.String(), "TIME"))
		}
		for _, job := range late { // one at a time, so that the order of the alerts is fixed
			living.add(job)
			query()
		}
		for living.removeFirst() {
			query()
		}
		stats, err := json.Marshal(monitor.Stats())
		if err != nil {
			t.Fatal(err)
		}
		cancel()
		<-ended
		fmt.Fprintf(&text, "%s\n%s", stats, logTime.ReplaceAllString(log.String(), ""))
		recorded.Compare(t, "alerts.txt", []byte(text.String()))
	})
}

// add adds a living job.
func (j *jobs) add(job scheduler.JobStatus) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.living = append(j.living, job)
}

// removeFirst removes the first job, and reports whether there was one.
func (j *jobs) removeFirst() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.living) == 0 {
		return false
	}
	j.living = j.living[1:]
	return true
}
