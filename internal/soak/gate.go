package soak

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	maxGateBodyBytes = 1 << 20
	minLateWrite     = 2 * time.Second // by which a late transaction is applied late
	maxLateWrite     = 8 * time.Second
	maxSlowAnswer    = 900 * time.Millisecond
)

// gate stands between one controller and the state service. While a fault is active, it applies
// the fault to the controller's requests. It is safe for concurrent use.
type gate struct {
	service http.Handler
	served  http.Handler // service, or a wrapper of it that repeats requests

	mu     sync.Mutex
	active map[FaultKind]int // number of active faults by kind
	late   sync.WaitGroup    // transactions to be applied late
}

func newGate(service http.Handler) *gate {
	return &gate{service: service, served: service, active: map[FaultKind]int{}}
}

// repeatRequests has some of the answered requests repeated, except watches. Call it before the first
// request.
func (g *gate) repeatRequests(r *repeater) {
	g.served = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		serveCopy := g.copyOf(request)
		g.service.ServeHTTP(w, request)
		r.answered(serveCopy)
	})
}

// copyOf reads a request's body, which it replaces, and returns a function that has the service carry
// out a copy of the request without an answer.
func (g *gate) copyOf(request *http.Request) (serve func()) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxGateBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	ctx := context.WithoutCancel(request.Context())
	return func() {
		again := request.Clone(ctx)
		again.Body = io.NopCloser(bytes.NewReader(body))
		g.service.ServeHTTP(httptest.NewRecorder(), again)
	}
}

// begin begins a fault, and end ends it. Faults of one kind may overlap.
func (g *gate) begin(kind FaultKind) { g.add(kind, 1) }
func (g *gate) end(kind FaultKind)   { g.add(kind, -1) }

func (g *gate) add(kind FaultKind, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active[kind] += n
}

func (g *gate) isActive(kind FaultKind) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active[kind] > 0
}

func (g *gate) refuses() bool { return g.isActive(StateOutage) || g.isActive(StateRefuses) }

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.refuses() {
		httpjson.Write(w, http.StatusServiceUnavailable, wire.Problem{Error: "trouble"})
		return
	}
	if g.isActive(StateSlow) && !strings.HasPrefix(r.URL.Path, "/follow") {
		time.Sleep(rand.N(maxSlowAnswer))
	}
	isTxn := r.URL.Path == "/txn"
	switch {
	case strings.HasPrefix(r.URL.Path, "/follow"):
		g.serveWatch(w, r)
	case isTxn && g.isActive(StateApplyLate):
		g.applyLate(r)
	case isTxn && g.isActive(StateLoses):
		g.service.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler) // closes the connection without an answer
	default:
		g.served.ServeHTTP(w, r)
	}
}

// serveWatch serves a watch, and holds its answer as long as requests are refused.
func (g *gate) serveWatch(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	g.service.ServeHTTP(answer, r)
	for g.refuses() && r.Context().Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	w.Header().Set("Content-Type", answer.Header().Get("Content-Type"))
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // a controller that has gone gets no answer
}

// applyLate has a transaction applied later, and closes the connection without an answer after the
// controller has given up, or after maxLateWrite.
func (g *gate) applyLate(r *http.Request) {
	serveCopy := g.copyOf(r)
	g.late.Go(func() {
		time.Sleep(minLateWrite + rand.N(maxLateWrite-minLateWrite))
		serveCopy()
	})
	select {
	case <-r.Context().Done():
	case <-time.After(maxLateWrite):
	}
	panic(http.ErrAbortHandler)
}

// close waits until all late transactions were applied.
func (g *gate) close() { g.late.Wait() }
