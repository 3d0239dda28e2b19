package statestore_test

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/statestore"
)

// lateReader is a state service whose responses this process reads late, since it is short of processor time.
type lateReader struct{ delay time.Duration }

func (l lateReader) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-time.After(l.delay):
	}
	answer := httptest.NewRecorder()
	if strings.HasSuffix(r.URL.Path, "/touch") {
		answer.WriteHeader(http.StatusOK)
	} else {
		http.Error(answer, `{"ledger":7}`, http.StatusNotFound)
	}
	return answer.Result(), nil
}

// saturatedPeer reaches the state service, and answers nobody in time.
type saturatedPeer struct{}

func (saturatedPeer) Ready() bool { return true }

func (saturatedPeer) Forward(ctx context.Context, _ statestore.RelayedRequest) (*statestore.RelayedResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestLeaseIsNotLostWhileThisControllerAndItsPeersAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			leaseTTL       = 5 * time.Second
			renewalTimeout = leaseTTL / 4
			renewalPause   = leaseTTL / 5
			slowFor        = 2 * time.Minute
			lateBy         = 700 * time.Millisecond
		)
		ctx, cancel := context.WithTimeout(t.Context(), slowFor)
		defer cancel()
		client := newClient(lateReader{lateBy})
		client.SetRelay(saturatedPeer{}, slog.New(slog.DiscardHandler))
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = client.Run(ctx) // the error is that of ctx
		}()
		renewed, longest := time.Now(), time.Duration(0)
		for ctx.Err() == nil {
			renewalCtx, cancelRenewal := context.WithTimeout(ctx, renewalTimeout)
			sent := time.Now()
			if err := client.RenewLease(renewalCtx, 1); err == nil {
				renewed = sent
			} else if errors.Is(err, statestore.ErrNotFound) {
				t.Fatal(err)
			}
			cancelRenewal()
			longest = max(longest, time.Since(renewed))
			time.Sleep(renewalPause)
		}
		<-done
		if longest >= leaseTTL {
			t.Errorf("%v without a renewal, of a lease of %v", longest, leaseTTL)
		}
	})
}
