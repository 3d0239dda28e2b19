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

// The answer about alerts of each kind, open and over, the log's lines of them, and the
// keys of the statistics.
func TestRecordedAlerts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		due := 20.0
		j := &jobs{}
		late := []scheduler.JobStatus{
			{UID: "j-1", Class: "quick", Age: 3 * time.Second, Tasks: 4, Started: 1},
			{UID: "j-2", Class: "batch", Age: 30 * time.Second, Tasks: 2, Started: 2, Done: 1},
			{UID: "j-3", Class: "nightly", Age: 45 * time.Second, Tasks: 3, Started: 3, Done: 2, DueS: &due},
		}
		aims := []config.Objective{{Kind: "wait", Class: "quick", WithinS: 2}, {Kind: "finished", Class: "batch", WithinS: 5}, {Kind: "deadline", Class: "nightly", Times: 2}}
		a := slo.New(aims, j, slog.New(slog.NewTextHandler(&log, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = a.Run(ctx) }()
		mux := http.NewServeMux()
		a.Register(mux)
		var text strings.Builder
		ask := func() {
			time.Sleep(1500 * time.Millisecond)
			synctest.Wait()
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ops/alerts", nil))
			fmt.Fprintf(&text, "%d %s %s\n", w.Code, w.Header().Get("Content-Type"), jsonTime.ReplaceAllString(w.Body.String(), "TIME"))
		}
		for _, s := range late { // one after the other, by which they are in order
			j.add(s)
			ask()
		}
		for j.take() {
			ask()
		}
		stats, err := json.Marshal(a.Stats())
		if err != nil {
			t.Fatal(err)
		}
		cancel()
		<-ended
		fmt.Fprintf(&text, "%s\n%s", stats, logTime.ReplaceAllString(log.String(), ""))
		recorded.Compare(t, "alerts.txt", []byte(text.String()))
	})
}

func (j *jobs) add(s scheduler.JobStatus) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.list = append(j.list, s)
}

// take ends the first job, and reports whether there was one.
func (j *jobs) take() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.list) == 0 {
		return false
	}
	j.list = j.list[1:]
	return true
}
