// Package numbers gives jobs their numbers, by which Slurm's users call them. One
// counter in the state service, of which each controller takes blocks, so that no
// number is ever given twice; a key for each job, so that either name finds the
// other for ever. The task k of a job with number n is also called n+k.
package numbers

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

// Store is what numbers need of the state service.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	// Page reads at most so many keys with the prefix, in order, beyond after.
	Page(ctx context.Context, prefix, after string, limit int) (items []wire.Item, more bool, err error)
}

// Book gives out numbers.
type Book struct {
	store Store

	mu   sync.Mutex
	next uint64 // of the block in hand
	end  uint64
	top  uint64 // all numbers below were surely taken by somebody
}

// New returns a book with no numbers in hand.
func New(store Store) *Book { return &Book{store: store} }

type counter struct {
	Next uint64 `json:"next"`
}

// Take returns the first of count numbers in a row that nobody else gets, of the
// block in hand: cheap, but in no order with those of other controllers.
func (b *Book) Take(ctx context.Context, count int) (uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := uint64(max(1, count))
	if b.end-b.next < n || b.next == 0 {
		first, err := b.reserve(ctx, max(block, n))
		if err != nil {
			return 0, err
		}
		b.next, b.end = first, first+max(block, n)
	}
	first := b.next
	b.next += n
	return first, nil
}

// Next is Take from the counter itself: numbers grow in the order of the answers,
// at a write each.
func (b *Book) Next(ctx context.Context, count int) (uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserve(ctx, uint64(max(1, count)))
}

// reserve moves the counter on.
func (b *Book) reserve(ctx context.Context, n uint64) (uint64, error) {
	for range tries {
		c, version, err := b.read(ctx)
		if err != nil {
			return 0, err
		}
		up := c.Next + n
		_, err = b.store.Txn(ctx, []wire.Guard{{Key: counterKey, Version: version}}, wire.Op{Put: counterKey, Value: counter{up}})
		var conflict *statestore.Conflict
		switch {
		case err == nil:
			b.top = max(b.top, up)
			return c.Next, nil
		case errors.As(err, &conflict), errors.Is(err, statestore.ErrUnknown):
			// Another took them, or perhaps this one: these stay unused.
		default:
			return 0, err
		}
	}
	return 0, fmt.Errorf("no numbers: %w", statestore.ErrUnavailable)
}

func (b *Book) read(ctx context.Context) (counter, uint64, error) {
	c := counter{Next: 1}
	it, err := b.store.Get(ctx, counterKey)
	if errors.Is(err, statestore.ErrNotFound) {
		return c, 0, nil
	}
	if err != nil {
		return c, 0, err
	}
	if err := json.Unmarshal(it.Value, &c); err != nil {
		return c, 0, fmt.Errorf("counter of numbers: %w", err)
	}
	b.top = max(b.top, c.Next)
	return c, it.Version, nil
}

// Given reports whether the numbers were taken by somebody: a client may name only
// such.
func (b *Book) Given(ctx context.Context, first uint64, count int) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := first + uint64(max(1, count))
	if first == 0 || last < first {
		return false, nil
	}
	if last > b.top {
		if _, _, err := b.read(ctx); err != nil {
			return false, err
		}
	}
	return last <= b.top, nil
}

// Job is what a number says.
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
func (b *Book) Find(ctx context.Context, n uint64) (Job, error) {
	var j Job
	if n == 0 || n >= 1e14 {
		return j, statestore.ErrNotFound
	}
	items, _, err := b.store.Page(ctx, key, keyOf(n-1), 1)
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
