package membership

import (
	"context"
	"maps"
	"sort"
)

// ShardKey returns the key of the record that names a shard's leader.
func (m *Member) ShardKey(shard int) string { return shardKey(shard) }

// LedShards returns the shards led under a lease that is certain to hold, with the versions of
// their keys; nil if the lease may have ended.
func (m *Member) LedShards() map[int]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaseRemainingLocked() <= 0 {
		return nil
	}
	return m.claimedLocked()
}

// LeadsShard is LedShards for one shard, without allocation: it is called for every grant.
func (m *Member) LeadsShard(shard int) (version uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaseRemainingLocked() <= 0 {
		return 0, false
	}
	version, ok = m.claimed[shard]
	return version, ok
}

// ClaimedShards returns the shards that this incarnation has claimed and not lost, with the
// versions of their keys, even if its lease may have ended.
func (m *Member) ClaimedShards() map[int]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.claimedLocked()
}

func (m *Member) claimedLocked() map[int]uint64 {
	claimed := make(map[int]uint64, len(m.claimed))
	maps.Copy(claimed, m.claimed)
	return claimed
}

// ShardLeaders returns the names of the controllers known to lead shards, in descending order
// of their number of shards.
func (m *Member) ShardLeaders() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := map[string]int{}
	for _, leader := range m.leaders {
		counts[leader.Node]++
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		if counts[names[i]] != counts[names[j]] {
			return counts[names[i]] > counts[names[j]]
		}
		return names[i] < names[j]
	})
	return names
}

// ReadShards reads the leaders of all shards from the state service, for use when the watch
// may lag. Without it, a controller to which shards are transferred would lead them seconds
// later than it could. A shard whose key was deleted or can't be read is left as it is known.
func (m *Member) ReadShards(ctx context.Context) {
	shards := make([]int, m.shards)
	for shard := range shards {
		shards[shard] = shard
	}
	m.readShards(ctx, shards)
}

// readShards reads the leaders of some shards.
func (m *Member) readShards(ctx context.Context, shards []int) {
	ctx, cancel := context.WithTimeout(ctx, txnTimeout)
	defer cancel()
	changed := false
	for _, shard := range shards {
		item, err := m.store.Get(ctx, shardKey(shard))
		if err != nil {
			m.log.Debug("shard not read", "shard", shard, "err", err)
			continue
		}
		m.mu.Lock()
		before, led := m.leaders[shard]
		m.applyRecordLocked(item.Key, item.Value, item.Version)
		changed = changed || !led || m.leaders[shard] != before
		m.mu.Unlock()
	}
	if changed {
		m.notifyChange()
	}
}

// shareLocked returns the number of shards that each controller should lead.
func (m *Member) shareLocked() int {
	controllers := max(1, min(m.spread, len(m.nodes)))
	return (m.shards + controllers - 1) / controllers
}
