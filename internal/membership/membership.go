// Package membership maintains a controller's lease in the state service, its fencing token
// and the shards it leads.
//
// An incarnation of a controller holds one lease. The keys of its registration and of the
// shards it leads are attached to the lease, so that all of them are deleted when it ends. A
// Member claims free shards up to its share, releases those beyond it, transfers shards to a
// peer on request, and watches the records of all controllers. It also draws fencing tokens
// from the common counter, and reserves some for outages of the state service.
//
// It does not read or write jobs. Code that writes jobs makes each write conditional on the
// version of the shard's key.
package membership

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/wire"
)

// txnTimeout bounds the transactions on shards. An outcome that is unknown by then is settled
// by reading the keys after a claim, and by writing them again after a release or a transfer.
const txnTimeout = 2 * time.Second

// Store is the part of the state service's client that membership uses. Its errors are those
// of package statestore.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, hold time.Duration, reset func([]wire.Item), change func([]wire.Event))
}

// Member represents this controller among the others. Its methods may be called concurrently,
// except those that register callbacks.
type Member struct {
	store  Store
	name   string
	ttl    time.Duration // of the lease
	shards int           // total number
	spread int           // number of controllers that the shards are spread over
	log    *slog.Logger
	wake   chan struct{} // makes runIncarnation check the shards again

	tokenLock      chan struct{} // holds a value while the fencing token is being changed: one change at a time
	raiseRefusedAt time.Time     // when RaiseTokenAbove last failed with statestore.ErrUnavailable; guarded by tokenLock

	mu                   sync.Mutex
	lease                uint64    // 0: none
	renewalSentAt        time.Time // when the last successful renewal was sent
	token                uint64
	reservedTokens       []uint64 // the lowest first
	highestFirstReserve  uint64   // highest token known to be reserved by a controller that had no other reserved one
	highestTokenInUse    uint64   // as far as this controller knows
	nodes                map[string]nodeRecord
	leaders              map[int]shardRecord
	claimed              map[int]uint64 // shards led here, with the versions of their keys
	newestVersions       map[int]uint64 // highest known version of each shard's key; older records are out of date
	listed               bool           // the watch has listed the records at least once
	joinedToken          uint64         // the fencing token of this incarnation's registration
	lastAttemptLease     uint64         // lease of the last attempt to join
	shortIncarnations    int            // consecutive, before this one
	freedAt              map[int]time.Time
	leftAt               map[string]time.Time
	leftUnstable         map[string]bool // whether a controller that left was unstable
	pending              map[int]uint64  // shards given up by a transaction of unknown outcome, with the versions that it replaces
	transferInFlight     bool            // a transfer's outcome is not known yet
	transfers            transfersRecord
	reservedAt           time.Time // when a token was last reserved
	leadershipCallbacks  []func()
	onLinkAnnouncement   func(value json.RawMessage)
	reservationsInFlight sync.WaitGroup
}

// New returns a member that has not joined yet. ttl is the time to live of its
// lease, shards the number of shards, and spread the number of controllers that the shards are spread over.
func New(store Store, name string, ttl time.Duration, shards, spread int, log *slog.Logger) *Member {
	return &Member{
		store: store, name: name, ttl: ttl, shards: shards, spread: spread, log: log,
		wake: make(chan struct{}, 1), tokenLock: make(chan struct{}, 1),
		nodes: map[string]nodeRecord{}, leaders: map[int]shardRecord{},
		claimed: map[int]uint64{}, newestVersions: map[int]uint64{}, pending: map[int]uint64{},
		freedAt: map[int]time.Time{}, leftAt: map[string]time.Time{}, leftUnstable: map[string]bool{},
	}
}

// OnLeadershipChange registers a callback that is called, without locks held, after this
// controller's knowledge of shards, controllers or its lease may have changed. Call
// OnLeadershipChange before Run.
func (m *Member) OnLeadershipChange(f func()) {
	m.leadershipCallbacks = append(m.leadershipCallbacks, f)
}

// OnLinkAnnouncement registers the callback for controllers' announcements of their links. It
// is called with the member's lock held and must not call the member. Call OnLinkAnnouncement
// before Run.
func (m *Member) OnLinkAnnouncement(f func(value json.RawMessage)) { m.onLinkAnnouncement = f }

// AnnounceLinks writes this controller's report on its links to a key that every controller
// with access to the state service reads. The key is deleted when the lease ends. Without a
// lease it returns an error.
func (m *Member) AnnounceLinks(ctx context.Context, value any) error {
	lease := m.currentLease()
	if lease == 0 {
		return errors.New("announce links: no lease")
	}
	if _, err := m.store.Txn(ctx, nil, wire.Op{Put: linkPrefix + m.name, Value: value, Lease: lease}); err != nil {
		return fmt.Errorf("announce links: %w", err)
	}
	return nil
}

// Name returns this controller's name.
func (m *Member) Name() string { return m.name }

func (m *Member) currentLease() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease
}

// notifyChange runs the callbacks and wakes runIncarnation. The caller must hold no lock.
func (m *Member) notifyChange() {
	for _, callback := range m.leadershipCallbacks {
		callback()
	}
	m.wakeUp()
}

func (m *Member) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
