// Package standin implements local replacements for the services that a site depends on, by their
// protocols: the state service and the cloud, with optional rate limits, and the store of task
// descriptions. A whole site can thus run on one machine.
//
// The records are stored in one database on disk, or only in memory. With a database, a change is
// durable before it is confirmed. The package has no access control and no replication. It starts no
// workers itself: a Launcher starts them.
package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/goccy/go-json"
	"go.etcd.io/bbolt"

	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	maxRetainedEvents = 10_000 // available to watches; older ones are dropped
	expiryInterval    = 50 * time.Millisecond
)

// item is the record of a key, in memory and on disk.
type item struct {
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"s"`
	Lease   uint64          `json:"l,omitempty"`
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// State is the state service. If there is a database, changes are on disk before they are
// confirmed. It is safe for concurrent use.
type State struct {
	db            *bbolt.DB
	maxOps        int
	maxValueBytes int // maximum size of a value

	mu          sync.Mutex
	items       map[string]item
	keys        []string // of items, sorted
	leases      map[uint64]*lease
	revision    uint64
	lastLeaseID uint64 // highest lease id granted
	events      []wire.Event
	changed     chan struct{} // closed and replaced at every change
}

// OpenState loads the records in db. Every lease starts again with its full TTL, as after an
// outage. If db is nil, the records are kept in memory only. A transaction may have at most
// maxTxnOps changes and four times as many conditions. A value may have at most valueKB KiB. The
// caller closes db after the last request has ended and ExpireLeases has returned.
func OpenState(db *bbolt.DB, maxTxnOps int, valueKB float64) (*State, error) {
	s := &State{
		db: db, maxOps: maxTxnOps, maxValueBytes: int(valueKB * 1024),
		items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}),
	}
	if err := update(db, s.load); err != nil {
		return nil, fmt.Errorf("state records: %w", err)
	}
	return s, nil
}

// load loads the records of an earlier run.
func (s *State) load(tx *bbolt.Tx) error {
	if err := createBuckets(tx, itemsBucket, leasesBucket, metaBucket); err != nil {
		return err
	}
	meta := tx.Bucket(metaBucket)
	s.revision, s.lastLeaseID = parseNumber(meta.Get(revisionKey)), parseNumber(meta.Get(nextLeaseKey))
	if err := tx.Bucket(leasesBucket).ForEach(func(id, ttlMs []byte) error {
		ttl := time.Duration(parseNumber(ttlMs)) * time.Millisecond
		s.leases[parseNumber(id)] = &lease{ttl, time.Now().Add(ttl)}
		return nil
	}); err != nil {
		return err
	}
	return tx.Bucket(itemsBucket).ForEach(func(key, data []byte) error {
		var it item
		if err := json.Unmarshal(data, &it); err != nil {
			return fmt.Errorf("record %s: %w", key, err)
		}
		s.items[string(key)] = it
		s.keys = append(s.keys, string(key))
		return nil
	})
}

// ExpireLeases revokes expired leases until ctx ends.
func (s *State) ExpireLeases(ctx context.Context) {
	_ = periodic.Run(ctx, expiryInterval, s.revokeExpiredLeases) // returns when ctx ends
}

// RestartLeases gives every lease its full TTL again, as at the end of an outage.
func (s *State) RestartLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.expiresAt = time.Now().Add(l.ttl)
	}
}

// revokeExpiredLeases revokes the leases that were not renewed in time.
func (s *State) revokeExpiredLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			_ = s.revokeLeaseLocked(id) // retried at the next tick
		}
	}
}

// grantLeaseLocked grants a lease and returns its id. Ids are never reused.
func (s *State) grantLeaseLocked(ttlMs int64) (uint64, error) {
	ttl := time.Duration(ttlMs) * time.Millisecond
	id := s.lastLeaseID + 1
	if err := s.commitLocked(nil, func(tx *bbolt.Tx) error {
		if err := tx.Bucket(metaBucket).Put(nextLeaseKey, formatNumber(id)); err != nil {
			return err
		}
		return tx.Bucket(leasesBucket).Put(formatNumber(id), formatNumber(uint64(ttlMs)))
	}); err != nil {
		return 0, err
	}
	s.lastLeaseID, s.leases[id] = id, &lease{ttl, time.Now().Add(ttl)}
	return id, nil
}

// revokeLeaseLocked revokes a lease and deletes the keys attached to it.
func (s *State) revokeLeaseLocked(id uint64) error {
	var deletes []wire.Op
	for _, key := range s.keys {
		if s.items[key].Lease == id {
			deletes = append(deletes, wire.Op{Delete: key})
		}
	}
	if err := s.commitLocked(deletes, func(tx *bbolt.Tx) error { return tx.Bucket(leasesBucket).Delete(formatNumber(id)) }); err != nil {
		return err
	}
	delete(s.leases, id)
	return nil
}

// commitLocked commits changes to the database, in one transaction with alsoStore, and then makes
// them visible. If there are changes, the revision increases by one. After an error nothing has
// changed.
func (s *State) commitLocked(ops []wire.Op, alsoStore func(*bbolt.Tx) error) error {
	revision := s.revision
	if len(ops) > 0 {
		revision++
	}
	values := make([]json.RawMessage, len(ops))
	for i, op := range ops {
		if op.Delete != "" {
			continue
		}
		var err error
		if values[i], err = json.Marshal(op.Value); err != nil {
			return err
		}
	}
	if err := update(s.db, func(tx *bbolt.Tx) error {
		if err := storeItems(tx, ops, values, revision); err != nil {
			return err
		}
		if alsoStore != nil {
			if err := alsoStore(tx); err != nil {
				return err
			}
		}
		return tx.Bucket(metaBucket).Put(revisionKey, formatNumber(revision))
	}); err != nil {
		return err
	}
	s.revision = revision
	s.applyLocked(ops, values)
	return nil
}

// storeItems stores changes in the database.
func storeItems(tx *bbolt.Tx, ops []wire.Op, values []json.RawMessage, revision uint64) error {
	items := tx.Bucket(itemsBucket)
	for i, op := range ops {
		if op.Delete != "" {
			if err := items.Delete([]byte(op.Delete)); err != nil {
				return err
			}
			continue
		}
		if err := putJSON(tx, itemsBucket, op.Put, item{values[i], revision, op.Lease}); err != nil {
			return err
		}
	}
	return nil
}

// applyLocked makes the changes of the current revision visible to reads and watches.
func (s *State) applyLocked(ops []wire.Op, values []json.RawMessage) {
	for i, op := range ops {
		key := op.Put + op.Delete // exactly one of them is not empty
		at, exists := slices.BinarySearch(s.keys, key)
		if op.Delete != "" {
			if exists {
				s.keys = slices.Delete(s.keys, at, at+1)
				delete(s.items, key)
				s.events = append(s.events, wire.Event{Delete: key, Version: s.revision})
			}
			continue
		}
		if !exists {
			s.keys = slices.Insert(s.keys, at, key)
		}
		s.items[key] = item{values[i], s.revision, op.Lease}
		s.events = append(s.events, wire.Event{Put: key, Value: values[i], Version: s.revision})
	}
	if over := len(s.events) - maxRetainedEvents; over > 0 {
		s.events = slices.Delete(s.events, 0, over)
	}
	if len(ops) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}
