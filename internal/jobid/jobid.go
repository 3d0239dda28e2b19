// Package jobid allocates the numbers by which Slurm's users name jobs. Controllers
// reserve blocks of one counter in the state service, so that no number is allocated
// twice. Each job has a key there under its last number, by which any of its numbers
// finds it. Task k of a job with number n also has the number n+k.
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
	counterKey = "numbers"
	key        = "number/" // and the last number of a job: see Find
	block      = 10_000    // numbers taken at once: a few arrays would use up less in no time
	tries      = 4
)

// Store is the part of the state service that an Allocator uses.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	// Page reads at most so many keys with the prefix, in order, beyond after.
	Page(ctx context.Context, prefix, after string, limit int) (items []wire.Item, more bool, err error)
}

// Allocator allocates numbers. It is safe for concurrent use.
type Allocator struct {
	store Store

	mu   sync.Mutex
	next uint64 // of the reserved block
	end  uint64
	top  uint64 // every number below is known to be allocated
}

// New returns an allocator that has reserved no block yet.
func New(store Store) *Allocator { return &Allocator{store: store} }

type counter struct {
	Next uint64 `json:"next"`
}

// Take allocates count consecutive numbers of the reserved block and returns the
// first: seldom a write, but in no order with those of other controllers.
func (a *Allocator) Take(ctx context.Context, count int) (uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := uint64(max(1, count))
	if a.end-a.next < n || a.next == 0 {
		first, err := a.reserve(ctx, max(block, n))
		if err != nil {
			return 0, err
		}
		a.next, a.end = first, first+max(block, n)
	}
	first := a.next
	a.next += n
	return first, nil
}

// Next allocates from the counter itself, at a write for each call: numbers grow in the
// order of the calls, over all controllers.
func (a *Allocator) Next(ctx context.Context, count int) (uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserve(ctx, uint64(max(1, count)))
}

// reserve advances the counter by n and returns the first number reserved.
func (a *Allocator) reserve(ctx context.Context, n uint64) (uint64, error) {
	for range tries {
		c, version, err := a.read(ctx)
		if err != nil {
			return 0, err
		}
		up := c.Next + n
		_, err = a.store.Txn(ctx, []wire.Guard{{Key: counterKey, Version: version}}, wire.Op{Put: counterKey, Value: counter{up}})
		var conflict *statestore.Conflict
		switch {
		case err == nil:
			a.top = max(a.top, up)
			return c.Next, nil
		case errors.As(err, &conflict), errors.Is(err, statestore.ErrUnknown):
			// Another controller took them, or this one did and lost the answer: they
			// stay unused.
		default:
			return 0, err
		}
	}
	return 0, fmt.Errorf("no numbers: %w", statestore.ErrUnavailable)
}

func (a *Allocator) read(ctx context.Context) (counter, uint64, error) {
	c := counter{Next: 1}
	it, err := a.store.Get(ctx, counterKey)
	if errors.Is(err, statestore.ErrNotFound) {
		return c, 0, nil
	}
	if err != nil {
		return c, 0, err
	}
	if err := json.Unmarshal(it.Value, &c); err != nil {
		return c, 0, fmt.Errorf("counter of numbers: %w", err)
	}
	a.top = max(a.top, c.Next)
	return c, it.Version, nil
}

// Given reports whether the numbers were allocated by any controller. A client that
// names others is refused, or a later job would get the same numbers.
func (a *Allocator) Given(ctx context.Context, first uint64, count int) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := first + uint64(max(1, count))
	if first == 0 || last < first {
		return false, nil
	}
	if last > a.top {
		if _, _, err := a.read(ctx); err != nil {
			return false, err
		}
	}
	return last <= a.top, nil
}

// Job is the job that numbers belong to.
type Job struct {
	UID   string `json:"uid"`
	First uint64 `json:"first"`
	Tasks int    `json:"tasks"`
}

// Key is the key that ties a job to its numbers; it is written along with the
// job's acceptance, if it does not exist.
func Key(first uint64, tasks int) string { return keyOf(first + uint64(max(1, tasks)) - 1) }

func keyOf(n uint64) string { return fmt.Sprintf("%s%014d", key, n) }

// Find returns the job that a number belongs to: the first key at or beyond it is
// that of the job with the next higher last number.
func (a *Allocator) Find(ctx context.Context, n uint64) (Job, error) {
	var j Job
	if n == 0 || n >= 1e14 {
		return j, statestore.ErrNotFound
	}
	items, _, err := a.store.Page(ctx, key, keyOf(n-1), 1)
	if err != nil {
		return j, err
	}
	if len(items) == 0 {
		return j, statestore.ErrNotFound
	}
	if err := json.Unmarshal(items[0].Value, &j); err != nil {
		return j, fmt.Errorf("number %d: %w", n, err)
	}
	if j.First > n {
		return j, statestore.ErrNotFound
	}
	return j, nil
}
