package statestore

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// renewalHedgeDelay is the time without a direct response after which a renewal is sent through a peer
// as well. The service usually responds in under 10 ms.
const renewalHedgeDelay = 300 * time.Millisecond

// renewalPathSuffix ends the path of each renewal.
const renewalPathSuffix = "/touch"

// renewalTransport sends renewals of leases over connections that no other request uses.
type renewalTransport struct {
	renewals, others http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t renewalTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if isRenewal(r.URL.Path) {
		return t.renewals.RoundTrip(r)
	}
	return t.others.RoundTrip(r)
}

// RenewLease renews a lease. If the lease has ended, the error is ErrNotFound. A renewal is always sent
// directly, and through a peer as well if the direct link is lost or does not respond in time. The
// first success is returned, so that neither a slow link nor a slow peer costs the lease.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	c.budget.requests.Allow()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // the other route's request is no longer needed
	request := RelayedRequest{Method: http.MethodPost, Path: "/grants/" + strconv.FormatUint(lease, 10) + renewalPathSuffix}
	results := make(chan error, 2) // one for each route
	go func() { results <- c.renewDirectly(ctx, request) }()
	hedge := time.NewTimer(c.renewalHedgeDelay())
	defer hedge.Stop()
	select {
	case err := <-results:
		if renewalDecided(err) || !c.route.relayUsable() {
			return err
		}
		return c.renewThroughPeer(ctx, request)
	case <-hedge.C:
	}
	if !c.route.relayUsable() {
		return <-results
	}
	go func() { results <- c.renewThroughPeer(ctx, request) }()
	if err := <-results; renewalDecided(err) {
		return err
	}
	return <-results
}

// renewalHedgeDelay returns the time after which a renewal without a response is sent through a peer as
// well: at once while the direct link is lost.
func (c *Client) renewalHedgeDelay() time.Duration {
	if c.UsesRelay() {
		return 0
	}
	return renewalHedgeDelay
}

// renewalDecided reports whether the result of a renewal over one route makes the other route useless.
// If the service is over its limits, it refuses a peer's request too.
func renewalDecided(err error) bool {
	return err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, ErrBusy)
}

func (c *Client) renewDirectly(ctx context.Context, request RelayedRequest) error {
	status, data, err := c.roundTripWithStallDetector(ctx, request)
	return renewalError(request, status, data, err)
}

func (c *Client) renewThroughPeer(ctx context.Context, request RelayedRequest) error {
	status, data, err := c.sendViaPeer(ctx, request)
	if err = renewalError(request, status, data, err); err == nil {
		c.switchToFasterPeer()
	}
	return err
}

// renewalError returns the error for the response to a renewal, or nil.
func renewalError(request RelayedRequest, status int, data []byte, err error) error {
	if err != nil {
		return err
	}
	outgoing := call{method: request.Method, path: request.Path}
	return leaseError(status, outgoing.decode(status, data))
}

// isRenewal reports whether a path is that of a lease's renewal.
func isRenewal(path string) bool { return strings.HasSuffix(path, renewalPathSuffix) }
