package rollout

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/description"
	"github.com/wallrack/wallrack/internal/statestore"
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
	Put(ctx context.Context, job string, d *description.Description) error
}

// entry is a service and its last roll-out, as recorded.
type entry struct {
	svc        Service
	svcV, runV uint64
	run        *Run
	dropped    map[string]bool // jobs seen to be gone
	known      map[string]bool // jobs seen to be accepted
	seen       map[string]JobSeen
}

// Manager keeps services and drives their roll-outs while this controller leads.
type Manager struct {
	settings *Settings
	store    Store
	core     Core
	descrs   Descriptions
	checks   *checks
	most     int // bytes of a record
	log      *slog.Logger

	mu      sync.Mutex
	entries map[string]*entry
	synced  bool
}

// NewManager returns a manager that knows nothing yet. No record is larger than
// so many bytes.
func NewManager(s *Settings, store Store, core Core, d Descriptions, p Prober, most int, log *slog.Logger) *Manager {
	return &Manager{settings: s, store: store, core: core, descrs: d, checks: newChecks(p), most: most, log: log, entries: map[string]*entry{}}
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

func (m *Manager) reset(items []wire.Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.entries
	m.entries = map[string]*entry{}
	for _, it := range items {
		m.applyLocked(it.Key, it.Value, it.Version)
	}
	for name, e := range old {
		if now := m.entries[name]; now != nil {
			now.dropped, now.known, now.seen = e.dropped, e.known, e.seen
		}
	}
	m.synced = true
}

func (m *Manager) change(events []wire.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range events {
		if e.Put != "" {
			m.applyLocked(e.Put, e.Value, e.Version)
		}
	}
}

func (m *Manager) entryLocked(name string) *entry {
	e := m.entries[name]
	if e == nil {
		e = &entry{dropped: map[string]bool{}, known: map[string]bool{}, seen: map[string]JobSeen{}}
		m.entries[name] = e
	}
	return e
}

// applyLocked takes a record that is newer than what is known.
func (m *Manager) applyLocked(key string, value json.RawMessage, version uint64) {
	bad := func(err error) { m.log.Error("unreadable roll-out record", "key", key, "err", err) }
	if name, ok := strings.CutPrefix(key, serviceKey); ok {
		var s Service
		if err := json.Unmarshal(value, &s); err != nil {
			bad(err)
		} else if e := m.entryLocked(name); version > e.svcV {
			e.svc, e.svcV = s, version
		}
	} else if name, ok := strings.CutPrefix(key, runKey); ok {
		var r Run
		if err := json.Unmarshal(value, &r); err != nil {
			bad(err)
		} else if e := m.entryLocked(name); version > e.runV {
			e.run, e.runV = &r, version
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

// drive does what the recorded state of one roll-out asks for, looks, and records
// what follows. Checks go on for as long as life does.
func (m *Manager) drive(ctx, life context.Context, name string, lead wire.Guard, blocked string) error {
	m.mu.Lock()
	e := m.entries[name]
	svc, svcV, runV := e.svc, e.svcV, e.runV
	run, err := e.run.clone()
	m.mu.Unlock()
	if err != nil {
		return err
	}
	submit, drop := Wanted(run)
	for _, b := range submit {
		if err := m.submit(ctx, e, &svc, run, b, lead, wire.Guard{Key: runKey + name, Version: runV}); err != nil {
			return err
		}
	}
	for _, b := range drop {
		if err := m.drop(ctx, e, b); err != nil {
			return err
		}
	}
	now := time.Now()
	seen := &Seen{Jobs: map[string]JobSeen{}, Blocked: blocked}
	for _, b := range submit {
		seen.Jobs[b.UID] = m.checks.look(life, now, m.core.Replicas(b.UID), run.Spec.Check)
	}
	m.mu.Lock()
	for _, b := range drop {
		seen.Jobs[b.UID] = JobSeen{Gone: e.dropped[b.UID]}
	}
	e.seen = seen.Jobs
	m.mu.Unlock()
	was := run.Phase
	if !Next(&svc, run, seen, now) {
		return nil
	}
	if err := m.write(ctx, name, &svc, svcV, run, runV, lead); err != nil {
		return err
	}
	m.log.Info("roll-out", "service", name, "id", run.ID, "was", was, "phase", run.Phase, "step", run.Step+1, "of", len(run.Targets), "why", run.Why)
	return nil
}

func (r *Run) clone() (*Run, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("copy roll-out: %w", err)
	}
	var c Run
	return &c, json.Unmarshal(data, &c)
}

// write records a state under the conditions that this controller leads and that
// nobody else wrote meanwhile.
func (m *Manager) write(ctx context.Context, name string, svc *Service, svcV uint64, run *Run, runV uint64, guards ...wire.Guard) error {
	guards = append(guards, wire.Guard{Key: runKey + name, Version: runV}, wire.Guard{Key: serviceKey + name, Version: svcV})
	ops := []wire.Op{{Put: runKey + name, Value: run}}
	putSvc := svcV == 0 || run.Phase.Final()
	if putSvc {
		ops = append(ops, wire.Op{Put: serviceKey + name, Value: svc})
	}
	if run.Phase.Final() {
		ops = append(ops, wire.Op{Put: fmt.Sprintf("%s%s/%06d", pastKey, name, run.ID), Value: run})
	}
	rev, err := m.store.Txn(ctx, guards, ops...)
	if err != nil {
		return fmt.Errorf("record: %w", err) // if it was applied all the same, the watch tells
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entryLocked(name)
	if rev > e.runV {
		e.run, e.runV = run, rev
	}
	if putSvc && rev > e.svcV {
		e.svc, e.svcV = *svc, rev
	}
	return nil
}

func (m *Manager) submit(ctx context.Context, e *entry, svc *Service, run *Run, b Batch, guards ...wire.Guard) error {
	m.mu.Lock()
	known := e.known[b.UID]
	m.mu.Unlock()
	if known {
		return nil
	}
	d := &run.Spec.To.Desc
	if b.Version != run.Spec.To.Name {
		d = &run.From.Desc
	}
	if err := m.descrs.Put(ctx, b.UID, d); err != nil {
		return fmt.Errorf("describe %s: %w", b.UID, err)
	}
	j := svc.Template
	j.UID, j.Kind, j.Tasks = b.UID, wire.KindService, b.Replicas
	j.CPUs, j.GPUs, j.MemoryGB = d.CPUs, d.GPUs, d.MemoryGB
	if err := m.core.Submit(ctx, &j, guards...); err != nil {
		return fmt.Errorf("submit %s: %w", b.UID, err)
	}
	m.mu.Lock()
	e.known[b.UID] = true
	m.mu.Unlock()
	return nil
}

func (m *Manager) drop(ctx context.Context, e *entry, b Batch) error {
	m.mu.Lock()
	gone := e.dropped[b.UID]
	m.mu.Unlock()
	if gone {
		return nil
	}
	if err := m.core.Cancel(ctx, b.UID); err != nil {
		return fmt.Errorf("cancel %s: %w", b.UID, err)
	}
	m.mu.Lock()
	e.dropped[b.UID] = true
	m.mu.Unlock()
	return nil
}

// Start begins a roll-out, of a new service if it has replicas and a template.
func (m *Manager) Start(ctx context.Context, spec Spec) (*Run, error) {
	spec.Fill()
	if err := spec.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInput, err)
	}
	m.mu.Lock()
	if !m.synced {
		m.mu.Unlock()
		return nil, statestore.ErrUnavailable
	}
	running, replicas := 0, 0
	for _, e := range m.entries {
		replicas += e.svc.Replicas
		if e.run != nil && !e.run.Phase.Final() {
			running++
		}
	}
	e := m.entries[spec.Service]
	var svc Service
	var svcV, runV uint64
	id := 1
	if e != nil {
		svc, svcV, runV = e.svc, e.svcV, e.runV
		if e.run != nil {
			id = e.run.ID + 1
		}
	}
	active := e != nil && e.run != nil && !e.run.Phase.Final()
	services := len(m.entries)
	m.mu.Unlock()
	switch {
	case active:
		return nil, fmt.Errorf("%w: service: %s has a roll-out already", ErrInput, spec.Service)
	case running >= MaxRuns:
		return nil, fmt.Errorf("%w: %d roll-outs are under way, the most there may be", ErrInput, running)
	case svcV == 0 && spec.Replicas == 0:
		return nil, fmt.Errorf("%w: service: %s is unknown; a new one needs replicas", ErrInput, spec.Service)
	case svcV == 0 && services >= MaxServices:
		return nil, fmt.Errorf("%w: service: there are %d, the most there may be", ErrInput, services)
	case svcV == 0 && (spec.Replicas < 1 || replicas+spec.Replicas > MaxReplicas):
		return nil, fmt.Errorf("%w: replicas: %d, with %d of other services, is not within 1 and %d", ErrInput, spec.Replicas, replicas, MaxReplicas)
	case svcV != 0 && spec.Replicas != 0 && spec.Replicas != svc.Replicas:
		return nil, fmt.Errorf("%w: replicas: %s has %d, which a roll-out does not change", ErrInput, spec.Service, svc.Replicas)
	}
	if svcV == 0 {
		svc = Service{Name: spec.Service, Replicas: spec.Replicas, Template: spec.Template}
	}
	run, err := Plan(&svc, spec, id, time.Now())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInput, err)
	}
	// Batches are added as it goes on: half is kept for them.
	if data, err := json.Marshal(run); err != nil || len(data) > m.most/2 {
		return nil, fmt.Errorf("%w: to.desc: too large to be recorded, over %d bytes with the version before", ErrInput, m.most/2)
	}
	if err := m.write(ctx, spec.Service, &svc, svcV, run, runV); err != nil {
		return nil, err
	}
	return run, nil
}

