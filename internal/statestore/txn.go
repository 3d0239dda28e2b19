package statestore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// Txn applies all ops if every guard holds, and returns the revision. If a guard fails, the
// error is a *ConflictError. After ErrUnknown the ops may have been applied or may still be
// applied; after any other error they were not. The response counts as lost after a time
// that follows the times of recent responses, even if ctx lasts longer.
func (c *Client) Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error) {
	if err := c.budget.wait(ctx, priorityOf(ctx)); err != nil {
		return 0, err
	}
	if err := c.budget.waitWrites(ctx, priorityOf(ctx), len(ops)); err != nil {
		return 0, err
	}
	var response wire.TxnResponse
	limited, cancel := context.WithTimeout(ctx, c.timeout.current())
	defer cancel()
	sent := time.Now()
	status, err := c.do(limited, call{
		method: http.MethodPost, path: "/txn", writes: len(ops),
		body: wire.Txn{If: guards, Then: ops}, out: &response,
	})
	if ctx.Err() == nil { // otherwise the caller gave up first
		c.recordResponse(err, time.Since(sent))
	}
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusConflict:
		return 0, newConflictError(guards, response.Failed)
	case status != http.StatusOK:
		return 0, &StatusError{Status: status, Err: ErrUnknown}
	case len(ops) > 0 && response.Revision == 0:
		return 0, fmt.Errorf("%w: applied, as of no revision", ErrUnknown)
	}
	return response.Revision, nil
}

// newConflictError returns the error of a transaction whose conditions on keys failed. A
// response that names a key without a condition belongs to another transaction.
func newConflictError(guards []wire.Guard, keys []string) error {
	for _, key := range keys {
		if !slices.ContainsFunc(guards, func(guard wire.Guard) bool { return guard.Key == key }) {
			return fmt.Errorf("%w: a conflict over %q, which was no condition", ErrUnknown, key)
		}
	}
	if len(keys) == 0 {
		return fmt.Errorf("%w: a conflict over nothing", ErrUnknown)
	}
	return &ConflictError{Keys: keys}
}

// recordResponse records the time that a transaction's response took, or a lost response if err is
// ErrUnknown.
func (c *Client) recordResponse(err error, took time.Duration) {
	if errors.Is(err, ErrUnknown) {
		c.timeout.recordMiss()
		return
	}
	c.timeout.recordResponse(took)
}

// BulkTxn is Txn for writes that must not delay others. It first waits for the bulk part of the
// budget, and returns ErrUnavailable if ctx ends before that allows the writes.
func (c *Client) BulkTxn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error) {
	if err := c.budget.bulk.WaitN(ctx, max(1, len(ops))); err != nil {
		return 0, ErrUnavailable // ctx ends before the limiter allows the writes
	}
	return c.Txn(ctx, guards, ops...)
}
