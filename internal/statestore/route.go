package statestore

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/periodic"
)

const (
	// stallTimeout is how long the service may give no response, to any request, before
	// its link counts as lost while a peer reaches it. Responses usually take under
	// 10 ms, and now and then a few hundred.
	stallTimeout = 600 * time.Millisecond
	// probeInterval is the time between probes of a lost link.
	probeInterval = time.Second
	// minProbes must succeed in a row; each loss soon after the last doubles them,
	// so that a flapping link is left alone for longer.
	minProbes     = 2
	maxProbes = 32
	flapWindow       = time.Minute
	// probePath is read to find out whether a lost link works; it need not exist.
	probePath = "/store/c/term"
)

// route is whether requests go to the service directly or by a peer. The zero value is
// direct, for ever.
type route struct {
	relay Relay // nil: there is no other way
	log   *slog.Logger

	mu             sync.Mutex
	directLost           bool                        // the direct link
	probesRequired         int                         // probes in a row before the link is used again
	changedAt      time.Time                   // when it was last lost or found
	relayRefusedAt time.Time                   // when the service last refused a relayed request
	directRequests         map[*directRequest]struct{} // under way
}

// directRequest is a request to the service itself; cancel ends it.
type directRequest struct{ cancel context.CancelFunc }

// SetRelay sets the way by a peer, for when the link to the service is lost here alone.
// Call it before the first request; Run must run.
func (c *Client) SetRelay(relay Relay, log *slog.Logger) {
	c.route.relay, c.route.log = relay, log
	c.route.directRequests = map[*directRequest]struct{}{}
}

// UsesRelay reports whether requests go by a peer at present.
func (c *Client) UsesRelay() bool {
	c.route.mu.Lock()
	defer c.route.mu.Unlock()
	return c.route.directLost
}

// startDirect returns a context for a request that goes to the service directly: it
// ends when that link is found lost. ok is false while it is.
func (r *route) startDirect(ctx context.Context) (_ context.Context, end func(), ok bool) {
	if r.relay == nil {
		return ctx, func() {}, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.directLost {
		return ctx, func() {}, false
	}
	ctx, cancel := context.WithCancel(ctx)
	request := &directRequest{cancel: cancel}
	r.directRequests[request] = struct{}{}
	return ctx, func() { r.endDirect(request) }, true
}

func (r *route) endDirect(request *directRequest) {
	r.mu.Lock()
	delete(r.directRequests, request)
	r.mu.Unlock()
	request.cancel()
}

// relayUsable reports whether there is a peer to go by whose requests were not refused
// just now: in an outage the peers are refused too, and must not be kept busy.
func (r *route) relayUsable() bool {
	if r.relay == nil || !r.relay.Ready() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.relayRefusedAt) >= probeInterval
}

// switchToRelay has requests go by a peer from now on, and reports whether there is one.
func (r *route) switchToRelay(reason string) bool {
	if !r.relayUsable() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.directLost {
		return true
	}
	r.probesRequired = min(maxProbes, 2*max(1, r.probesRequired))
	if time.Since(r.changedAt) > flapWindow {
		r.probesRequired = minProbes
	}
	r.directLost, r.changedAt = true, time.Now()
	for request := range r.directRequests {
		request.cancel()
	}
	r.log.Info("state service relayed by peer", "reason", reason)
	return true
}

// switchToDirect has requests go directly again.
func (r *route) switchToDirect(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.directLost {
		return
	}
	r.directLost, r.changedAt = false, time.Now()
	r.log.Info("state service reached directly again", "reason", reason)
}

func (r *route) requiredProbes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.probesRequired
}

// Run probes a lost link until ctx ends, and returns ctx's error.
func (c *Client) Run(ctx context.Context) error {
	succeeded := 0 // in a row
	return periodic.Run(ctx, probeInterval, func() {
		if !c.UsesRelay() || !c.probe(ctx) {
			succeeded = 0
			return
		}
		if succeeded++; succeeded >= c.route.requiredProbes() {
			succeeded = 0
			c.route.switchToDirect("probes succeed")
		}
	})
}

// probe reports whether the service responds directly.
func (c *Client) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	status, _, err := c.roundTrip(ctx, RelayedRequest{Method: http.MethodGet, Path: probePath})
	return err == nil && status < http.StatusInternalServerError && status != http.StatusTooManyRequests
}

// stallDetector finds out that a request gets no response, nor any other one does: then
// the link is lost. Stop it when the request is over.
type stallDetector struct {
	client *Client
	sent   time.Time

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (c *Client) startStallDetector() *stallDetector {
	w := &stallDetector{client: c, sent: time.Now()}
	w.mu.Lock() // check may run before the timer is set
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(stallTimeout, w.check)
	return w
}

func (w *stallDetector) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	silence := min(time.Since(w.sent), w.client.SinceLastSuccess())
	if silence < stallTimeout || !w.client.route.switchToRelay("no response") {
		// Without a peer to go by, one may appear.
		w.timer.Reset(stallTimeout - min(silence, stallTimeout/2))
	}
}

// stop ends the watch, also if check is just about to run: it would set the timer again,
// and later take the link for lost without any request under way.
func (w *stallDetector) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
