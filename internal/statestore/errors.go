package statestore

import (
	"errors"
	"fmt"
	"slices"
)

var (
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable means that the request was not executed.
	ErrUnavailable = errors.New("state service unavailable")
	// ErrBusy is an ErrUnavailable because the budget is used up, here or at the service: more
	// requests would only make it worse.
	ErrBusy = fmt.Errorf("%w: too many requests", ErrUnavailable)
	// ErrUnknown means that the request may have been executed or may still be executed.
	ErrUnknown = errors.New("no answer from the state service")
	// ErrNoLease means that a write was to be attached to a lease that has ended. Its text is
	// the state service's.
	ErrNoLease = errors.New("no such lease")
	// ErrCompacted means that a watch has fallen too far behind: the keys have to be listed
	// again.
	ErrCompacted = errors.New("watch too old")
)

// ConflictError is the error of a transaction whose conditions failed; it was not applied.
type ConflictError struct {
	Keys []string // of the conditions that failed; at least one
}

func (c *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", c.Keys) }

// Has reports whether the condition on key failed.
func (c *ConflictError) Has(key string) bool { return slices.Contains(c.Keys, key) }

// StatusError is a response with a status that the protocol does not define for the request.
type StatusError struct {
	Status int
	Err    error // ErrUnavailable or ErrUnknown: whether the request may have been executed
}

func (e *StatusError) Error() string { return fmt.Sprintf("%v: status %d", e.Err, e.Status) }

// Unwrap returns Err.
func (e *StatusError) Unwrap() error { return e.Err }

// BadRequestError is a request that the service found invalid; it was not executed, and
// never will be.
type BadRequestError struct {
	Path     string
	Response []byte
}

func (e *BadRequestError) Error() string {
	return fmt.Sprintf("state service refused %s: %.200s", e.Path, e.Response)
}
