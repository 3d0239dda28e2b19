package membership

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	// claimStagger is how long this controller waits, for each controller preferred to it, before it
	// claims a freed shard. It prefers the stable controllers that joined after it, and one whose
	// registration was just deleted, since it may be restarting. So in a
	// rolling restart the jobs move to a controller that has been restarted already, and stay
	// there. claimStagger is longer than the requests for joining take.
	claimStagger = 250 * time.Millisecond
	// restartGracePeriod is how long after its registration was deleted a controller is
	// expected to return.
	restartGracePeriod = time.Second
)

// claim claims free shards, up to this controller's share, in one transaction: if two
// controllers claim the same shards at once, one gets all of them and the other none. It returns
// the time until this controller may claim the next free shard that it leaves to others for now;
// 0 if there is no such shard.
func (m *Member) claim(ctx context.Context) (wait time.Duration) {
	m.mu.Lock()
	free, wait := m.claimableLocked()
	self := m.selfLocked()
	m.mu.Unlock()
	if len(free) == 0 {
		return wait
	}
	leaderless := make(map[int]uint64, len(free))
	for _, shard := range free {
		leaderless[shard] = 0
	}
	revision, err := m.writeClaim(ctx, leaderless, self)
	if err != nil {
		m.log.Debug("claim failed", "shards", free, "err", err)
		if !errors.Is(err, statestore.ErrUnavailable) {
			// Another controller claimed them, or this claim was applied and its response lost.
			// The watch reports either, but may lag.
			m.readShards(ctx, free)
		}
		return wait
	}
	m.mu.Lock()
	if m.lease == self.Lease {
		for _, shard := range free {
			m.applyShardLocked(shard, self, revision) // ignored if the watch has reported a newer leader meanwhile
		}
	}
	m.mu.Unlock()
	m.log.Info("claimed shards", "shards", free, "fencing_token", self.Token, "revision", revision)
	m.notifyChange()
	return wait
}

// writeClaim writes this controller as the leader of shards that have none, and returns the
// revision.
func (m *Member) writeClaim(ctx context.Context, leaderless map[int]uint64, self shardRecord) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, txnTimeout)
	defer cancel()
	txn := assignment(leaderless, self)
	return m.store.Txn(ctx, txn.If, txn.Then...)
}

// selfLocked returns the record of a shard that this controller leads.
func (m *Member) selfLocked() shardRecord {
	return shardRecord{Node: m.name, Token: m.token, Lease: m.lease}
}

// claimableLocked returns the shards to claim now, and the time that claim returns. It returns
// none and 0 before the first listing, and when the lease has at most minRemainingToClaim left.
func (m *Member) claimableLocked() (free []int, wait time.Duration) {
	if !m.listed || m.leaseRemainingLocked() <= minRemainingToClaim {
		return nil, 0
	}
	room := m.shareLocked() - len(m.claimed)
	delay := m.claimDelayLocked()
	for shard := 0; shard < m.shards && len(free) < room; shard++ {
		if _, led := m.leaders[shard]; led {
			continue
		}
		if freedAt, seen := m.freedAt[shard]; seen {
			if remaining := time.Until(freedAt.Add(delay)); remaining > 0 {
				if wait == 0 || remaining < wait {
					wait = remaining
				}
				continue
			}
		}
		free = append(free, shard)
	}
	return free, wait
}

// claimDelayLocked returns how long this controller leaves a freed shard to others:
// claimStagger for each stable controller that joined after it, one claimStagger more if any
// stable controller may be restarting, and restartGracePeriod more if this controller is unstable
// and another, stable one is registered.
func (m *Member) claimDelayLocked() time.Duration {
	preferred := 0
	wait := time.Duration(0)
	for name, node := range m.nodes {
		if name == m.name || !node.stable() {
			continue
		}
		if node.Token > m.joinedToken {
			preferred++
		}
		if m.shortIncarnations >= unstableThreshold {
			wait = restartGracePeriod
		}
	}
	for name, leftAt := range m.leftAt {
		if _, returned := m.nodes[name]; !returned && time.Since(leftAt) < restartGracePeriod && !m.leftUnstable[name] {
			preferred++
			break
		}
	}
	return wait + time.Duration(preferred)*claimStagger
}

// assignment returns the transaction that writes the leader of shards, on condition that their
// keys still have the given versions; version 0: the key does not exist.
func assignment(shards map[int]uint64, to shardRecord) (txn wire.Txn) {
	for shard, version := range shards {
		txn.If = append(txn.If, wire.Guard{Key: shardKey(shard), Version: version})
		txn.Then = append(txn.Then, wire.Op{Put: shardKey(shard), Value: to, Lease: to.Lease})
	}
	return txn
}

// releaseExcess releases shards if this controller has led more than its share for longer than
// the lease's TTL. since is the time at which it was first seen to lead more, or zero; the updated
// time is returned.
func (m *Member) releaseExcess(ctx context.Context, since time.Time) time.Time {
	m.mu.Lock()
	excess := len(m.claimed) > m.shareLocked()
	m.mu.Unlock()
	switch {
	case !excess:
		return time.Time{}
	case since.IsZero():
		return time.Now()
	case time.Since(since) > m.ttl:
		m.release(ctx)
	}
	return since
}

// release releases the shards beyond this controller's share. After an error they are
// reclaimed, as after a transfer: otherwise they might have no leader.
func (m *Member) release(ctx context.Context) {
	released, txn, lease := m.startRelease()
	m.notifyChange()
	ctx, cancel := context.WithTimeout(ctx, txnTimeout)
	defer cancel()
	if _, err := m.store.Txn(ctx, txn.If, txn.Then...); err != nil {
		m.log.Info("releasing shards failed", "err", err)
		m.mu.Lock()
		if m.lease == lease {
			maps.Copy(m.pending, released)
		}
		m.mu.Unlock()
	}
}

// startRelease stops leading the shards beyond this controller's share, the highest first. It
// returns them with the versions of their keys, the transaction that frees them, and the
// lease.
func (m *Member) startRelease() (released map[int]uint64, txn wire.Txn, lease uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	released = map[int]uint64{}
	for shard := m.shards - 1; shard >= 0 && len(m.claimed) > m.shareLocked(); shard-- {
		version, ok := m.claimed[shard]
		if !ok {
			continue
		}
		delete(m.claimed, shard)
		released[shard] = version
		txn.If = append(txn.If, wire.Guard{Key: shardKey(shard), Version: version})
		txn.Then = append(txn.Then, wire.Op{Delete: shardKey(shard)})
	}
	return released, txn, m.lease
}
