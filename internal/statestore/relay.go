package statestore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	maxRelayedResponse = 3 << 20  // limit of a response that a peer passes back, in bytes
	maxResponse        = 32 << 20 // limit of a response, in bytes
)

// RelayedRequest is a request to the state service that a peer sends for this controller,
// within the peer's budget. It is never relayed further.
type RelayedRequest struct {
	Method   string        `json:"method"`
	Path     string        `json:"path"`
	Body     []byte        `json:"body,omitempty"`
	Writes   int           `json:"writes,omitempty"` // puts and deletes in it
	Priority PriorityClass `json:"lane,omitempty"`

	FurtherRead bool `json:"further,omitempty"` // of a lookup whose first read was admitted
}

// RelayedResponse is the service's response to a RelayedRequest.
type RelayedResponse struct {
	Status int    `json:"status"`
	Body   []byte `json:"body,omitempty"`
}

// Relay sends requests through a peer that reaches the state service.
type Relay interface {
	// Ready reports whether there is such a peer.
	Ready() bool
	// Forward has a peer send a request. After an error the request may have been executed,
	// unless the error is ErrUnavailable.
	Forward(ctx context.Context, req RelayedRequest) (*RelayedResponse, error)
}

// ServeRelayed sends a request for a peer, within this controller's budget: requests for
// leases are urgent, and none is relayed further. After an error the request may have been
// executed; if it certainly was not, the response's status is 503.
func (c *Client) ServeRelayed(ctx context.Context, req RelayedRequest) (*RelayedResponse, error) {
	if strings.HasPrefix(req.Path, "/grants") {
		req.Priority = Urgent
	}
	if !c.budget.admit(ctx, &req) {
		return &RelayedResponse{Status: http.StatusServiceUnavailable}, nil
	}
	status, body, err := c.roundTrip(ctx, req)
	if err != nil {
		return nil, err
	}
	if len(body) > maxRelayedResponse {
		// Only a watch's response can be this large: on this status the watch lists the keys again.
		return &RelayedResponse{Status: http.StatusGone}, nil
	}
	return &RelayedResponse{Status: status, Body: body}, nil
}

// roundTrip sends one request directly.
func (c *Client) roundTrip(ctx context.Context, r RelayedRequest) (int, []byte, error) {
	var body io.Reader
	if r.Body != nil {
		body = bytes.NewReader(r.Body)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, body)
	if err != nil {
		return 0, nil, fmt.Errorf("request %s: %w", r.Path, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	switch response.StatusCode {
	case http.StatusTooManyRequests:
		c.budget.cutRate()
		c.logRefusal()
	case http.StatusServiceUnavailable, http.StatusUnauthorized:
	default:
		c.lastSuccess.Store(int64(time.Since(c.start)))
	}
	return response.StatusCode, data, nil
}

// send sends a request, directly or through a peer. A request that may have been executed is
// not sent again, unless it is idempotent.
func (c *Client) send(ctx context.Context, r RelayedRequest) (int, []byte, error) {
	direct, end, ok := c.route.startDirect(ctx)
	if !ok {
		return c.sendViaPeer(ctx, r)
	}
	status, data, err := c.roundTripWithStallDetector(direct, r)
	end()
	switch {
	case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusUnauthorized):
		return c.retryViaPeer(ctx, r, status, data)
	case err == nil || ctx.Err() != nil:
		return status, data, err
	}
	if silence := c.SinceLastSuccess(); silence >= stallTimeout {
		c.route.switchToRelay("no connection", silence)
	}
	if !c.UsesRelay() || !idempotent(&r) {
		return status, data, err
	}
	return c.sendViaPeer(ctx, r)
}

// roundTripWithStallDetector sends one request directly. If the link is lost meanwhile, it switches
// to a peer. Watches are excluded, since they may get no response for long on a working link.
func (c *Client) roundTripWithStallDetector(ctx context.Context, r RelayedRequest) (int, []byte, error) {
	if c.route.relay != nil && !strings.HasPrefix(r.Path, "/follow") {
		stall := c.startStallDetector()
		defer stall.stop()
	}
	return c.roundTrip(ctx, r)
}

// retryViaPeer sends a request through a peer, if one can relay, after the service refused it
// directly: it was certainly not executed, and perhaps only this controller is refused.
func (c *Client) retryViaPeer(ctx context.Context, r RelayedRequest, status int, data []byte) (int, []byte, error) {
	if !c.route.relayUsable() {
		return status, data, nil
	}
	status, data, err := c.sendViaPeer(ctx, r)
	if err == nil && status != http.StatusServiceUnavailable {
		c.route.switchToRelay("refused", c.SinceLastSuccess())
	}
	return status, data, err // after an error it may have been executed
}

// idempotent reports whether sending a request twice has the same effect as sending it once.
func idempotent(r *RelayedRequest) bool {
	return r.Method == http.MethodGet || isRenewal(r.Path)
}

// sendViaPeer has a peer send a request.
func (c *Client) sendViaPeer(ctx context.Context, r RelayedRequest) (int, []byte, error) {
	response, err := c.route.relay.Forward(ctx, r)
	if err != nil {
		if !c.route.relay.Ready() {
			c.route.switchToDirect("no peer relays")
		}
		if errors.Is(err, ErrUnavailable) {
			return 0, nil, err
		}
		return 0, nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if response.Status == http.StatusServiceUnavailable {
		c.route.mu.Lock()
		c.route.relayRefusedAt = time.Now()
		c.route.mu.Unlock()
		c.route.switchToDirect("peer is refused too")
	}
	return response.Status, response.Body, nil
}
