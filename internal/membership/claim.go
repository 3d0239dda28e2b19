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
	// claimStagger is how long a controller leaves a freed shard to each one that joined
	// after it, and to one whose key has just gone, since that may be a restart: in
	// a rolling restart the jobs then go to a controller that was restarted already,
	// and stay there. It covers the requests of a joining.
	claimStagger = 250 * time.Millisecond
	// restartGracePeriod is how long a controller whose key has gone is waited for.
	restartGracePeriod = time.Second
)

// claim takes free shards, up to this controller's share, in one transaction: of
// two controllers that race, one takes them all. It returns after which time the
// next shard that is left to others for now may be claimed; 0: none is.
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
			// Others claimed them, or this claim was applied and its response lost: the
			// watch tells too, but may be behind.
			m.readShards(ctx, free)
		}
		return wait
	}
	m.mu.Lock()
	if m.lease == self.Lease {
		for _, shard := range free {
			m.applyShardLocked(shard, self, revision) // unless the watch has told of a newer leader meanwhile
		}
	}
	m.mu.Unlock()
	m.log.Info("claimed shards", "shards", free)
	m.notifyChange()
	return wait
}

// writeClaim writes that this controller leads shards which nobody led, and returns the revision.
func (m *Member) writeClaim(ctx context.Context, leaderless map[int]uint64, self shardRecord) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, txnTimeout)
	defer cancel()
	txn := assignment(leaderless, self)
	return m.store.Txn(ctx, txn.If, txn.Then...)
}

// selfLocked is the record of a shard that this controller leads.
func (m *Member) selfLocked() shardRecord {
	return shardRecord{Node: m.name, Token: m.token, Lease: m.lease}
}

// claimableLocked returns the shards to claim now, and when to look again.
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
			if early := time.Until(freedAt.Add(delay)); early > 0 {
				if wait == 0 || early < wait {
					wait = early
				}
				continue
			}
		}
		free = append(free, shard)
	}
	return free, wait
}

// claimDelayLocked is how long this controller leaves a freed shard to others: to
// those that joined after it, to one that may be restarting, and, if it ends again
// and again itself, to any that does not.
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

// assignment is the transaction that writes who leads shards, if their keys still
// have these versions; 0: the key does not exist.
func assignment(shards map[int]uint64, to shardRecord) (txn wire.Txn) {
	for shard, version := range shards {
		txn.If = append(txn.If, wire.Guard{Key: shardKey(shard), Version: version})
		txn.Then = append(txn.Then, wire.Op{Put: shardKey(shard), Value: to, Lease: to.Lease})
	}
	return txn
}

// releaseExcess releases shards once this controller has had more than its share
// for longer than the lease's TTL. It takes and returns since when; zero: it has not.
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

// release gives up shards beyond this controller's share. If the outcome is unknown
// they are reclaimed, as after a transfer: else nobody might serve them.
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

// startRelease stops leading the shards beyond this controller's share, the
// highest first, and returns them by version with the transaction that frees them.
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
