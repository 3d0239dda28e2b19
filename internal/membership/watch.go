package membership

import (
	"strings"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/wire"
)

// applyListing replaces the known records by a listing of all records. The known record of a
// shard stays if the listed one is older, and this controller's claims stay.
func (m *Member) applyListing(items []wire.Item) {
	m.mu.Lock()
	known := m.leaders
	m.nodes, m.leaders = map[string]nodeRecord{}, map[int]shardRecord{}
	for _, item := range items {
		m.applyRecordLocked(item.Key, item.Value, item.Version)
		if shard, ok := shardOfKey(item.Key); ok && item.Version < m.newestVersions[shard] {
			if leader, ok := known[shard]; ok {
				m.leaders[shard] = leader // the listing is older than the known record
			}
		}
	}
	for shard := range m.claimed {
		if leader, ok := m.leaders[shard]; !ok || leader.Node != m.name {
			// The listing may be older than the claim. Keeping the claim is safe, since every
			// write is conditional on the key's version.
			m.leaders[shard] = m.selfLocked()
		}
	}
	m.listed = true
	m.mu.Unlock()
	m.notifyChange()
}

// applyEvents applies changes of records since the listing. Callbacks run only for changes
// that may affect which controllers are alive or which shards they lead.
func (m *Member) applyEvents(events []wire.Event) {
	m.mu.Lock()
	relevant := false
	for _, event := range events {
		key := event.Put + event.Delete
		switch {
		case key == tokenKey:
			m.observeCounterLocked(event.Value)
		case strings.HasPrefix(key, linkPrefix):
			if event.Put != "" && m.onLinkAnnouncement != nil {
				m.onLinkAnnouncement(event.Value)
			}
		case event.Delete != "":
			relevant = true
			m.deleteRecordLocked(event.Delete, event.Version)
		default:
			relevant = true
			m.applyRecordLocked(event.Put, event.Value, event.Version)
		}
	}
	m.mu.Unlock()
	if relevant {
		m.notifyChange()
	}
}

// applyRecordLocked applies a record that was written. Records that can't be decoded are
// ignored: a later version of the program may have written them in another form.
func (m *Member) applyRecordLocked(key string, value json.RawMessage, version uint64) {
	switch {
	case key == tokenKey:
		m.observeCounterLocked(value)
		return
	case key == transfersKey:
		var transfers transfersRecord
		if json.Unmarshal(value, &transfers) == nil {
			m.transfers = transfers
		}
		return
	case strings.HasPrefix(key, linkPrefix) && m.onLinkAnnouncement != nil:
		m.onLinkAnnouncement(value)
		return
	}
	if name, ok := strings.CutPrefix(key, nodePrefix); ok {
		var node nodeRecord
		if json.Unmarshal(value, &node) == nil {
			m.nodes[name] = node
		}
		return
	}
	var leader shardRecord
	if shard, ok := shardOfKey(key); ok && json.Unmarshal(value, &leader) == nil {
		m.applyShardLocked(shard, leader, version)
	}
}

// applyShardLocked applies a shard's record as of a version. It ignores records that are out of
// date.
func (m *Member) applyShardLocked(shard int, leader shardRecord, version uint64) {
	if version < m.newestVersions[shard] {
		// Out of date: after a leader has transferred the shard, its lagging watch may report its
		// earlier claim, which it would take for a new one.
		return
	}
	if replaced, ok := m.pending[shard]; ok {
		if version <= replaced {
			return // older than the transaction of unknown outcome
		}
		delete(m.pending, shard)
	}
	m.newestVersions[shard] = version
	m.leaders[shard] = leader
	if m.lease != 0 && leader.Lease == m.lease {
		// A claim whose response was lost: without this, the controller would not know that it
		// leads the shard.
		m.claimed[shard] = max(m.claimed[shard], version)
		return
	}
	if claimed, ok := m.claimed[shard]; ok && version > claimed {
		delete(m.claimed, shard) // another controller has written it since
	}
}

// deleteRecordLocked applies the deletion of a record as of a version.
func (m *Member) deleteRecordLocked(key string, version uint64) {
	if name, ok := strings.CutPrefix(key, nodePrefix); ok {
		node := m.nodes[name]
		m.leftUnstable[name] = !node.stable()
		delete(m.nodes, name)
		m.leftAt[name] = time.Now()
		return
	}
	if shard, ok := shardOfKey(key); ok {
		m.deleteShardLocked(shard, version)
	}
}

// deleteShardLocked applies the deletion of a shard's key as of a version.
func (m *Member) deleteShardLocked(shard int, version uint64) {
	if claimed, ok := m.claimed[shard]; ok {
		if version <= claimed {
			return // older than the claim
		}
		delete(m.claimed, shard)
	}
	if replaced, ok := m.pending[shard]; ok && version <= replaced || version < m.newestVersions[shard] {
		return
	}
	m.newestVersions[shard] = version
	delete(m.pending, shard)
	delete(m.leaders, shard)
	m.freedAt[shard] = time.Now()
}
