package rollout

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	prefix     = "rollout/"
	serviceKey = prefix + "service/"
	runKey     = prefix + "run/"
	pastKey    = prefix + "past/"
	tickEvery  = time.Second
	stepWithin = 4 * time.Second // what one roll-out may take of a tick
)

// Store is what roll-outs need of the state service.
type Store interface {
	List(ctx context.Context, prefix string) ([]wire.Item, uint64, error)
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	Watch(ctx context.Context, prefix string, hold time.Duration, reset func([]wire.Item), change func([]wire.Event))
}

// Core is what roll-outs need of the scheduler.
type Core interface {
	// Lead is the condition under which this controller drives roll-outs;
	// false if another one does.
	Lead() (wire.Guard, bool)
	// Submit records a job's acceptance under further conditions. A job that is
	// known already is no error.
	Submit(ctx context.Context, job *wire.Job, guards ...wire.Guard) error
	// Cancel cancels a job. One that was never accepted is no error.
	Cancel(ctx context.Context, uid string) error
	// Replicas are the running replicas of a job.
	Replicas(uid string) []Replica
	// Unfinished reports whether a job of the class is unfinished.
	Unfinished(class string) bool
}

// Descriptions keeps what jobs run.
type Descriptions interface {
	Put(ctx context.Context, job string, d *taskspec.Spec) error
}

// Manager keeps services and drives their roll-outs while this controller leads.
type Manager struct {
	settings     *Settings
	store        Store
	core         Core
	descriptions Descriptions
	checks       *checks
	most         int // bytes of a record
	log          *slog.Logger

	mu      sync.Mutex
	entries map[string]*entry
	synced  bool
}

// NewManager returns a manager that knows nothing yet. No record is larger than
// so many bytes.
func NewManager(s *Settings, store Store, core Core, d Descriptions, p Prober, most int, log *slog.Logger) *Manager {
	return &Manager{settings: s, store: store, core: core, descriptions: d, checks: newChecks(p), most: most, log: log, entries: map[string]*entry{}}
}

// Run follows what is recorded and drives what this controller leads, until ctx
// ends.
func (m *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); m.store.Watch(ctx, prefix, 20*time.Second, m.reset, m.change) }()
	defer wg.Wait()
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			m.Tick(ctx)
		}
	}
}

// Tick looks at every roll-out once.
func (m *Manager) Tick(ctx context.Context) {
	lead, ok := m.core.Lead()
	m.mu.Lock()
	var names []string
	for name, e := range m.entries {
		if ok && m.synced && e.run != nil && !e.run.Phase.Final() {
			names = append(names, name)
		}
	}
	m.mu.Unlock()
	if len(names) == 0 {
		return
	}
	now := time.Now()
	m.checks.forget(now, "")
	blocked := m.settings.Blocked(now, m.core.Unfinished)
	slices.Sort(names)
	tctx, cancel := context.WithTimeout(ctx, stepWithin)
	defer cancel()
	for _, name := range names {
		if err := m.drive(tctx, ctx, name, lead, blocked); err != nil {
			m.log.Info("roll-out", "service", name, "err", err)
		}
	}
}
