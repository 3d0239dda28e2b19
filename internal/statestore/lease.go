package statestore

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// GrantLease opens a lease. Requests for leases count towards the budget, but do not wait for
// it.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	c.budget.requests.Allow()
	var response wire.LeaseResponse
	status, err := c.do(ctx, call{
		method: http.MethodPost, path: "/grants",
		body: wire.LeaseRequest{TTLMs: ttl.Milliseconds()}, out: &response,
	})
	if err != nil {
		return 0, err
	}
	if status/100 != 2 || response.Lease == 0 {
		return 0, &StatusError{Status: status, Err: ErrUnknown}
	}
	return response.Lease, nil
}

// RevokeLease ends a lease. If the lease has ended already, the error is ErrNotFound.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	c.budget.requests.Allow()
	status, err := c.do(ctx, call{method: http.MethodDelete, path: "/grants/" + strconv.FormatUint(lease, 10)})
	return leaseError(status, err)
}

// leaseError returns the error for the response to a request about a lease, or nil.
func leaseError(status int, err error) error {
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return ErrNotFound
	case status/100 != 2:
		return &StatusError{Status: status, Err: ErrUnknown}
	}
	return nil
}
