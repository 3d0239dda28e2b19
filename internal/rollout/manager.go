package rollout

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	tickInterval = time.Second
	tickTimeout  = 4 * time.Second  // limit for the writes and submissions of all roll-outs in one tick
	watchHold    = 20 * time.Second // how long one watch request waits for changes
)

// Store is the part of the state service's client that roll-outs use.
type Store interface {
	List(ctx context.Context, prefix string) ([]wire.Item, uint64, error)
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	Watch(ctx context.Context, prefix string, hold time.Duration, reset func([]wire.Item), change func([]wire.Event))
}

// Core is the part of the scheduler that roll-outs use.
type Core interface {
	// LeaderGuard returns a guard that holds as long as this controller is the leader for
	// roll-outs, or false if it is not the leader.
	LeaderGuard() (wire.Guard, bool)
	// Submit records a job as accepted, in a transaction that also checks the guards. It
	// succeeds without effect if the job exists already.
	Submit(ctx context.Context, job *wire.Job, guards ...wire.Guard) error
	// Cancel cancels a job. It succeeds without effect if the job was never accepted.
	Cancel(ctx context.Context, uid string) error
	// Replicas returns the running replicas of a job.
	Replicas(uid string) []Replica
	// Unfinished reports whether a job of the class is unfinished.
	Unfinished(class string) bool
}

// DescriptionStore stores the descriptions of jobs: the programs that their tasks run.
type DescriptionStore interface {
	// Put stores a job's description. Storing the same description again succeeds.
	Put(ctx context.Context, job string, d *taskspec.Spec) error
}

// Manager stores services and advances their roll-outs while this controller is the leader. It is
// safe for concurrent use.
type Manager struct {
	settings     *Settings
	store        Store
	core         Core
	descriptions DescriptionStore
	checks       *healthChecker
	maxRecord    int // bytes
	log          *slog.Logger

	mu      sync.Mutex
	entries map[string]*entry
	synced  bool // whether the records have been read at least once
}

// NewManager returns a manager that has no services until Run has read them. Start refuses a
// roll-out whose record is larger than half of maxRecordBytes.
func NewManager(s *Settings, store Store, core Core, d DescriptionStore, p Prober, maxRecordBytes int, log *slog.Logger) *Manager {
	return &Manager{settings: s, store: store, core: core, descriptions: d, checks: newHealthChecker(p), maxRecord: maxRecordBytes, log: log, entries: map[string]*entry{}}
}

// Run watches the records and advances the roll-outs while this controller is the leader. When the
// context ends it waits for the watch and the checks to end and returns the context's error.
func (m *Manager) Run(ctx context.Context) error {
	defer m.checks.probes.Wait()
	var wg sync.WaitGroup
	wg.Go(func() { m.store.Watch(ctx, keyPrefix, watchHold, m.reset, m.applyEvents) })
	defer wg.Wait()
	return periodic.Run(ctx, tickInterval, func() { m.Tick(ctx) })
}

// Tick advances every active roll-out by at most one transition, if this controller is the leader
// and has read the records. It logs errors.
func (m *Manager) Tick(ctx context.Context) {
	leaderGuard, ok := m.core.LeaderGuard()
	m.mu.Lock()
	var names []string
	for name, e := range m.entries {
		if ok && m.synced && e.active() {
			names = append(names, name)
		}
	}
	m.mu.Unlock()
	if len(names) == 0 {
		return
	}
	now := time.Now()
	m.checks.removeStale(now, "")
	blockedReason := m.settings.BlockedReason(now, m.core.Unfinished)
	slices.Sort(names)
	tickCtx, cancel := context.WithTimeout(ctx, tickTimeout)
	defer cancel()
	for _, name := range names {
		if err := m.reconcile(tickCtx, ctx, name, leaderGuard, blockedReason); err != nil {
			m.log.Info("roll-out step failed", "service", name, "err", err)
		}
	}
}
