package rollout

import (
	"context"
	"fmt"
	"strings"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/wire"
)

// entry is a service and its last roll-out, as recorded.
type entry struct {
	svc        Service
	svcV, runV uint64
	run        *Run
	dropped    map[string]bool // jobs seen to be gone
	known      map[string]bool // jobs seen to be accepted
	seen       map[string]JobSeen
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
