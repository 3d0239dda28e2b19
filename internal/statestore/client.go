// Package statestore is the client of the state service: keys, transactions, leases and
// watches.
//
// It keeps a controller's requests within its part of the service's budgets, leases first, and
// distinguishes three kinds of failed requests: those whose conditions failed, those that were
// not executed (ErrUnavailable), and those of unknown outcome (ErrUnknown). A response that
// does not match its request is an error. If only this controller can't reach the service, a
// peer relays its requests.
//
// It repeats no request that may have been executed, unless the request is idempotent, and
// caches nothing.
package statestore

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/wire"
)

// Client makes requests to the state service. It is safe for concurrent use.
type Client struct {
	// MaxOps is the number of operations that a transaction may have.
	MaxOps int

	base        string
	http        *http.Client
	budget      *budget
	start       time.Time
	lastSuccess atomic.Int64 // time of the last response that was not a refusal, in ns since start; 0: none
	route       route
	timeout     responseTimeout
}

// New returns a client of the service at addr (host and port) whose limits are rps
// requests and writeRPS writes a second, and maxOps operations in a transaction.
func New(addr string, rps, writeRPS float64, maxOps int) *Client {
	transport := renewalTransport{
		renewals: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute},
		others:   &http.Transport{MaxIdleConnsPerHost: 12, MaxConnsPerHost: 24, IdleConnTimeout: time.Minute},
	}
	return &Client{
		MaxOps: maxOps,
		base:   "http://" + addr, http: &http.Client{Transport: transport},
		budget: newBudget(rps, writeRPS, maxOps),
		start:  time.Now(),
	}
}

// SetLeads sets the function that reports whether this controller leads shards: a leader keeps a larger
// part of its budget when the service refuses requests. It must be called before the first request.
func (c *Client) SetLeads(leads func() bool) { c.budget.leads = leads }

// SinceLastSuccess returns the time since the service last responded, other than by a refusal,
// to a request that was sent to it directly; an hour if it never did.
func (c *Client) SinceLastSuccess() time.Duration {
	at := c.lastSuccess.Load()
	if at == 0 {
		return time.Hour
	}
	return time.Since(c.start) - time.Duration(at)
}

// call is one request and the destination of its response.
type call struct {
	method, path string
	writes       int // puts and deletes in it
	body         any // nil: none
	out          any // nil: the response's body is ignored
}

// do sends a call, directly or through a peer, and returns the response's status. Statuses
// that mean the same for every call are returned as errors.
func (c *Client) do(ctx context.Context, outgoing call) (status int, err error) {
	priority := priorityOf(ctx)
	request := RelayedRequest{
		Method: outgoing.method, Path: outgoing.path, Writes: outgoing.writes, Priority: priority.class, FurtherRead: priority.wasFurtherRead(),
	}
	if outgoing.body != nil {
		data, err := json.Marshal(outgoing.body)
		if err != nil {
			return 0, fmt.Errorf("encode %s: %w", outgoing.path, err)
		}
		request.Body = data
	}
	status, data, err := c.send(ctx, request)
	if err != nil {
		return 0, err
	}
	return status, outgoing.decode(status, data)
}

// decode reads a response's body into out, and returns errors for statuses that mean the same
// for every call.
func (c *call) decode(status int, data []byte) error {
	switch status {
	case http.StatusTooManyRequests:
		return ErrBusy
	case http.StatusServiceUnavailable, http.StatusUnauthorized:
		return ErrUnavailable
	}
	if c.out != nil && status == http.StatusOK && len(data) == 0 {
		return fmt.Errorf("%w: %s: a response without a body", ErrUnknown, c.path)
	}
	if c.out != nil && len(data) > 0 && status != http.StatusGone {
		if err := json.Unmarshal(data, c.out); err != nil {
			return fmt.Errorf("%w: malformed response: %w", ErrUnknown, err)
		}
	}
	if status != http.StatusBadRequest {
		return nil
	}
	var problem wire.Problem
	_ = json.Unmarshal(data, &problem) // without a valid body the status alone decides
	if problem.Error == ErrNoLease.Error() {
		return ErrNoLease
	}
	return &BadRequestError{Path: c.path, Response: data}
}
