package membership

import (
	"context"
	"fmt"
	"maps"
	"sort"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

type shardRecord struct {
	Node  string `json:"node"`
	Term  uint64 `json:"term"`
	Lease uint64 `json:"lease"`
}

// stagger is how long a controller leaves a freed shard to each one that joined
// after it, and to one whose key has just gone, since that may be a restart: in
// a rolling restart the jobs then go to a controller that was restarted already,
// and stay there. It covers the requests of a joining.
const stagger = 250 * time.Millisecond

// comingBack is how long one whose key has gone is waited for.
const comingBack = time.Second

// ShardKey names the key that says who owns a shard.
func (m *Member) ShardKey(shard int) string { return keyOf(shard) }

func keyOf(shard int) string { return fmt.Sprintf("%s%03d", shardKey, shard) }

func shardOf(key string) (int, bool) {
	rest, ok := strings.CutPrefix(key, shardKey)
	var s int
	if !ok {
		return 0, false
	}
	if _, err := fmt.Sscanf(rest, "%d", &s); err != nil {
		return 0, false
	}
	return s, true
}

// OwnedShards returns the shards owned under a lease that surely holds, with the
// versions of their keys.
func (m *Member) OwnedShards() map[int]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heldLocked() <= 0 {
		return nil
	}
	return m.claimedLocked()
}

// OwnsShard is Own for one shard; it is asked at every grant.
func (m *Member) OwnsShard(shard int) (version uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heldLocked() <= 0 {
		return 0, false
	}
	version, ok = m.own[shard]
	return version, ok
}

// ClaimedShards returns the shards this incarnation has claimed and not lost, even
// while its lease can't be shown to hold.
func (m *Member) ClaimedShards() map[int]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.claimedLocked()
}

func (m *Member) claimedLocked() map[int]uint64 {
	out := make(map[int]uint64, len(m.own))
	for s, v := range m.own {
		out[s] = v
	}
	return out
}

// ShardOwners returns the controllers known to own shards, the one with most first.
func (m *Member) ShardOwners() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := map[string]int{}
	for _, r := range m.owners {
		count[r.Node]++
	}
	names := make([]string, 0, len(count))
	for n := range count {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool {
		if count[names[i]] != count[names[j]] {
			return count[names[i]] > count[names[j]]
		}
		return names[i] < names[j]
	})
	return names
}

// wanted is how many shards each owner should have.
func (m *Member) wantedLocked() int {
	n := max(1, min(m.spread, len(m.nodes)))
	return (m.shards + n - 1) / n
}

func (m *Member) excess() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.own) - m.wantedLocked()
}

// claim takes free shards, up to this controller's share, in one transaction:
// of two controllers that race, one takes them all.
func (m *Member) claim(ctx context.Context) {
	m.mu.Lock()
	var free []int
	room := m.wantedLocked() - len(m.own)
	if m.synced && m.heldLocked() > time.Second {
		behind := m.behindLocked()
		for s := 0; s < m.shards && len(free) < room; s++ {
			if _, taken := m.owners[s]; taken {
				continue
			}
			if at, seen := m.freed[s]; seen {
				if early := time.Until(at.Add(behind)); early > 0 {
					time.AfterFunc(early, m.wakeUp)
					continue
				}
			}
			free = append(free, s)
		}
	}
	lease, term := m.lease, m.token
	m.mu.Unlock()
	if len(free) == 0 {
		return
	}
	unowned := make(map[int]uint64, len(free))
	for _, s := range free {
		unowned[s] = 0
	}
	guards, ops := assign(unowned, shardRecord{Node: m.name, Term: term, Lease: lease})
	cctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	rev, err := m.store.Txn(cctx, guards, ops...)
	if err != nil {
		m.log.Debug("claim failed", "shards", free, "err", err)
		return
	}
	m.mu.Lock()
	if m.lease == lease {
		for _, s := range free {
			m.own[s], m.newest[s] = rev, max(m.newest[s], rev)
			m.owners[s] = shardRecord{Node: m.name, Term: term, Lease: lease}
		}
	}
	m.mu.Unlock()
	m.log.Info("claimed shards", "shards", free)
	m.notify()
}

// assign is the transaction that writes who owns shards, if their keys still have
// these versions; 0: there is none.
func assign(shards map[int]uint64, to shardRecord) (guards []wire.Guard, ops []wire.Op) {
	for s, v := range shards {
		guards = append(guards, wire.Guard{Key: keyOf(s), Version: v})
		ops = append(ops, wire.Op{Put: keyOf(s), Value: to, Lease: to.Lease})
	}
	return guards, ops
}

// behindLocked is how long this controller leaves a freed shard to others: to those
// that joined after it, to one that may be coming back, and, if it ends again and
// again itself, to any that does not.
func (m *Member) behindLocked() time.Duration {
	n := 0
	wait := time.Duration(0)
	for name, r := range m.nodes {
		if name == m.name || !r.steady() {
			continue
		}
		if r.Term > m.joinedAs {
			n++
		}
		if m.short >= unsteady {
			wait = comingBack
		}
	}
	for name, at := range m.left {
		if _, back := m.nodes[name]; !back && time.Since(at) < comingBack && !m.flaps[name] {
			n++
			break
		}
	}
	return wait + time.Duration(n)*stagger
}

// release gives up shards beyond this controller's share. If the outcome is open they
// are taken back, as after a hand-over: else nobody might serve them.
func (m *Member) release(ctx context.Context) {
	m.mu.Lock()
	var guards []wire.Guard
	var ops []wire.Op
	given, lease := map[int]uint64{}, m.lease
	for s := m.shards - 1; s >= 0 && len(m.own) > m.wantedLocked(); s-- {
		if v, ok := m.own[s]; ok {
			delete(m.own, s)
			given[s] = v
			guards = append(guards, wire.Guard{Key: keyOf(s), Version: v})
			ops = append(ops, wire.Op{Delete: keyOf(s)})
		}
	}
	m.mu.Unlock()
	m.notify()
	cctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if _, err := m.store.Txn(cctx, guards, ops...); err != nil {
		m.log.Info("releasing shards failed", "err", err)
		m.mu.Lock()
		if m.lease == lease {
			maps.Copy(m.limbo, given)
		}
		m.mu.Unlock()
	}
}
