package rollout

import (
	"context"
	"fmt"
	"strings"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/wire"
)

// Keys in the state service. Controllers of other versions share them.
const (
	keyPrefix  = "rollout/"
	serviceKey = keyPrefix + "service/"
	runKey     = keyPrefix + "run/"
	historyKey = keyPrefix + "past/"
)

// entry is a service and its latest roll-out, as recorded, and the known state of the jobs. Copies
// of an entry share the maps submitted and cancelled. Only reset replaces these maps; it does so in
// new entries, of which no copy exists yet.
type entry struct {
	service        Service
	serviceVersion uint64 // version of the service's key; 0 if the service is not recorded
	run            *Run   // never modified in place; nil if there is none
	runVersion     uint64

	submitted map[string]bool // jobs known to be accepted
	cancelled map[string]bool // jobs known to be cancelled
	jobs      map[string]JobStatus
}

// active reports whether the latest roll-out has not ended.
func (e *entry) active() bool { return e.run != nil && !e.run.Phase.Final() }

// clone returns a copy with a run that may be modified before it is written.
func (e *entry) clone() (entry, error) {
	next := *e
	var err error
	next.run, err = e.run.clone()
	return next, err
}

// reset replaces all records by items, which are the records at the start of a watch. It retains
// the known state of the jobs of each service that is still recorded.
func (m *Manager) reset(items []wire.Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	oldEntries := m.entries
	m.entries = map[string]*entry{}
	for _, item := range items {
		m.applyLocked(item.Key, item.Value, item.Version)
	}
	for name, oldEntry := range oldEntries {
		if e := m.entries[name]; e != nil {
			e.cancelled, e.submitted, e.jobs = oldEntry.cancelled, oldEntry.submitted, oldEntry.jobs
		}
	}
	m.synced = true
}

// applyEvents applies the writes that the watch reports and ignores deletions.
func (m *Manager) applyEvents(events []wire.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, event := range events {
		if event.Put != "" {
			m.applyLocked(event.Put, event.Value, event.Version)
		}
	}
}

func (m *Manager) entryLocked(name string) *entry {
	e := m.entries[name]
	if e == nil {
		e = &entry{submitted: map[string]bool{}, cancelled: map[string]bool{}, jobs: map[string]JobStatus{}}
		m.entries[name] = e
	}
	return e
}

// applyLocked stores the record of a service or of a roll-out if it is newer than the present one. It
// ignores other keys. It logs an unreadable record and ignores it.
func (m *Manager) applyLocked(key string, value json.RawMessage, version uint64) {
	var err error
	if name, ok := strings.CutPrefix(key, serviceKey); ok {
		err = m.applyServiceLocked(name, value, version)
	} else if name, ok := strings.CutPrefix(key, runKey); ok {
		err = m.applyRunLocked(name, value, version)
	}
	if err != nil {
		m.log.Error("roll-out record unreadable", "key", key, "err", err)
	}
}

func (m *Manager) applyServiceLocked(name string, value json.RawMessage, version uint64) error {
	var service Service
	if err := json.Unmarshal(value, &service); err != nil {
		return err
	}
	if e := m.entryLocked(name); version > e.serviceVersion {
		e.service, e.serviceVersion = service, version
	}
	return nil
}

func (m *Manager) applyRunLocked(name string, value json.RawMessage, version uint64) error {
	var run Run
	if err := json.Unmarshal(value, &run); err != nil {
		return err
	}
	if e := m.entryLocked(name); version > e.runVersion {
		e.run, e.runVersion = &run, version
	}
	return nil
}

// write records the roll-out of next. It also records the service if the service is new or the
// roll-out has ended, and adds an ended roll-out to the history. The transaction fails if either
// record has changed since the versions in next, or if one of the guards doesn't hold. Errors wrap
// the state service's error.
func (m *Manager) write(ctx context.Context, name string, next *entry, guards ...wire.Guard) error {
	guards = append(guards, wire.Guard{Key: runKey + name, Version: next.runVersion}, wire.Guard{Key: serviceKey + name, Version: next.serviceVersion})
	ops := []wire.Op{{Put: runKey + name, Value: next.run}}
	putService := next.serviceVersion == 0 || next.run.Phase.Final()
	if putService {
		ops = append(ops, wire.Op{Put: serviceKey + name, Value: &next.service})
	}
	if next.run.Phase.Final() {
		ops = append(ops, wire.Op{Put: fmt.Sprintf("%s%s/%06d", historyKey, name, next.run.ID), Value: next.run})
	}
	version, err := m.store.Txn(ctx, guards, ops...)
	if err != nil {
		return fmt.Errorf("record: %w", err) // if the transaction was applied nevertheless, the watch delivers the new records
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entryLocked(name)
	if version > e.runVersion {
		e.run, e.runVersion = next.run, version
	}
	if putService && version > e.serviceVersion {
		e.service, e.serviceVersion = next.service, version
	}
	return nil
}
