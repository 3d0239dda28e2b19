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

// maxRecordedTransfers is how many transfers are remembered.
const maxRecordedTransfers = 16

// RecentTransfers returns how often shards were transferred, by any controller,
// within the given time before now.
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
	shards map[int]uint64 // by the version that it replaces
	fromLease   uint64         // this controller's lease
	to     shardRecord
	record transfersRecord
}

// TransferShards moves all shards led here to another controller, in one
// transaction that attaches their keys to its lease: nobody waits for a lease to
// end, and no shard has two leaders. From the call on this controller leads
// nothing. After an error the shards are reclaimed by writing their keys again,
// which a late copy of the transaction can't survive. It is an error, and nothing
// changes, if the other is not known or nothing is led here.
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

// startTransfer stops leading all shards; their outcome is pending.
func (m *Member) startTransfer(to string) (*transfer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	peer, known := m.nodes[to]
	if !known || to == m.name || len(m.claimed) == 0 || m.leaseRemainingLocked() <= 0 {
		return nil, fmt.Errorf("transfer shards to %s: not there, or nothing to transfer", to)
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

// endTransfer notes the outcome of a transfer: applied as of a revision, or, with
// an error, pending until reclaim settles it.
func (m *Member) endTransfer(ended *transfer, revision uint64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.transferInFlight = false
	if err != nil || m.lease != ended.fromLease {
		return
	}
	for shard, version := range ended.shards {
		m.newestVersions[shard] = max(m.newestVersions[shard], revision)
		if m.pending[shard] == version { // else the watch was faster
			m.leaders[shard] = ended.to
			delete(m.pending, shard)
		}
	}
}

// reclaim takes back shards that were given up with an unknown outcome.
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
		return // tried again
	}
	remaining := m.applyReclaimOutcome(shards, self, revision, conflict)
	if err == nil {
		m.notifyChange()
		return
	}
	// Who leads them now shows in the watch too, but that may be behind: until then this
	// controller took itself for the leader, and told everybody so.
	m.readShards(ctx, slices.Collect(maps.Keys(shards)))
	if remaining {
		m.wakeUp()
	}
}

// reclaimable returns the shards to reclaim, by version, and what to write.
func (m *Member) reclaimable() (shards map[int]uint64, self shardRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// While a transfer is under way, this would race with it, and mostly win: the
	// jobs would stay with a leader that wanted to be rid of them.
	if m.leaseRemainingLocked() > minRemainingToClaim && !m.transferInFlight {
		shards = maps.Clone(m.pending)
	}
	return shards, m.selfLocked()
}

// applyReclaimOutcome notes the outcome of a reclaim: applied as of a revision, or, with a
// conflict, that those shards were given up for good. It reports whether any
// shard is still pending.
func (m *Member) applyReclaimOutcome(shards map[int]uint64, self shardRecord, revision uint64, conflict *statestore.ConflictError) (remaining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease != self.Lease {
		return len(m.pending) > 0
	}
	for shard, version := range shards {
		if conflict != nil && !conflict.Has(shardKey(shard)) {
			// Given up by another transaction, whose outcome is still unknown: dropped
			// with the others, it would stay this controller's, and nobody would serve it.
			continue
		}
		delete(m.pending, shard)
		if conflict == nil {
			m.applyShardLocked(shard, self, revision) // unless the watch has told of a newer leader meanwhile
		}
		// What the watch still brings from before this is out of date.
		m.newestVersions[shard] = max(m.newestVersions[shard], revision, version+1)
	}
	return len(m.pending) > 0
}