// Order does what an operator says to a service's roll-out.
func (m *Manager) Order(ctx context.Context, service, verb string) (*Run, error) {
	for n := 0; ; n++ {
		m.mu.Lock()
		e := m.entries[service]
		if e == nil || e.run == nil {
			m.mu.Unlock()
			return nil, fmt.Errorf("%w: service: %s is unknown", ErrInput, service)
		}
		svc, svcV, runV := e.svc, e.svcV, e.runV
		run, err := e.run.clone()
		m.mu.Unlock()
		if err != nil {
			return nil, err
		}
		if err := Order(run, verb, time.Now()); err != nil {
			return nil, err
		}
		if verb == VerbResume {
			m.checks.forget(time.Now(), "j-svc-"+service+"-")
		}
		err = m.write(ctx, service, &svc, svcV, run, runV)
		var conflict *statestore.Conflict
		if errors.As(err, &conflict) && n < 5 {
			// The leader went on meanwhile; its record comes with the watch.
			statestore.Backoff(ctx, n, 50*time.Millisecond, 500*time.Millisecond)
			continue
		}
		return run, err
	}
}

// Held is the capacity, in CPUs, that the old versions' replicas of unfinished
// roll-outs had and have given up: it is kept until the new ones have passed, so
// that a restore finds room at once.
func (m *Manager) Held() (cpus float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.entries {
		if r := e.run; r != nil && !r.Phase.Final() && r.From.Name != "" {
			cpus += float64(max(0, e.svc.Replicas-total(r.Old))) * r.From.Desc.CPUs
		}
	}
	return cpus
}

// Status is a service as operators see it.
type Status struct {
	Service Service            `json:"service"`
	Run     *Run               `json:"run,omitempty"`
	Jobs    map[string]JobSeen `json:"jobs,omitempty"` // as the leading controller last saw them
}

// Statuses returns the services, by name.
func (m *Manager) Statuses() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []Status{}
	for _, e := range m.entries {
		if e.svcV != 0 {
			jobs := make(map[string]JobSeen, len(e.seen))
			for k, v := range e.seen {
				jobs[k] = v
			}
			out = append(out, Status{e.svc, e.run, jobs})
		}
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Service.Name, b.Service.Name) })
	return out
}

// History returns a service's ended roll-outs, oldest first.
func (m *Manager) History(ctx context.Context, service string) ([]Run, error) {
	items, _, err := m.store.List(ctx, pastKey+service+"/")
	if err != nil {
		return nil, err
	}
	out := make([]Run, 0, len(items))
	for _, it := range items {
		var r Run
		if err := json.Unmarshal(it.Value, &r); err != nil {
			return nil, fmt.Errorf("record %s: %w", it.Key, err)
		}
		out = append(out, r)
	}
	return out, nil
}
