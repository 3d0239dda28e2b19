package submission_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/submission"
	"github.com/wallrack/wallrack/internal/wire"
)

// The tests guard against a running job that is reported as queued to a user who repeats its
// submission.

// leaderBesideRelay stands for two peers: the leader b, and a controller c that reaches the state
// service and returns stored states.
type leaderBesideRelay struct {
	*leaderWithPendingCancel
	relayed int // submissions that c served
}

func (r *leaderBesideRelay) ServingPeers() []string { return []string{"c"} }

func (r *leaderBesideRelay) QueryPeer(ctx context.Context, peer string, request submission.Request) (*submission.Reply, error) {
	if peer == "c" && request.Verb == submission.VerbSubmit {
		r.relayed++
		return &submission.Reply{Status: http.StatusOK, State: wire.JobState{UID: "j-7", Stage: wire.StageQueued}}, nil
	}
	return r.leaderWithPendingCancel.QueryPeer(ctx, peer, request)
}

// A repeated submission returns what the job's leader knows of its tasks, at any controller and
// however the controller found the job, and costs the leader one poll.
func TestRepeatedSubmissionIsRefinedByLeader(t *testing.T) {
	for _, c := range []struct {
		name           string
		body           string
		memoryPressure bool // this controller accepts no new jobs
		down           bool // this controller does not reach the state service
	}{
		{name: "as it was", body: job},
		{name: "malformed by now", body: strings.Replace(job, `"pieces":3`, `"pieces":0`, 1)},
		{name: "while memory is short", body: job, memoryPressure: true},
		{name: "relayed by a peer", body: job, down: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, request := serve(t)
			if status, _, _ := request(http.MethodPost, "/api/jobs", job); status != http.StatusCreated {
				t.Fatalf("submission: %d", status)
			}
			s.Unavailable = func() bool { return c.down }
			leader := &leaderBesideRelay{leaderWithPendingCancel: &leaderWithPendingCancel{stub: s}}
			request = serveWith(t, s, submission.Options{Peers: leader, MemoryPressure: func() bool { return c.memoryPressure }})
			stages := []string{wire.StageRunning, wire.StageCancelled, wire.StageDone, wire.StageQueued}
			for _, stage := range stages {
				leader.stage = stage
				if status, _, state := request(http.MethodPost, "/api/jobs", c.body); status != http.StatusOK || state.Stage != stage {
					t.Errorf("the leader says %s: %d %+v", stage, status, state)
				}
			}
			if leader.polls != len(stages) {
				t.Errorf("the leader received %d polls, want %d", leader.polls, len(stages))
			}
			if c.down != (leader.relayed == len(stages)) {
				t.Errorf("%d submissions were relayed", leader.relayed)
			}
		})
	}
}

// A new job, which its leader can't know yet, is accepted without a query to the leader, and so
// is the check of a submission, which records nothing.
func TestNewSubmissionDoesNotQueryLeader(t *testing.T) {
	s := newStub()
	leader := &leaderWithPendingCancel{stub: s, stage: wire.StageRunning}
	service := newService(t, s, submission.Options{Peers: leader})
	for _, verb := range []string{submission.VerbCheck, submission.VerbSubmit} {
		reply := service.Submit(context.Background(), submission.Request{Verb: verb, Body: []byte(job)})
		if reply.Status/100 != 2 || reply.State.Stage != wire.StageQueued {
			t.Errorf("%s of a new job: %+v", verb, reply)
		}
	}
	if leader.polls > 0 {
		t.Errorf("the leader received %d polls", leader.polls)
	}
}
