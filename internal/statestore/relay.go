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
	maxRelayed  = 3 << 20  // bytes of a response that a peer passes back
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
	if !c.budget.admits(ctx, &req) {
		return &RelayedResponse{Status: http.StatusServiceUnavailable}, nil
	}
	status, body, err := c.exchange(ctx, req)
	if err != nil {
		return nil, err
	}
	if len(body) > maxRelayed {
		// Only a watch's response has no bound: one that is too far behind lists anew.
		return &RelayedResponse{Status: http.StatusGone}, nil
	}
	return &RelayedResponse{Status: status, Body: body}, nil
}

// exchange makes one request directly.
func (c *Client) exchange(ctx context.Context, r RelayedRequest) (int, []byte, error) {
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
		c.budget.cut()
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
		return c.sendByPeer(ctx, r)
	}
	status, data, err := c.exchangeWatched(direct, r)
	end()
	switch {
	case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusUnauthorized):
		return c.sendRefused(ctx, r, status, data)
	case err == nil || ctx.Err() != nil:
		return status, data, err
	}
	if c.SinceLastSuccess() >= stallTimeout {
		c.route.lose("no connection")
	}
	if !c.UsesRelay() || !repeatable(&r) {
		return status, data, err
	}
	return c.sendByPeer(ctx, r)
}

// exchangeWatched makes one request directly, and finds out if its link is lost
// meanwhile. A watch has no response for long without that.
func (c *Client) exchangeWatched(ctx context.Context, r RelayedRequest) (int, []byte, error) {
	if c.route.relay != nil && !strings.HasPrefix(r.Path, "/follow") {
		stall := c.watchStall()
		defer stall.stop()
	}
	return c.exchange(ctx, r)
}

// sendRefused makes a request by a peer that was refused directly: it was surely not
// made, and perhaps refused to this controller alone.
func (c *Client) sendRefused(ctx context.Context, r RelayedRequest, status int, data []byte) (int, []byte, error) {
	if !c.route.relayUseful() {
		return status, data, nil
	}
	status, data, err := c.sendByPeer(ctx, r)
	if err == nil && status != http.StatusServiceUnavailable {
		c.route.lose("refused")
	}
	return status, data, err // without a response it may have been made
}

// repeatable reports whether to make a request twice is like making it once.
func repeatable(r *RelayedRequest) bool {
	return r.Method == http.MethodGet || strings.HasSuffix(r.Path, "/touch")
}

// sendByPeer has a peer make a request.
func (c *Client) sendByPeer(ctx context.Context, r RelayedRequest) (int, []byte, error) {
	response, err := c.route.relay.Forward(ctx, r)
	if err != nil {
		if !c.route.relay.Ready() {
			c.route.find("no peer relays")
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
		c.route.find("peer is refused too")
	}
	return response.Status, response.Body, nil
}
