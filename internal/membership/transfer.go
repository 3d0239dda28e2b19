package membership

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// maxRecordedTransfers is the number of transfers whose times are recorded.
const maxRecordedTransfers = 16

// RecentTransfers returns the number of transfers of shards, by any controller, within the
// given time before now.
func (m *Member) RecentTransfers(within time.Duration) (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from := time.Now().Add(-within).UnixMilli()
	for _, at := range m.transfers.At {
		if at > from {
			n++
		}
	}
	return n
}

// transfer is one transaction that moves all shards led here to a peer.
type transfer struct {
	shards    map[int]uint64 // with the versions of their keys, which the transaction replaces
	fromLease uint64         // this controller's lease
	to        shardRecord
	record    transfersRecord
}

// TransferShards moves all shards led here to another controller, in one transaction that
// attaches their keys to its lease: no lease has to expire first, and no shard has two
// leaders. This controller stops leading the shards before it sends the transaction. After an
// error the shards are reclaimed by writing their keys again, so that a late copy of the
// transaction fails its conditions. TransferShards returns an error and changes nothing if the other controller is not known or is
// this one, if this one leads nothing, or if its lease may have ended.
func (m *Member) TransferShards(ctx context.Context, to string) error {
	started, err := m.startTransfer(to)
	if err != nil {
		return err
	}
	txn := assignment(started.shards, started.to)
	txn.Then = append(txn.Then, wire.Op{Put: transfersKey, Value: started.record})
	m.notifyChange()
	ctx, cancel := context.WithTimeout(ctx, txnTimeout)
	defer cancel()
	revision, err := m.store.Txn(ctx, txn.If, txn.Then...)
	m.endTransfer(started, revision, err)
	m.notifyChange()
	if err != nil {
		return fmt.Errorf("transfer shards to %s: %w", to, err)
	}
	m.log.Info("shards transferred", "peer", to, "shards", len(started.shards))
	return nil
}

// startTransfer stops leading all shards, and marks them as pending. It returns an error in the
// cases in which TransferShards changes nothing.
func (m *Member) startTransfer(to string) (*transfer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	peer, known := m.nodes[to]
	if !known || to == m.name || len(m.claimed) == 0 || m.leaseRemainingLocked() <= 0 {
		return nil, fmt.Errorf("transfer shards to %s: unknown peer, or no shards to transfer", to)
	}
	started := &transfer{
		shards: m.claimed, fromLease: m.lease,
		to: shardRecord{Node: to, Token: peer.Token, Lease: peer.Lease},
	}
	m.claimed = map[int]uint64{}
	maps.Copy(m.pending, started.shards)
	m.transferInFlight = true
	recent := m.transfers.At[max(0, len(m.transfers.At)-maxRecordedTransfers+1):]
	started.record.At = append(slices.Clone(recent), time.Now().UnixMilli())
	return started, nil
}

// endTransfer records the outcome of a transfer. Without an error it was applied as of the
// revision. After an error the shards stay pending until reclaim settles the outcome. Nothing is
// recorded if the lease has changed since the transfer started.
func (m *Member) endTransfer(ended *transfer, revision uint64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.transferInFlight = false
	if err != nil || m.lease != ended.fromLease {
		return
	}
	for shard, version := range ended.shards {
		m.newestVersions[shard] = max(m.newestVersions[shard], revision)
		if m.pending[shard] == version { // otherwise the watch has already reported a newer record
			m.leaders[shard] = ended.to
			delete(m.pending, shard)
		}
	}
}

// reclaim writes this controller as the leader of the shards that it gave up by a transaction of
// unknown outcome. If the transaction was applied, the write fails and the shards are read.
func (m *Member) reclaim(ctx context.Context) {
	shards, self := m.reclaimable()
	if len(shards) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, txnTimeout)
	defer cancel()
	txn := assignment(shards, self)
	revision, err := m.store.Txn(ctx, txn.If, txn.Then...)
	var conflict *statestore.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return // the next call tries again
	}
	remaining := m.applyReclaimOutcome(shards, self, revision, conflict)
	if err == nil {
		m.notifyChange()
		return
	}
	// The watch reports the present leaders too, but may lag: until it does, this controller would
	// regard itself as the leader, and tell all others so.
	m.readShards(ctx, slices.Collect(maps.Keys(shards)))
	if remaining {
		m.wakeUp()
	}
}

// reclaimable returns the shards to reclaim, with the versions of their keys, and the record
// to write.
func (m *Member) reclaimable() (shards map[int]uint64, self shardRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// During a transfer the reclaim would race with it, and usually win: the jobs would stay
	// with a leader that is giving them up.
	if m.leaseRemainingLocked() > minRemainingToClaim && !m.transferInFlight {
		shards = maps.Clone(m.pending)
	}
	return shards, m.selfLocked()
}

// applyReclaimOutcome records the outcome of a reclaim. Without a conflict it was applied as of
// the revision. With one, the shards in conflict were given up for good, and the others stay
// pending. Nothing is recorded if the lease has changed since. It reports whether any shard is still
// pending.
func (m *Member) applyReclaimOutcome(shards map[int]uint64, self shardRecord, revision uint64, conflict *statestore.ConflictError) (remaining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease != self.Lease {
		return len(m.pending) > 0
	}
	for shard, version := range shards {
		if conflict != nil && !conflict.Has(shardKey(shard)) {
			// Given up by another transaction, whose outcome is still unknown. If the shard
			// were dropped from pending with the others, its record could still name this
			// controller, and nobody would serve it.
			continue
		}
		delete(m.pending, shard)
		if conflict == nil {
			m.applyShardLocked(shard, self, revision) // ignored if the watch has reported a newer leader meanwhile
		}
		// The watch may still report records from before the reclaim or, after a conflict, up to the
		// version that was given up: they are out of date.
		m.newestVersions[shard] = max(m.newestVersions[shard], revision, version+1)
	}
	return len(m.pending) > 0
}
