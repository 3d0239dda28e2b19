package soak

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// newGateServer returns a gate in front of a service that counts the transactions it carries out.
func newGateServer(t *testing.T) (*gate, string, *atomic.Int64) {
	t.Helper()
	var applied atomic.Int64
	g := newGate(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/txn" {
			applied.Add(1)
		}
		w.WriteHeader(http.StatusOK)
	}))
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	t.Cleanup(g.close)
	return g, server.URL, &applied
}

// post sends a transaction and returns the status; 0: no answer.
func post(url string) int {
	client := &http.Client{Transport: &http.Transport{}, Timeout: time.Second}
	response, err := client.Post(url+"/txn", "application/json", strings.NewReader("{}"))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func TestGateFaults(t *testing.T) {
	for _, c := range []struct {
		kind    FaultKind
		status  int
		applied int64 // at once
	}{
		{StateOutage, http.StatusServiceUnavailable, 0},
		{StateRefuses, http.StatusServiceUnavailable, 0},
		{StateSlow, http.StatusOK, 1},
		{StateLoses, 0, 1},
		{StateApplyLate, 0, 0},
	} {
		g, url, applied := newGateServer(t)
		g.begin(c.kind)
		g.begin(c.kind)
		g.end(c.kind) // of two faults at once
		if status := post(url); status != c.status || applied.Load() != c.applied {
			t.Errorf("%s: status %d, %d applied; want %d, %d", c.kind, status, applied.Load(), c.status, c.applied)
		}
		g.end(c.kind)
		if status := post(url); status != http.StatusOK {
			t.Errorf("after %s: status %d", c.kind, status)
		}
		if g.close(); applied.Load() != c.applied+1 && c.kind != StateApplyLate || c.kind == StateApplyLate && applied.Load() != 2 {
			t.Errorf("%s: %d transactions were applied in the end", c.kind, applied.Load())
		}
	}
}
