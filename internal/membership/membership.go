// Package membership keeps this controller's lease in the state service, its
// term (the workers' token) and the shards it owns. An incarnation holds one
// lease; the keys attached to it say who is alive and who owns what.
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

const (
	prefix       = "c/"
	tokenKey     = "c/term"
	nodeKey      = "c/node/"
	shardKey     = "c/shard/"
	linkKey      = "c/link/"             // what a controller says of its links to those that the mesh does not reach
	transfersKey = "c/moves"             // when jobs were last handed over
	driftRate    = 0.002                 // four times the largest drift between two steady clocks
	slack        = 60 * time.Millisecond // timers fire late
)

// Store is what membership needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, hold time.Duration, reset func([]wire.Item), change func([]wire.Event))
}

// Member is this controller's place among the others.
type Member struct {
	store  Store
	name   string
	ttl    time.Duration
	shards int
	spread int
	log    *slog.Logger
	wake   chan struct{}

	raising chan struct{} // holds a token while a change of the term is under way: one at a time
	refused time.Time     // when the state service last refused one; guarded by raising

	mu             sync.Mutex
	lease          uint64
	goodSend       time.Time
	token          uint64
	reservedTokens []uint64 // terms drawn ahead of time, the lowest first; see reserve
	first          uint64   // the highest term that was reserved by a controller without another, as far as is known here
	used           uint64   // the highest term in use, as far as is known here
	nodes          map[string]nodeRecord
	owners         map[int]shardRecord
	own            map[int]uint64 // shard -> version of its key
	newest         map[int]uint64 // shard -> highest version of its key that is known; what is older is late news
	synced         bool
	joinedAs       uint64            // the term of this incarnation's joining
	tried          uint64            // lease of the last try to join
	short          int               // see nodeRecord
	freed          map[int]time.Time // when a shard's key was seen to go
	left           map[string]time.Time
	flaps          map[string]bool // whether one that left was unsteady
	limbo          map[int]uint64  // shards handed over in a transaction whose outcome is open, by the version it replaces
	transferring   bool            // that transaction is still under way
	transfers      transfersRecord
	onChange       []func()
	onLink         func(value json.RawMessage)

	reservedAt time.Time // when a term was last drawn ahead of time
	reserving  sync.WaitGroup
}

// New returns a member that has not joined yet.
func New(store Store, name string, ttl time.Duration, shards, spread int, log *slog.Logger) *Member {
	return &Member{
		store: store, name: name, ttl: ttl, shards: shards, spread: spread, log: log,
		wake: make(chan struct{}, 1), raising: make(chan struct{}, 1), nodes: map[string]nodeRecord{}, owners: map[int]shardRecord{}, own: map[int]uint64{}, newest: map[int]uint64{},
		freed: map[int]time.Time{}, left: map[string]time.Time{}, flaps: map[string]bool{}, limbo: map[int]uint64{},
	}
}

// OnOwnershipChange registers a callback for changes of ownership; call it before Run.
func (m *Member) OnOwnershipChange(f func()) { m.onChange = append(m.onChange, f) }

// OnLinkAnnouncement registers a callback for what controllers announce of their links; call
// it before Run.
func (m *Member) OnLinkAnnouncement(f func(value json.RawMessage)) { m.onLink = f }

// AnnounceLinks writes what this controller says of its links to where every controller
// that reaches the state service sees it. It goes with the lease.
func (m *Member) AnnounceLinks(ctx context.Context, value any) error {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease == 0 {
		return errors.New("announce links: no lease")
	}
	if _, err := m.store.Txn(ctx, nil, wire.Op{Put: linkKey + m.name, Value: value, Lease: lease}); err != nil {
		return fmt.Errorf("announce links: %w", err)
	}
	return nil
}

// Name returns this controller's name.
func (m *Member) Name() string { return m.name }

func (m *Member) notify() {
	for _, f := range m.onChange {
		f()
	}
	m.wakeUp()
}

func (m *Member) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
