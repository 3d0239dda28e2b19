package statestore_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// newSlowServiceClient returns a client of a new state service whose response to the n-th
// transaction takes delay(n).
func newSlowServiceClient(t *testing.T, delay func(n int32) time.Duration) *statestore.Client {
	t.Helper()
	var requests atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(delay(requests.Add(1))):
			_, _ = io.WriteString(w, `{"ledger":8}`)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(srv.Close)
	return statestore.New(strings.TrimPrefix(srv.URL, "http://"), 1000, 1000, 24)
}

// A transaction whose response is lost times out soon, however long its caller could wait: a
// leader repeats it, and would otherwise do nothing for two seconds before each repeat.
func TestLostResponseTimesOutSoon(t *testing.T) {
	t.Parallel()
	c := newSlowServiceClient(t, func(n int32) time.Duration {
		if n == 1 {
			return time.Minute
		}
		return 0
	})
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	start := time.Now()
	if _, err := c.Txn(ctx, nil, wire.Op{Put: "a", Value: 1}); !errors.Is(err, statestore.ErrUnknown) {
		t.Errorf("no response: %v", err)
	}
	if took := time.Since(start); took > 1500*time.Millisecond {
		t.Errorf("a lost response was waited for %v", took)
	}
	if rev, err := c.Txn(ctx, nil, wire.Op{Put: "a", Value: 1}); err != nil || rev != 8 {
		t.Errorf("repeated: %d, %v", rev, err)
	}
}

// If the service is slow, a few requests time out at first. The client then waits long enough for
// the responses: at least two of five requests succeed.
func TestSlowResponsesAreWaitedFor(t *testing.T) {
	t.Parallel()
	const slow = time.Second
	c := newSlowServiceClient(t, func(int32) time.Duration { return slow })
	succeeded := 0
	for range 5 {
		_, err := c.Txn(t.Context(), nil, wire.Op{Put: "a", Value: 1})
		switch {
		case err == nil:
			succeeded++
		case !errors.Is(err, statestore.ErrUnknown):
			t.Fatal(err)
		}
	}
	if succeeded < 2 {
		t.Errorf("%d of 5 slow responses were waited for", succeeded)
	}
}
