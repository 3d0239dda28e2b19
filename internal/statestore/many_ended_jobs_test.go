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
	for first := 0; first < jobs; first += siteTxnOps {
		var txn wire.Txn
		for job := first; job < min(jobs, first+siteTxnOps); job++ {
			txn.Then = append(txn.Then, wire.Op{Put: jobrecord.FinalPrefix + endedJob(job), Value: jobrecord.FinalRecord{Stage: wire.StageDone, Done: 7}})
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

func endedJob(n int) string { return fmt.Sprintf("j-%06d", n) }

func TestThousandsOfEndedJobsAreNotForgottenAfterAllControllersEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state, err := standin.OpenState(nil, siteTxnOps, siteValueKB)
		if err != nil {
			t.Fatal(err)
		}
		recordEndedJobs(t, state.Handler(), endedJobCount)
		metered := standin.Metered(state.Handler(), 3*time.Millisecond, standin.NewRateLimits(siteRPS, siteWriteRPS), &standin.RequestCounts{})
		store := statestore.New("state", siteRPS, siteWriteRPS, siteTxnOps)
		store.SetTransport(handlerTransport{metered})
		operator, err := config.LoadOperator("")
		if err != nil {
			t.Fatal(err)
		}
		service := submission.New(submission.Options{
			Platform: &config.Platform{Node: "a"}, Operator: operator, Store: store, EndsWatcher: store, Jobs: newLeader{}, Catalog: newLeader{}, Peers: newLeader{},
			Log: slog.New(slog.DiscardHandler),
		})
		mux := http.NewServeMux()
		service.Register(mux)
		ctx, stop := context.WithTimeout(t.Context(), forgottenAfter-recoveryTime)
		defer stop()
		var running sync.WaitGroup
		running.Go(func() { _ = service.Run(ctx) }) // the error is that of ctx
		if unanswered := pollUntilDone(ctx, mux); unanswered > 0 {
			t.Errorf("%d of %d jobs got no answer", unanswered, endedJobCount)
		}
		stop()
		running.Wait()
	})
}

// A transaction changes up to siteTxnOps keys at one revision, and the service keeps a number of changes.
func TestRecentChangesAreReportedThoughEachRevisionHasMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			jobs       = 12_000
			mostRecent = 5000
		)
		state, err := standin.OpenState(nil, siteTxnOps, siteValueKB)
		if err != nil {
			t.Fatal(err)
		}
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
			if !reported[jobrecord.FinalPrefix+endedJob(job)] {
				t.Fatalf("%s is not reported, %d others are", endedJob(job), len(reported))
			}
		}
	})
}

// pollUntilDone polls for all ended jobs as users do, and returns the number of those that got no
// answer before ctx ends.
func pollUntilDone(ctx context.Context, controller http.Handler) int {
	var polling sync.WaitGroup
	var answered atomic.Int64
	for job := range endedJobCount {
		polling.Go(func() {
			time.Sleep(rand.N(userPollPause))
			for ctx.Err() == nil {
				if poll(ctx, controller, endedJob(job)) {
					answered.Add(1)
					return
				}
				time.Sleep(userPollPause)
			}
		})
	}
	polling.Wait()
	return endedJobCount - int(answered.Load())
}

// poll reports whether a job is called done in time.
func poll(ctx context.Context, controller http.Handler, uid string) bool {
	ctx, cancel := context.WithTimeout(ctx, userTimeout)
	defer cancel()
	answer := httptest.NewRecorder()
	controller.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/api/jobs/"+uid, nil).WithContext(ctx))
	var state wire.JobState
	return answer.Code == http.StatusOK && json.Unmarshal(answer.Body.Bytes(), &state) == nil && state.Stage == wire.StageDone && ctx.Err() == nil
}
