package statestore_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/standin"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/submission"
	"github.com/wallrack/wallrack/internal/wire"
)

// The limits of a site of 4,000 machines, and its users.
const (
	siteRPS      = 180
	siteWriteRPS = 70
	siteTxnOps   = 48
	siteValueKB  = 16

	endedJobCount  = 3000 // nobody was told that they ended
	liveJobCount   = 1300
	leaderDelay    = time.Second // of a leader that is short of processor time
	userPollPause  = 5 * time.Second
	userTimeout    = 2 * time.Second
	forgottenAfter = 75 * time.Second
	recoveryTime   = 38 * time.Second // part of it until the load balancer sends users to a controller again
)

// handlerTransport passes requests to a handler, without a connection.
type handlerTransport struct{ handler http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	answer := httptest.NewRecorder()
	h.handler.ServeHTTP(answer, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return answer.Result(), nil
}

// newLeader stands for a controller that leads all shards and has no live job, without peers.
type newLeader struct{}

func (newLeader) LocalState(string) (wire.JobState, bool)                         { return wire.JobState{}, false }
func (newLeader) RefineState(stored wire.JobState) wire.JobState                  { return stored }
func (newLeader) JobAccepted(*wire.Job, *jobspec.Constraints, int, int64, uint64) {}
func (newLeader) All() []wire.MachineType                                         { return nil }
func (newLeader) ShardLeaders() []string                                          { return nil }
func (newLeader) ServingPeers() []string                                          { return nil }
func (newLeader) Healthy() bool                                                   { return true }
func (newLeader) Cancel(context.Context, string) (wire.JobState, error) {
	return wire.JobState{}, statestore.ErrUnavailable
}

func (newLeader) QueryPeer(context.Context, string, submission.Request) (*submission.Reply, error) {
	return nil, errors.New("no peers")
}

// recordEndedJobs records the ends of jobs in the state service.
func recordEndedJobs(t *testing.T, service http.Handler, jobs int) {
	t.Helper()
	record(t, service, jobs, func(job int) wire.Op {
		return wire.Op{Put: jobrecord.FinalPrefix + testJob(job), Value: jobrecord.FinalRecord{Stage: wire.StageDone, Done: 7}}
	})
}

// recordLiveJobs records accepted jobs in the state service.
func recordLiveJobs(t *testing.T, service http.Handler, jobs int) {
	t.Helper()
	record(t, service, jobs, func(job int) wire.Op {
		return wire.Op{Put: jobrecord.LivePrefix + testJob(job), Value: jobrecord.LiveRecord{Job: wire.Job{UID: testJob(job)}}}
	})
}

// record writes a record for each of a number of jobs.
func record(t *testing.T, service http.Handler, jobs int, op func(job int) wire.Op) {
	t.Helper()
	for first := 0; first < jobs; first += siteTxnOps {
		var txn wire.Txn
		for job := first; job < min(jobs, first+siteTxnOps); job++ {
			txn.Then = append(txn.Then, op(job))
		}
		body, err := json.Marshal(txn)
		if err != nil {
			t.Fatal(err)
		}
		answer := httptest.NewRecorder()
		service.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/txn", bytes.NewReader(body)))
		if answer.Code != http.StatusOK {
			t.Fatalf("status %d: %s", answer.Code, answer.Body)
		}
	}
}

func testJob(n int) string { return fmt.Sprintf("j-%06d", n) }

func TestThousandsOfEndedJobsAreNotForgottenAfterAllControllersEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := openState(t)
		recordEndedJobs(t, state.Handler(), endedJobCount)
		controller := newController(t, state, newLeader{}, newLeader{})
		if unanswered := controller.pollAll(t, endedJobCount); unanswered > 0 {
			t.Errorf("%d of %d jobs got no answer", unanswered, endedJobCount)
		}
	})
}

func TestLiveJobsAreNotForgottenWhileTheirLeaderIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := openState(t)
		recordLiveJobs(t, state.Handler(), liveJobCount)
		controller := newController(t, state, follower{}, slowLeader{})
		if unanswered := controller.pollAll(t, liveJobCount); unanswered > 0 {
			t.Errorf("%d of %d jobs got no answer", unanswered, liveJobCount)
		}
	})
}

