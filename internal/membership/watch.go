package membership

import (
	"strings"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/wire"
)

func (m *Member) reset(items []wire.Item) {
	m.mu.Lock()
	known := m.owners
	m.nodes, m.owners = map[string]nodeRecord{}, map[int]shardRecord{}
	for _, it := range items {
		m.applyLocked(it.Key, it.Value, it.Version)
		if s, ok := shardOf(it.Key); ok && it.Version < m.newest[s] {
			if r, ok := known[s]; ok {
				m.owners[s] = r // the listing is older than what is known
			}
		}
	}
	for s := range m.own {
		if r, ok := m.owners[s]; !ok || r.Node != m.name {
			// A listing may be older than the claim: keep what the claim
			// said, since every write is guarded anyway.
			m.owners[s] = shardRecord{Node: m.name, Term: m.token, Lease: m.lease}
		}
	}
	m.synced = true
	m.mu.Unlock()
	m.notify()
}

func (m *Member) change(events []wire.Event) {
	m.mu.Lock()
	relevant := false
	for _, e := range events {
		key := e.Put + e.Delete
		if key == tokenKey {
			m.observeTokenLocked(e.Value)
			continue
		}
		if strings.HasPrefix(key, linkKey) {
			if e.Put != "" && m.onLink != nil {
				m.onLink(e.Value)
			}
			continue
		}
		relevant = true
		if e.Delete != "" {
			m.dropLocked(e.Delete, e.Version)
			continue
		}
		m.applyLocked(e.Put, e.Value, e.Version)
	}
	m.mu.Unlock()
	if relevant {
		m.notify()
	}
}

func (m *Member) applyLocked(key string, value json.RawMessage, version uint64) {
	switch {
	case key == tokenKey:
		m.observeTokenLocked(value)
		return
	case key == transfersKey:
		var r transfersRecord
		if json.Unmarshal(value, &r) == nil {
			m.transfers = r
		}
		return
	case strings.HasPrefix(key, linkKey) && m.onLink != nil:
		m.onLink(value)
		return
	}
	if name, ok := strings.CutPrefix(key, nodeKey); ok {
		var r nodeRecord
		if json.Unmarshal(value, &r) == nil {
			m.nodes[name] = r
		}
		return
	}
	s, ok := shardOf(key)
	var r shardRecord
	if !ok || json.Unmarshal(value, &r) != nil {
		return
	}
	if version < m.newest[s] {
		// Late news. An owner whose watch was behind took the news of its own
		// claim, after it had handed the shard over, for a new claim of its own.
		return
	}
	if v, out := m.limbo[s]; out {
		if version <= v {
			return // from before the hand-over, whose outcome is open
		}
		delete(m.limbo, s)
	}
	m.newest[s] = version
	m.owners[s] = r
	if m.lease != 0 && r.Lease == m.lease {
		// A claim whose answer was lost: without this, the shard would be
		// taken for ever by an owner that does not know of it.
		m.own[s] = max(m.own[s], version)
		return
	}
	if v, mine := m.own[s]; mine && version > v {
		delete(m.own, s) // somebody else wrote it since: it is no longer ours
	}
}

func (m *Member) dropLocked(key string, version uint64) {
	if name, ok := strings.CutPrefix(key, nodeKey); ok {
		r := m.nodes[name]
		m.flaps[name] = !r.steady()
		delete(m.nodes, name)
		m.left[name] = time.Now()
		return
	}
	if s, ok := shardOf(key); ok {
		if v, mine := m.own[s]; mine {
			if version <= v {
				return // an event from before the claim
			}
			delete(m.own, s)
		}
		if v, out := m.limbo[s]; out && version <= v || version < m.newest[s] {
			return
		}
		m.newest[s] = version
		delete(m.limbo, s)
		delete(m.owners, s)
		m.freed[s] = time.Now()
	}
}
