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

// entry is a service and its last roll-out, as recorded, and what is known of the jobs. Its
// maps are replaced only before the entry is in use.
type entry struct {
	service        Service
	serviceVersion uint64 // of its key; 0: not recorded
	run            *Run   // never changed in place; nil: none
	runVersion     uint64

	submitted map[string]bool // jobs known to be accepted
	cancelled map[string]bool // jobs known to be cancelled
	jobs      map[string]JobStatus
}

// active reports whether a roll-out is under way.
func (e *entry) active() bool { return e.run != nil && !e.run.Phase.Final() }

// clone returns a copy, whose run may be changed, to be written.
func (e *entry) clone() (entry, error) {
	next := *e
	var err error
	next.run, err = e.run.clone()
	return next, err
}

// reset replaces all records by those that a watch begins with.
func (m *Manager) reset(items []wire.Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.entries
	m.entries = map[string]*entry{}
	for _, item := range items {
		m.applyLocked(item.Key, item.Value, item.Version)
	}
	for name, before := range old {
		if e := m.entries[name]; e != nil {
			e.cancelled, e.submitted, e.jobs = before.cancelled, before.submitted, before.jobs
		}
	}
	m.synced = true
}

// applyEvents takes in changes of records.
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

// applyLocked takes in a record if it is newer than what is known.
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

// write records a service's next roll-out, and the service if that is new or the roll-out has
// ended, under the conditions that nobody else wrote them since the versions of next, and the
// guards. An error has the state service's in its chain.
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
		return fmt.Errorf("record: %w", err) // if it was applied all the same, the watch brings it
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
