// Package testkit implements stand-ins for the state service and for workers, written from the
// protocol. They lose, delay and repeat messages on request, so that tests need no real cluster.
package testkit

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

type item struct {
	value   json.RawMessage
	version uint64
	lease   uint64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is an in-memory state service. All controllers of a test share one; each accesses it through
// its own View.
type Store struct {
	mu        sync.Mutex
	items     map[string]item
	leases    map[uint64]*lease
	rev       uint64
	lastLease uint64
	events    []wire.Event
	changed   chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.rev++
	for _, k := range keys {
		delete(s.items, k)
		s.events = append(s.events, wire.Event{Delete: k, Version: s.rev})
	}
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) apply(t wire.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	for _, op := range t.Then {
		if op.Put != "" && op.Lease != 0 && s.leases[op.Lease] == nil {
			return 0, statestore.ErrNoLease
		}
	}
	var failed []string
	for _, g := range t.If {
		if s.items[g.Key].version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return 0, &statestore.ConflictError{Keys: failed}
	}
	s.rev++
	for _, op := range t.Then {
		if op.Put != "" {
			data, err := json.Marshal(op.Value)
			if err != nil {
				return 0, err
			}
			s.items[op.Put] = item{data, s.rev, op.Lease}
			s.events = append(s.events, wire.Event{Put: op.Put, Value: data, Version: s.rev})
			continue
		}
		delete(s.items, op.Delete)
		s.events = append(s.events, wire.Event{Delete: op.Delete, Version: s.rev})
	}
	s.notifyWatchers()
	return s.rev, nil
}

// Keys returns the keys with a prefix, in order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	var out []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// RawValue returns a key's value as it is stored, or "" if there is none.
func (s *Store) RawValue(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].value)
}

// Set sets the function.
func (h *Hook[F]) Set(function F) { h.function.Store(&function) }

// Get returns the function, or nil if it was not set.
func (h *Hook[F]) Get() (function F) {
	if set := h.function.Load(); set != nil {
		function = *set
	}
	return function
}

func (s *Store) read(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	it, ok := s.items[key]
	return it, ok
}
