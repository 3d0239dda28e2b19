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

type jobs struct {
	mu   sync.Mutex
	list []scheduler.JobStatus
}

func (j *jobs) JobStatuses() []scheduler.JobStatus {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]scheduler.JobStatus(nil), j.list...)
}

// A job that waits past its aim is paged once, not at every check, and cleared
// when it is over; a cancelled one is not paged.
func TestMissedAimIsPagedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := &jobs{}
		a := slo.New([]config.Objective{{Kind: "wait", Class: "c", WithinS: 2}, {Kind: "finished", Class: "c", WithinS: 5}}, j, slog.New(slog.NewTextHandler(io.Discard, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = a.Run(ctx) }()
		mux := http.NewServeMux()
		a.Register(mux)
		look := func() (out struct{ Open, Past []slo.Alert }) {
			time.Sleep(1500 * time.Millisecond)
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ops/alerts", nil))
			if err := json.Unmarshal(w.Body.Bytes(), &out); err != nil {
				t.Fatal(err)
			}
			return out
		}
		set := func(s ...scheduler.JobStatus) {
			j.mu.Lock()
			defer j.mu.Unlock()
			j.list = s
		}
		waits := scheduler.JobStatus{UID: "j-1", Class: "c", Age: 3 * time.Second, Tasks: 4, Started: 1}
		gone := scheduler.JobStatus{UID: "j-2", Class: "c", Age: time.Minute, Tasks: 4, Cancelled: true}
		set(waits, gone)
		first := look().Open
		if len(first) != 1 || first[0].Job != "j-1" || first[0].Aim != "wait" || first[0].Message == "" || first[0].Page == "" {
			t.Fatalf("open %+v", first)
		}
		if again := look(); len(again.Open) != 1 || !again.Open[0].Since.Equal(first[0].Since) || len(again.Past) != 0 {
			t.Errorf("paged again: %+v", again)
		}
		waits.Started = 4
		set(waits)
		if over := look(); len(over.Open) != 0 || len(over.Past) != 1 || over.Past[0].Cleared == nil {
			t.Errorf("not cleared: %+v", over)
		}
		cancel()
		<-ended
	})
}
