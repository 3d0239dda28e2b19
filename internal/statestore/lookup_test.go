package statestore_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
)

// endedJobs is a state service that has the final record of every job, and no live one.
type endedJobs struct{}

func (endedJobs) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(3 * time.Millisecond)
	answer := httptest.NewRecorder()
	key, final := strings.CutPrefix(r.URL.Path, "/store/final/")
	if !final {
		http.Error(answer, `{"ledger":7}`, http.StatusNotFound)
		return answer.Result(), nil
	}
	_, err := fmt.Fprintf(answer, `{"path":"final/%s","data":{"stage":"done"},"stamp":7}`, key)
	return answer.Result(), err
}

// refusing is a state service that refuses this controller alone.
type refusing struct{}

func (refusing) RoundTrip(*http.Request) (*http.Response, error) {
	answer := httptest.NewRecorder()
	http.Error(answer, "{}", http.StatusServiceUnavailable)
	return answer.Result(), nil
}

// peerRelay relays through a peer that reaches the state service.
type peerRelay struct{ peer *statestore.Client }

func (peerRelay) Ready() bool { return true }

func (r peerRelay) Forward(ctx context.Context, req statestore.RelayedRequest) (*statestore.RelayedResponse, error) {
	return r.peer.ServeRelayed(ctx, req)
}

// newClient returns a client of the service, with the limits of a deployment.
func newClient(service http.RoundTripper) *statestore.Client {
	client := statestore.New("state", 180, 70, 48)
	client.SetTransport(service)
	return client
}

// Jobs that ended under an earlier leader are known to the state service only, which every poll for them reads.
func TestEndedJobsAreNotForgottenWhileLookupsAreLimited(t *testing.T) {
	for name, connect := range map[string]func() *statestore.Client{
		"direct": func() *statestore.Client { return newClient(endedJobs{}) },
		"relayed": func() *statestore.Client {
			client := newClient(refusing{})
			client.SetRelay(peerRelay{newClient(endedJobs{})}, slog.New(slog.DiscardHandler))
			return client
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { pollEndedJobs(t, connect()) })
		})
	}
}

// pollEndedJobs polls for ended jobs as users do, and expects an answer for each in time.
func pollEndedJobs(t *testing.T, client *statestore.Client) {
	const (
		users        = 400
		pollInterval = 5 * time.Second
		pollTimeout  = 1500 * time.Millisecond
		limit        = 75 * time.Second
	)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	var polling sync.WaitGroup
	var unanswered atomic.Int64
	for user := range users {
		polling.Go(func() {
			time.Sleep(rand.N(pollInterval))
			for ctx.Err() == nil {
				pollCtx, cancel := context.WithTimeout(statestore.WithPriority(ctx, statestore.Lookup), pollTimeout)
				state, err := scheduler.ReadStoredState(pollCtx, client, fmt.Sprintf("j-%d", user))
				cancel()
				if err == nil && state.Stage == "done" {
					return
				}
				time.Sleep(pollInterval)
			}
			unanswered.Add(1)
		})
	}
	polling.Wait()
	if n := unanswered.Load(); n > 0 {
		t.Errorf("%d of %d jobs got no answer for %v", n, users, limit)
	}
}
