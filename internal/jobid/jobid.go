// Package jobid allocates the numbers by which Slurm's users name jobs, and finds jobs by number.
//
// Controllers reserve blocks of numbers from one counter in the state service, so that no number is
// allocated twice. Numbers that a controller reserved and did not use stay unused. Task k of a job
// with number n has the number n+k. Each job has one key in the state service, which contains its
// last number; a range read finds the key by any of the job's numbers.
//
// The package does not write these keys. A job's key is written in the transaction that records
// the job's acceptance, so that the key exists exactly if the job does.
package jobid

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	counterKey         = "numbers"
	jobPrefix          = "number/" // prefix of a job's last number, see Find
	blockSize          = 10_000    // numbers reserved at a time; a few job arrays would exhaust a smaller block
	maxReserveAttempts = 4         // maximum number of attempts to advance the counter
	numberLimit        = 1e14      // numbers from here on have more digits than keys do, and are never allocated
)

// Store is the part of the state service that an Allocator uses.
type Store interface {
	// Get reads a key. The error is statestore.ErrNotFound if it does not exist.
	Get(ctx context.Context, key string) (wire.Item, error)
	// Txn applies ops if all guards hold, and returns the version of the written keys. If a guard
	// does not hold, the error is a *statestore.ConflictError. If it is unknown whether the ops
	// were applied, the error is statestore.ErrUnknown.
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	// Page returns up to limit keys with the prefix that follow after, in order.
	Page(ctx context.Context, prefix, after string, limit int) (items []wire.Item, more bool, err error)
}

// Allocator allocates numbers. It is safe for concurrent use.
type Allocator struct {
	store Store

	mu           sync.Mutex // held during requests to the state service, because concurrent ones would only conflict
	next         uint64     // first unallocated number of the reserved block; 0 if no block is reserved
	end          uint64     // first number after the reserved block
	allocatedEnd uint64     // all numbers below this one are known to be allocated
}

// New returns an allocator that has reserved no block yet.
func New(store Store) *Allocator { return &Allocator{store: store} }

// counter is the stored record of the counter.
type counter struct {
	Next uint64 `json:"next"`
}

// Take allocates count consecutive numbers, at least one, from the reserved block and returns the
// first. It seldom writes to the state service, but the numbers have no order across controllers.
// If the block has too few numbers, the rest of it stays unused. The error is
// statestore.ErrUnavailable if no block could be reserved, or that of the state service.
func (a *Allocator) Take(ctx context.Context, count int) (uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := numberCount(count)
	if a.end-a.next < n || a.next == 0 {
		size := max(blockSize, n)
		first, err := a.reserve(ctx, size)
		if err != nil {
			return 0, err
		}
		a.next, a.end = first, first+size
	}
	first := a.next
	a.next += n
	return first, nil
}

// Next allocates count consecutive numbers, at least one, and returns the first. Each call advances
// the counter in the state service, so numbers increase in the order of the calls across all
// controllers. Errors are as for Take.
func (a *Allocator) Next(ctx context.Context, count int) (uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserve(ctx, numberCount(count))
}

// numberCount returns how many numbers a job of the given number of tasks has.
func numberCount(tasks int) uint64 { return uint64(max(1, tasks)) }

// reserve advances the counter by n and returns the first number reserved. The caller holds mu.
func (a *Allocator) reserve(ctx context.Context, n uint64) (uint64, error) {
	for range maxReserveAttempts {
		c, version, err := a.readCounter(ctx)
		if err != nil {
			return 0, err
		}
		end := c.Next + n
		_, err = a.store.Txn(ctx, []wire.Guard{{Key: counterKey, Version: version}}, wire.Op{Put: counterKey, Value: counter{end}})
		var conflict *statestore.ConflictError
		switch {
		case err == nil:
			a.allocatedEnd = max(a.allocatedEnd, end)
			return c.Next, nil
		case errors.As(err, &conflict), errors.Is(err, statestore.ErrUnknown):
			// Another controller advanced the counter, or this one did and the response was
			// lost; then the numbers stay unused.
		default:
			return 0, fmt.Errorf("reserve numbers: %w", err)
		}
	}
	return 0, fmt.Errorf("reserve numbers: given up after %d attempts: %w", maxReserveAttempts, statestore.ErrUnavailable)
}

// readCounter reads the counter and the version of its record, 0 if there is none. The caller
// holds mu.
func (a *Allocator) readCounter(ctx context.Context) (counter, uint64, error) {
	c := counter{Next: 1}
	item, err := a.store.Get(ctx, counterKey)
	if errors.Is(err, statestore.ErrNotFound) {
		return c, 0, nil
	}
	if err != nil {
		return c, 0, fmt.Errorf("read counter of numbers: %w", err)
	}
	if err := json.Unmarshal(item.Value, &c); err != nil {
		return c, 0, fmt.Errorf("decode counter of numbers: %w", err)
	}
	a.allocatedEnd = max(a.allocatedEnd, c.Next)
	return c, item.Version, nil
}

// Allocated reports whether count consecutive numbers from first on were allocated by any
// controller. Numbers of a client that were not allocated must be rejected, since a later job
// would get the same ones.
func (a *Allocator) Allocated(ctx context.Context, first uint64, count int) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	end := first + numberCount(count)
	if first == 0 || end < first {
		return false, nil
	}
	if end > a.allocatedEnd {
		if _, _, err := a.readCounter(ctx); err != nil {
			return false, err
		}
	}
	return end <= a.allocatedEnd, nil
}

// Job is the job that a range of numbers belongs to.
type Job struct {
	UID   string `json:"uid"`
	First uint64 `json:"first"` // its first number
	Tasks int    `json:"tasks"` // number of tasks; the job has as many numbers, at least one
}

// Key returns the key that maps a job's numbers to the job. It must be written in the transaction
// that records the job's acceptance, with a guard that it does not exist yet.
func Key(first uint64, tasks int) string { return keyOfLast(first + numberCount(tasks) - 1) }

// keyOfLast returns the key of the job whose last number is n.
func keyOfLast(n uint64) string { return fmt.Sprintf("%s%014d", jobPrefix, n) }

// Find returns the job that number n belongs to. The error is statestore.ErrNotFound if there is no
// such job, or wraps that of the state service. A job's key contains its last number, so Find reads
// the first key whose number is at least n.
func (a *Allocator) Find(ctx context.Context, n uint64) (Job, error) {
	if n == 0 || n >= numberLimit {
		return Job{}, statestore.ErrNotFound
	}
	items, _, err := a.store.Page(ctx, jobPrefix, keyOfLast(n-1), 1)
	if err != nil {
		return Job{}, fmt.Errorf("find number %d: %w", n, err)
	}
	if len(items) == 0 {
		return Job{}, statestore.ErrNotFound
	}
	var job Job
	if err := json.Unmarshal(items[0].Value, &job); err != nil {
		return Job{}, fmt.Errorf("decode job of number %d: %w", n, err)
	}
	if job.First > n {
		return Job{}, statestore.ErrNotFound
	}
	return job, nil
}
