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
	tickTimeout  = 4 * time.Second  // for all roll-outs' writes and submissions in a tick
	watchHold    = 20 * time.Second // for which a watch waits for changes
)

// Store is what roll-outs need of the state service.
type Store interface {
	List(ctx context.Context, prefix string) ([]wire.Item, uint64, error)
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	Watch(ctx context.Context, prefix string, hold time.Duration, reset func([]wire.Item), change func([]wire.Event))
}

// Core is what roll-outs need of the scheduler.
type Core interface {
	// LeaderGuard returns the guard that holds while this controller drives roll-outs; false if
	// another one does.
	LeaderGuard() (wire.Guard, bool)
	// Submit records a job's acceptance under further conditions. A job that is
	// known already is no error.
	Submit(ctx context.Context, job *wire.Job, guards ...wire.Guard) error
	// Cancel cancels a job. One that was never accepted is no error.
	Cancel(ctx context.Context, uid string) error
	// Replicas returns the running replicas of a job.
	Replicas(uid string) []Replica
	// Unfinished reports whether a job of the class is unfinished.
	Unfinished(class string) bool
}

// DescriptionStore keeps what jobs run.
type DescriptionStore interface {
	// Put stores a job's description. The same one again is no error.
	Put(ctx context.Context, job string, d *taskspec.Spec) error
}

// Manager keeps services, and drives their roll-outs while this controller leads. It is safe
// for concurrent use.
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
	synced  bool // the records are read
}

// NewManager returns a manager that knows no services until Run has read them. No record that
// it writes is larger than so many bytes.
func NewManager(s *Settings, store Store, core Core, d DescriptionStore, p Prober, maxRecordBytes int, log *slog.Logger) *Manager {
	return &Manager{settings: s, store: store, core: core, descriptions: d, checks: newHealthChecker(p), maxRecord: maxRecordBytes, log: log, entries: map[string]*entry{}}
}

// Run follows the records, and drives the roll-outs while this controller leads. It returns the
// context's error once the context has ended and so have the watch and the checks.
func (m *Manager) Run(ctx context.Context) error {
	defer m.checks.probes.Wait()
	var wg sync.WaitGroup
	wg.Go(func() { m.store.Watch(ctx, keyPrefix, watchHold, m.reset, m.applyEvents) })
	defer wg.Wait()
	return periodic.Run(ctx, tickInterval, func() { m.Tick(ctx) })
}

// Tick drives every roll-out once, if this controller leads.
func (m *Manager) Tick(ctx context.Context) {
	lead, ok := m.core.LeaderGuard()
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
	blocked := m.settings.BlockedReason(now, m.core.Unfinished)
	slices.Sort(names)
	tickCtx, cancel := context.WithTimeout(ctx, tickTimeout)
	defer cancel()
	for _, name := range names {
		if err := m.reconcile(tickCtx, ctx, name, lead, blocked); err != nil {
			m.log.Info("roll-out step failed", "service", name, "err", err)
		}
	}
}
