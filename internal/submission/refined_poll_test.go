package submission_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/wallrack/wallrack/internal/submission"
	"github.com/wallrack/wallrack/internal/wire"
)

// leaderWithPendingCancel is a peer that leads a job with a pending cancel. It has no certain
// state of the job in memory, and responds to a poll with the stored state, refined by what it
// knows of the job's tasks.
type leaderWithPendingCancel struct {
	*stub
	stage string // in its response to a poll
	polls int
}

func (l *leaderWithPendingCancel) ShardLeaders() []string { return []string{"b"} }

func (l *leaderWithPendingCancel) QueryPeer(_ context.Context, _ string, r submission.Request) (*submission.Reply, error) {
	switch r.Verb {
	case submission.VerbBatchPoll:
		return &submission.Reply{Status: http.StatusOK, States: make([]wire.JobState, len(r.UIDs))}, nil
	case submission.VerbPoll:
		l.polls++
		return &submission.Reply{Status: http.StatusOK, State: wire.JobState{UID: r.UID, Stage: l.stage, Running: 1}}, nil
	}
	return &submission.Reply{}, nil
}

// While a cancel is pending, the leader is not certain of a running job's state, and the state
// service records the job as queued. A poll at another controller must return what the leader
// knows of the job's tasks.
func TestPollDuringPendingCancelIsRefinedByLeader(t *testing.T) {
	s, request := serve(t)
	if status, _, _ := request(http.MethodPost, "/api/jobs", job); status != http.StatusCreated {
		t.Fatalf("submission: %d", status)
	}
	leader := &leaderWithPendingCancel{stub: s}
	request = serveWith(t, s, submission.Options{Peers: leader})
	for _, stage := range []string{wire.StageRunning, wire.StageCancelled, wire.StageDone, wire.StageQueued} {
		leader.stage = stage
		if status, _, st := request(http.MethodGet, "/api/jobs/j-7", ""); status != http.StatusOK || st.Stage != stage {
			t.Errorf("the leader says %s: %d %+v", stage, status, st)
		}
	}
	if leader.polls != 4 {
		t.Errorf("the leader received %d polls", leader.polls)
	}
	if status, _, _ := request(http.MethodGet, "/api/jobs/j-1", ""); status != http.StatusNotFound || leader.polls != 4 {
		t.Errorf("a job that nobody submitted: %d, the leader received %d polls", status, leader.polls)
	}
}
