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

// recoveringLeader is a controller that leads one job after a failover. Its fields state which part
// of the job's state it has recovered.
type recoveringLeader struct {
	fakeServices
	shardsLoaded, runningTasksKnown bool
}

func (l *recoveringLeader) ShardsLoaded() bool            { return l.shardsLoaded }
func (l *recoveringLeader) SurelyQueued(string, int) bool { return l.runningTasksKnown }

func (l *recoveringLeader) LocalJobInfo(uid string) (jobquery.Info, bool) {
	return jobquery.Info{Job: wire.Job{UID: uid}, Constraints: &jobspec.Constraints{Number: 4}, Stage: wire.StageQueued}, l.shardsLoaded
}

// Get returns the stored record of the job, which was accepted a minute ago.
func (l *recoveringLeader) Get(_ context.Context, key string) (wire.Item, error) {
	if key != jobrecord.LivePrefix+"j-1" {
		return wire.Item{}, statestore.ErrNotFound
	}
	record := jobrecord.LiveRecord{Job: wire.Job{UID: "j-1"}, Constraints: &jobspec.Constraints{Number: 4}, AcceptedMs: time.Now().Add(-time.Minute).UnixMilli()}
	value, err := json.Marshal(&record)
	return wire.Item{Key: key, Value: value, Version: 1}, err
}

// After a failover, a leader that has not yet loaded its shards would serve a listing without
// their jobs. A leader that has received no heartbeats would report a running job as pending. They
// must answer 503 to these requests instead.
func TestNewLeaderRefusesQueriesUntilStateIsRecovered(t *testing.T) {
	for _, c := range []struct {
		name                            string
		shardsLoaded, runningTasksKnown bool
		list, info                      int // HTTP status codes expected from /slurm/jobs and /slurm/jobs/j-1
	}{
		{"claimed, not loaded", false, false, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
		{"loaded, no heartbeats", true, false, http.StatusOK, http.StatusServiceUnavailable},
		{"settled", true, true, http.StatusOK, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &recoveringLeader{shardsLoaded: c.shardsLoaded, runningTasksKnown: c.runningTasksKnown}
			l.leads = true
			h := http.NewServeMux()
			slurmapi.New(&slurmapi.Settings{ClusterName: "c", ListingsPerS: 1000}, &config.Platform{}, l, l, jobid.New(l), l, l, l, slog.New(slog.DiscardHandler)).Register(h)
			for path, want := range map[string]int{"/slurm/jobs": c.list, "/slurm/jobs/j-1": c.info} {
				w := httptest.NewRecorder()
				if h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil)); w.Code != want {
					t.Errorf("%s: %d %s, not %d", path, w.Code, w.Body, want)
				}
			}
		})
	}
}