// follower stands for a controller that leads no shard and knows which jobs are live.
type follower struct{ newLeader }

func (follower) SurelyQueued(string, int) bool { return false }
func (follower) KnownLive(string) bool         { return true }

// slowLeader is a peer that leads all jobs, which run, and responds late.
type slowLeader struct{ newLeader }

func (slowLeader) ShardLeaders() []string { return []string{"leader"} }

func (slowLeader) QueryPeer(ctx context.Context, _ string, request submission.Request) (*submission.Reply, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(leaderDelay):
	}
	reply := &submission.Reply{Status: http.StatusOK, State: running(request.UID), StageKnown: true}
	for _, uid := range request.UIDs {
		reply.States = append(reply.States, running(uid))
	}
	return reply, nil
}

func running(uid string) wire.JobState {
	return wire.JobState{UID: uid, Stage: wire.StageRunning, Running: 7}
}

func openState(t *testing.T) *standin.State {
	t.Helper()
	state, err := standin.OpenState(nil, siteTxnOps, siteValueKB)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// controller is the part of a controller that serves users.
type controller struct {
	service *submission.Service
	handler http.Handler
}

func newController(t *testing.T, state *standin.State, jobs submission.Jobs, peers submission.Peers) *controller {
	t.Helper()
	metered := standin.Metered(state.Handler(), 3*time.Millisecond, standin.NewRateLimits(siteRPS, siteWriteRPS), &standin.RequestCounts{})
	store := statestore.New("state", siteRPS, siteWriteRPS, siteTxnOps)
	store.SetTransport(handlerTransport{metered})
	operator, err := config.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	service := submission.New(submission.Options{
		Platform: &config.Platform{Node: "a"}, Operator: operator, Store: store, EndsWatcher: store, Jobs: jobs, Catalog: newLeader{}, Peers: peers,
		Log: slog.New(slog.DiscardHandler),
	})
	mux := http.NewServeMux()
	service.Register(mux)
	return &controller{service, mux}
}

// pollAll polls for jobs as users do, until each has had an answer or their time is over, and returns the
// number of those that got none.
func (c *controller) pollAll(t *testing.T, jobs int) int {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), forgottenAfter-recoveryTime)
	defer stop()
	var serving, polling sync.WaitGroup
	serving.Go(func() { _ = c.service.Run(ctx) }) // the error is that of ctx
	var answered atomic.Int64
	for job := range jobs {
		polling.Go(func() {
			time.Sleep(rand.N(userPollPause))
			for ctx.Err() == nil {
				if c.poll(ctx, testJob(job)) {
					answered.Add(1)
					return
				}
				time.Sleep(userPollPause)
			}
		})
	}
	polling.Wait()
	stop()
	serving.Wait()
	return jobs - int(answered.Load())
}

// poll reports whether a poll is answered in time.
func (c *controller) poll(ctx context.Context, uid string) bool {
	ctx, cancel := context.WithTimeout(ctx, userTimeout)
	defer cancel()
	answer := httptest.NewRecorder()
	c.handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/api/jobs/"+uid, nil).WithContext(ctx))
	return answer.Code == http.StatusOK && ctx.Err() == nil
}

// A transaction changes up to siteTxnOps keys at one revision, and the service keeps a number of changes.
func TestRecentChangesAreReportedThoughEachRevisionHasMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			jobs       = 12_000
			mostRecent = 5000
		)
		state := openState(t)
		recordEndedJobs(t, state.Handler(), jobs)
		store := statestore.New("state", siteRPS, siteWriteRPS, siteTxnOps)
		store.SetTransport(handlerTransport{state.Handler()})
		reported := map[string]bool{}
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		store.WatchRecent(ctx, jobrecord.FinalPrefix, time.Minute, func(events []wire.Event) {
			for _, event := range events {
				reported[event.Put] = true
			}
		})
		for job := jobs - mostRecent; job < jobs; job++ {
			if !reported[jobrecord.FinalPrefix+testJob(job)] {
				t.Fatalf("%s is not reported, %d others are", testJob(job), len(reported))
			}
		}
	})
}
