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
	maxRelayedResponse  = 3 << 20  // bytes of a response that a peer passes back
	maxResponse = 32 << 20 // bytes that are read of a response
)

// RelayedRequest is a request to the state service that a peer passes on, within its own
// budget, and never further.
type RelayedRequest struct {
	Method   string        `json:"method"`
	Path     string        `json:"path"`
	Body     []byte        `json:"body,omitempty"`
	Writes   int           `json:"writes,omitempty"` // puts and deletes in it
	Priority PriorityClass `json:"lane,omitempty"`
}

// RelayedResponse is the service's response to it.
type RelayedResponse struct {
	Status int    `json:"status"`
	Body   []byte `json:"body,omitempty"`
}

// Relay carries requests by way of a peer that reaches the state service.
type Relay interface {
	// Ready reports whether there is such a peer.
	Ready() bool
	// Forward has a request made. With an error it is not known whether it was, unless
	// that is ErrUnavailable.
	Forward(ctx context.Context, req RelayedRequest) (*RelayedResponse, error)
}

// ServeRelayed makes a request for a peer, within this controller's budget: leases first,
// and never by another peer. With an error it is not known whether it was made; when it
// surely was not, the response's status is 503.
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
		// Only a watch's response has no bound: one that is too far behind lists anew.
		return &RelayedResponse{Status: http.StatusGone}, nil
	}
	return &RelayedResponse{Status: status, Body: body}, nil
}

// roundTrip makes one request directly.
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
	defer func() { _ = response.Body.Close() }() // all that matters was read
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	switch response.StatusCode {
	case http.StatusTooManyRequests:
		c.budget.cutRate()
	case http.StatusServiceUnavailable, http.StatusUnauthorized:
	default:
		c.lastSuccess.Store(int64(time.Since(c.start)))
	}
	return response.StatusCode, data, nil
}

// send makes a request, directly or by a peer. A request that may have been made is
// never made again here, unless making it twice changes nothing.
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
	if c.SinceLastSuccess() >= stallTimeout {
		c.route.switchToRelay("no connection")
	}
	if !c.UsesRelay() || !idempotent(&r) {
		return status, data, err
	}
	return c.sendViaPeer(ctx, r)
}

// roundTripWithStallDetector makes one request directly, and finds out if its link is lost
// meanwhile. A watch has no response for long without that.
func (c *Client) roundTripWithStallDetector(ctx context.Context, r RelayedRequest) (int, []byte, error) {
	if c.route.relay != nil && !strings.HasPrefix(r.Path, "/follow") {
		stall := c.startStallDetector()
		defer stall.stop()
	}
	return c.roundTrip(ctx, r)
}

// retryViaPeer makes a request by a peer that was refused directly: it was surely not
// made, and perhaps refused to this controller alone.
func (c *Client) retryViaPeer(ctx context.Context, r RelayedRequest, status int, data []byte) (int, []byte, error) {
	if !c.route.relayUsable() {
		return status, data, nil
	}
	status, data, err := c.sendViaPeer(ctx, r)
	if err == nil && status != http.StatusServiceUnavailable {
		c.route.switchToRelay("refused")
	}
	return status, data, err // without a response it may have been made
}

// idempotent reports whether to make a request twice is like making it once.
func idempotent(r *RelayedRequest) bool {
	return r.Method == http.MethodGet || strings.HasSuffix(r.Path, "/touch")
}

// sendViaPeer has a peer make a request.
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
