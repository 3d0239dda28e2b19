package slurmapi_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/slurmapi"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// newLeader is a leader after a failover: it has one job, and knows what the fields say.
type newLeader struct {
	site
	loaded, settled bool
}

func (l *newLeader) ShardsLoaded() bool            { return l.loaded }
func (l *newLeader) SurelyQueued(string, int) bool { return l.settled }

func (l *newLeader) LocalJobInfo(uid string) (jobquery.Info, bool) {
	return jobquery.Info{Job: wire.Job{UID: uid}, Constraints: &jobspec.Constraints{Number: 4}, Stage: wire.StageQueued}, l.loaded
}

// Get has the job's living record, which was written a minute ago.
func (l *newLeader) Get(_ context.Context, key string) (wire.Item, error) {
	if key != jobrecord.LivePrefix+"j-1" {
		return wire.Item{}, statestore.ErrNotFound
	}
	record := jobrecord.LiveRecord{Job: wire.Job{UID: "j-1"}, Constraints: &jobspec.Constraints{Number: 4}, AcceptedMs: time.Now().Add(-time.Minute).UnixMilli()}
	value, err := json.Marshal(&record)
	return wire.Item{Key: key, Value: value, Version: 1}, err
}

// Guards against a listing without jobs, and a running job shown as pending, after a failover.
func TestNewLeaderShowsNoJobBeforeItKnows(t *testing.T) {
	for _, c := range []struct {
		name            string
		loaded, settled bool
		list, info      int // statuses
	}{
		{"claimed, not loaded", false, false, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
		{"loaded, no heartbeats", true, false, http.StatusOK, http.StatusServiceUnavailable},
		{"settled", true, true, http.StatusOK, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &newLeader{loaded: c.loaded, settled: c.settled}
			l.owns = true
			h := http.NewServeMux()
			slurmapi.New(&slurmapi.Settings{Cluster: "c", PerS: 1000}, &config.Platform{}, l, l, jobid.New(l), l, l, l, slog.New(slog.DiscardHandler)).Register(h)
			for path, want := range map[string]int{"/slurm/jobs": c.list, "/slurm/jobs/j-1": c.info} {
				w := httptest.NewRecorder()
				if h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil)); w.Code != want {
					t.Errorf("%s: %d %s, not %d", path, w.Code, w.Body, want)
				}
			}
		})
	}
}
