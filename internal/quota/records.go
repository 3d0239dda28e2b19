package quota

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/quotalease"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// watchHold is how long the state service may hold a request for changes.
const watchHold = 20 * time.Second

// watchRecords watches the records until ctx ends.
func (m *Manager) watchRecords(ctx context.Context) {
	m.store.Watch(ctx, quotalease.Prefix, watchHold, func(items []wire.Item) {
		for _, item := range items {
			m.observe(item)
		}
		jobstate.Notify(m.wake)
	}, func(events []wire.Event) {
		for _, event := range events {
			if event.Put != "" {
				m.observe(wire.Item{Key: event.Put, Value: event.Value, Version: event.Version})
			}
		}
		jobstate.Notify(m.wake)
	})
}

// observe passes a record that the watch reports to its borrower.
func (m *Manager) observe(item wire.Item) {
	m.state.Mu.Lock()
	defer m.state.Mu.Unlock()
	for index, borrower := range m.borrowers {
		if borrower == nil || quotalease.Key(index) != item.Key {
			continue
		}
		if record, ok := m.parseRecord(item); ok {
			m.passToBorrower(item.Key, borrower, func() { borrower.Observe(record, item.Version, item.Version) })
		}
	}
}

// parseRecord parses a record. If it can't be parsed, that is counted and logged, and parseRecord
// returns false. Version 0 means that there is no record; an empty one is returned then.
func (m *Manager) parseRecord(item wire.Item) (quotalease.Record, bool) {
	if item.Version == 0 {
		return quotalease.Record{}, true
	}
	record, err := quotalease.Parse(item.Value, m.state.Operator.Shards)
	if err != nil {
		m.state.Stats.QuotaRecordsRefused++
		m.log.Error("quota record refused", "key", item.Key, "err", err)
		return record, false
	}
	return record, true
}

// passToBorrower calls observe, which passes a record to a borrower, and counts and logs the
// entries that the borrower ignored.
func (m *Manager) passToBorrower(key string, borrower *quotalease.Borrower, observe func()) {
	before := borrower.UnknownEntries
	observe()
	if refused := borrower.UnknownEntries - before; refused > 0 {
		m.state.Stats.QuotaRecordsRefused += refused
		m.log.Warn("unknown leaders or teams in quota record", "key", key, "refused", refused)
	}
	jobstate.Notify(m.state.PlanSignal)
}

// write writes a record. If the outcome stays unknown, the borrower plans the same write
// again.
func (m *Manager) write(ctx context.Context, index int, write quotalease.Write) {
	guards := make([]wire.Guard, 0, 1+len(write.Shards))
	guards = append(guards, wire.Guard{Key: quotalease.Key(index), Version: write.Guard})
	for _, shard := range slices.Sorted(maps.Keys(write.Shards)) {
		guards = append(guards, wire.Guard{Key: m.state.Membership.ShardKey(shard), Version: write.Shards[shard]})
	}
	txnCtx, cancel := context.WithTimeout(ctx, jobrecord.TxnTimeout)
	defer cancel()
	revision, err := m.store.Txn(txnCtx, guards, wire.Op{Put: quotalease.Key(index), Value: write.Record})
	m.state.Mu.Lock()
	defer m.state.Mu.Unlock()
	m.inFlight[index] = false
	borrower := m.borrowers[index]
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		borrower.Applied(write, revision)
		jobstate.Notify(m.state.PlanSignal)
	case errors.As(err, &conflict):
		borrower.Rejected(write)
		jobstate.Notify(m.wake)
	default:
		m.log.Debug("quota write of unknown outcome", "key", quotalease.Key(index), "err", err)
	}
}

// reread reads a record again after a write of it was rejected. If that fails, the next round
// reads it again.
func (m *Manager) reread(ctx context.Context, index int) {
	getCtx, cancel := context.WithTimeout(ctx, jobrecord.TxnTimeout)
	defer cancel()
	item, err := m.store.Get(getCtx, quotalease.Key(index))
	m.state.Mu.Lock()
	defer m.state.Mu.Unlock()
	m.inFlight[index] = false
	if err != nil && !errors.Is(err, statestore.ErrNotFound) {
		m.log.Debug("reading quota record failed", "key", quotalease.Key(index), "err", err)
		return
	}
	item.Key = quotalease.Key(index)
	if record, ok := m.parseRecord(item); ok {
		borrower := m.borrowers[index]
		m.passToBorrower(item.Key, borrower, func() { borrower.Reread(record, item.Version, item.Version) })
		jobstate.Notify(m.wake)
	}
}
