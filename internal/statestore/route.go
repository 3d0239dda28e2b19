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
	// stallTimeout is the time without a response to any request after which the direct link is
	// compared with a peer's. Responses usually take under 10 ms, and now and then a few hundred.
	stallTimeout = 600 * time.Millisecond
	// probeInterval is the time between probes of a lost link.
	probeInterval = time.Second
	// minProbes is the number of consecutive probes that must succeed before a lost link is
	// used again. Each loss within flapWindow of the last change of route doubles that number, up
	// to maxProbes, so that a flapping link stays unused for longer.
	minProbes  = 2
	maxProbes  = 32
	flapWindow = time.Minute
	// probePath is the path that probes read; the key need not exist.
	probePath = "/store/c/term"
)

// route determines whether requests are sent to the service directly or through a peer. The
// zero value always sends them directly.
type route struct {
	relay     Relay // nil: requests are always sent directly
	log       *slog.Logger
	unchecked chan struct{} // receives a value if Run is to compare the direct link with a peer's, unless it is doing so

	mu             sync.Mutex
	directLost     bool                        // the direct link is lost
	probesRequired int                         // consecutive probes that must succeed before the direct link is used again
	changedAt      time.Time                   // when directLost last changed
	relayRefusedAt time.Time                   // when the service last refused a relayed request
	directRequests map[*directRequest]struct{} // in flight
}

// directRequest is a request sent to the service directly; cancel aborts it.
type directRequest struct{ cancel context.CancelFunc }

// SetRelay sets the relay that is used while only this controller's link to the service is
// lost. Call it before the first request. Run must be running.
func (c *Client) SetRelay(relay Relay, log *slog.Logger) {
	c.route.relay, c.route.log = relay, log
	c.route.directRequests = map[*directRequest]struct{}{}
	c.route.unchecked = make(chan struct{})
}

// UsesRelay reports whether requests are currently sent through a peer.
func (c *Client) UsesRelay() bool {
	c.route.mu.Lock()
	defer c.route.mu.Unlock()
	return c.route.directLost
}

// startDirect returns a context for a request to the service itself, which is cancelled when
// the direct link is lost, and the function to call when the request ends. ok is false while
// the link is lost.
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

// relayUsable reports whether there is a peer that can relay and the service has not refused a
// relayed request recently: in an outage it refuses the peers' requests too, and must not get
// additional load.
func (r *route) relayUsable() bool {
	if r.relay == nil || !r.relay.Ready() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.relayRefusedAt) >= probeInterval
}

// switchToRelay sends requests through a peer from now on and aborts the direct ones. It changes
// nothing if relayUsable is false. silence is the time since the last direct response.
func (r *route) switchToRelay(reason string, silence time.Duration) {
	if !r.relayUsable() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.directLost {
		return
	}
	r.probesRequired = min(maxProbes, 2*max(1, r.probesRequired))
	if time.Since(r.changedAt) > flapWindow {
		r.probesRequired = minProbes
	}
	r.directLost, r.changedAt = true, time.Now()
	for request := range r.directRequests {
		request.cancel()
	}
	r.log.Info("state service relayed by peer", "reason", reason, "silent_s", silence.Seconds())
}

// requestComparison makes Run compare the direct link with a peer's, unless it is doing so.
func (r *route) requestComparison() {
	select {
	case r.unchecked <- struct{}{}:
	default:
	}
}

// switchToDirect sends requests directly from now on.
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

// Run compares the direct link with a peer's while it is silent, and probes it while it is lost, until
// ctx ends. It returns ctx's error.
func (c *Client) Run(ctx context.Context) error {
	var comparisons sync.WaitGroup
	defer comparisons.Wait()
	comparisons.Go(func() { c.compareWhenSilent(ctx) })
	succeeded := 0 // consecutive
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

// compareWhenSilent compares the direct link with a peer's whenever a stallDetector asks for it, until ctx ends.
func (c *Client) compareWhenSilent(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.route.unchecked:
			c.compareRoutes(ctx)
		}
	}
}

// compareRoutes switches to a peer if the service responds through the peer before it responds directly.
// Silence alone does not show that the direct link is lost: the service, or this process, may be slow.
func (c *Client) compareRoutes(ctx context.Context) {
	if c.UsesRelay() || !c.route.relayUsable() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	status, _, err := c.sendViaPeer(ctx, RelayedRequest{Method: http.MethodGet, Path: probePath, Priority: Urgent})
	if err == nil && responds(status) {
		c.switchToFasterPeer()
	}
}

// switchToFasterPeer is called when the service has responded through a peer. If it has not responded
// directly for stallTimeout, requests are sent through a peer from now on.
func (c *Client) switchToFasterPeer() {
	if silence := c.SinceLastSuccess(); silence >= stallTimeout {
		c.route.switchToRelay("no response", silence)
	}
}

// probe reports whether the service responds directly.
func (c *Client) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	status, _, err := c.roundTrip(ctx, RelayedRequest{Method: http.MethodGet, Path: probePath})
	return err == nil && responds(status)
}

// responds reports whether a status is that of a service that executes requests.
func responds(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusTooManyRequests
}

// stallDetector compares the direct link with a peer's when neither its request nor any other one has
// got a response for stallTimeout, if a peer can relay. Stop it when the request ends.
type stallDetector struct {
	client *Client
	sent   time.Time

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (c *Client) startStallDetector() *stallDetector {
	d := &stallDetector{client: c, sent: time.Now()}
	d.mu.Lock() // check may run before the timer is set
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(stallTimeout, d.check)
	return d
}

func (d *stallDetector) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	silence := min(time.Since(d.sent), d.client.SinceLastSuccess())
	if silence >= stallTimeout {
		d.client.route.requestComparison()
	}
	// Check again later: the service may stop responding, or a peer that can relay may appear.
	d.timer.Reset(stallTimeout - min(silence, stallTimeout/2))
}

// stop stops the detector, even if check is about to run: otherwise check would set the timer
// again, and later regard the link as lost without a request in flight.
func (d *stallDetector) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
}
