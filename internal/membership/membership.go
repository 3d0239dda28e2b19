// Package membership keeps a controller's lease in the state service, its
// fencing token and the shards it leads.
//
// An incarnation of a controller holds one lease. Attached to it are the key of
// its registration and the keys of the shards it leads, so that all of them go
// when the lease ends. A Member claims free shards up to its share, releases
// what it has beyond, transfers shards to a peer on request, and follows the
// records of all controllers. It also draws fencing tokens from the common
// counter, and reserves some for outages of the state service.
//
// It does not read or write jobs: whoever does guards each write by the version
// of the shard's key.
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

// txnTimeout bounds the transactions on shards: an outcome that stays unknown
// for longer is settled by writing the keys again.
const txnTimeout = 2 * time.Second

// Store is what membership needs of the state service. Its errors are those of
// package statestore.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, hold time.Duration, reset func([]wire.Item), change func([]wire.Event))
}

// Member is this controller among the others. Its methods may be called
// concurrently, but for those that register callbacks.
type Member struct {
	store  Store
	name   string
	ttl    time.Duration // of the lease
	shards int           // that there are
	spread int           // controllers that they are spread over
	log    *slog.Logger
	wake   chan struct{} // has hold look at the shards again

	tokenLock        chan struct{} // full while a change of the fencing token is under way: one at a time
	raiseRefusedAt time.Time     // when the state service last refused one; guarded by raising

	mu                   sync.Mutex
	lease                uint64    // 0: none
	renewalSentAt        time.Time // send of the last renewal that succeeded
	token                uint64
	reservedTokens       []uint64 // the lowest first
	highestFirstReserve  uint64   // highest token reserved by a controller that had no other, as far as is known here
	highestTokenInUse    uint64   // as far as is known here
	nodes                map[string]nodeRecord
	leaders              map[int]shardRecord
	claimed              map[int]uint64 // shards led here, by the version of their keys
	newestVersions       map[int]uint64 // highest known version of each shard's key; what is older is out of date
	listed               bool           // the records were listed once
	joinedToken          uint64         // the fencing token at this incarnation's registration
	lastAttemptLease       uint64         // of the last attempt to join
	shortIncarnations    int            // in a row before this one
	freedAt              map[int]time.Time
	leftAt               map[string]time.Time
	leftUnstable         map[string]bool // whether a controller that left was unsteady
	pending              map[int]uint64  // shards given up in a transaction of unknown outcome, by the version it replaces
	transferInFlight     bool            // such a transaction is still under way
	transfers            transfersRecord
	reservedAt           time.Time // when a token was last reserved
	leadershipCallbacks   []func()
	onLinkAnnouncement   func(value json.RawMessage)
	reservationsInFlight sync.WaitGroup
}

// New returns a member that has not joined yet. ttl is the lease's, shards the
// number of shards, and spread the number of controllers they are spread over.
func New(store Store, name string, ttl time.Duration, shards, spread int, log *slog.Logger) *Member {
	return &Member{
		store: store, name: name, ttl: ttl, shards: shards, spread: spread, log: log,
		wake: make(chan struct{}, 1), tokenLock: make(chan struct{}, 1),
		nodes: map[string]nodeRecord{}, leaders: map[int]shardRecord{},
		claimed: map[int]uint64{}, newestVersions: map[int]uint64{}, pending: map[int]uint64{},
		freedAt: map[int]time.Time{}, leftAt: map[string]time.Time{}, leftUnstable: map[string]bool{},
	}
}

// OnLeadershipChange registers a callback for changes of what this controller
// knows of shards, controllers and its lease. It is called without locks held.
// Call OnOwnershipChange before Run.
func (m *Member) OnLeadershipChange(f func()) { m.leadershipCallbacks = append(m.leadershipCallbacks, f) }

// OnLinkAnnouncement registers the callback for what controllers announce of
// their links. It is called with the member's lock held and must not call back.
// Call OnLinkAnnouncement before Run.
func (m *Member) OnLinkAnnouncement(f func(value json.RawMessage)) { m.onLinkAnnouncement = f }

// AnnounceLinks writes what this controller reports of its links to where every
// controller that reaches the state service reads it. The key goes when the
// lease ends. Without a lease it is an error.
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

// notifyChange runs the callbacks and wakes hold. No lock may be held.
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
