package submission_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/submission"
	"github.com/wallrack/wallrack/internal/wire"
)

// restarted is a controller that leads no shard and has not read yet which jobs are live.
type restarted struct{ *stub }

func (restarted) SurelyQueued(string, int) bool { return false }
func (restarted) KnownLive(string) bool         { return false }

// leaders are peers of which the first ones lead shards. Each responds with status, 0: not at all.
type leaders struct {
	*stub
	names  []string
	status int
}

func (l *leaders) ShardLeaders() []string { return l.names }

func (l *leaders) QueryPeer(_ context.Context, _ string, r submission.Request) (*submission.Reply, error) {
	if l.status == 0 {
		return nil, errors.New("cut off")
	}
	if r.Verb == submission.VerbBatchPoll {
		return &submission.Reply{Status: http.StatusOK, States: make([]wire.JobState, len(r.UIDs))}, nil
	}
	return &submission.Reply{Status: l.status}, nil
}

// A poll and a repeated submission of a job that a read shows to be live are answered whoever leads the job.
func TestLiveJobHasAStageWhileNoLeaderKnowsIt(t *testing.T) {
	for name, peers := range map[string]leaders{
		"no leader":                        {},
		"the leader does not respond":      {names: []string{"b"}},
		"the leader has not loaded it yet": {names: []string{"b"}, status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStub()
				peers.stub = s
				request := requestTo(newServiceWith(t, s, restarted{s}, submission.Options{Peers: &peers}))
				expect := func(method, path, body string, status int, stage string) {
					t.Helper()
					if got, _, state := request(method, path, body); got != status || state.Stage != stage {
						t.Errorf("%s %s: %d, stage %q; want %d, %q", method, path, got, state.Stage, status, stage)
					}
				}
				expect(http.MethodPost, "/api/jobs", job, http.StatusCreated, wire.StageQueued)
				expect(http.MethodGet, "/api/jobs/j-7", "", http.StatusOK, wire.StageQueued)
				time.Sleep(time.Minute)
				expect(http.MethodGet, "/api/jobs/j-7", "", http.StatusOK, wire.StageRunning)
				expect(http.MethodPost, "/api/jobs", job, http.StatusOK, wire.StageRunning)
				expect(http.MethodGet, "/api/jobs/j-8", "", http.StatusNotFound, "")
				s.Unavailable = func() bool { return true }
				expect(http.MethodGet, "/api/jobs/j-7", "", http.StatusServiceUnavailable, "")
			})
		})
	}
}
