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

// transfersRecord is when jobs were handed over, by time of day, ms. It outlives the
// leases, so that a successor too knows how often they moved.
type transfersRecord struct {
	At []int64 `json:"at"`
}

// maxTransfers is how many hand-overs are remembered.
const maxTransfers = 16

// RecentTransfers returns how often jobs were handed over within a time.
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

// TransferShards gives all shards owned here to another controller, in one
// transaction that attaches their keys to its lease: nobody waits for a lease to
// end, and no shard has two owners. From the call on this controller owns
// nothing. After an error the shards are taken back by writing their keys again,
// which a late copy of the transaction can't survive.
func (m *Member) TransferShards(ctx context.Context, to string) error {
	m.mu.Lock()
	peer, known := m.nodes[to]
	if !known || to == m.name || len(m.own) == 0 || m.heldLocked() <= 0 {
		m.mu.Unlock()
		return fmt.Errorf("hand over to %s: not there, or nothing to give", to)
	}
	given, lease := m.own, m.lease
	m.own = map[int]uint64{}
	maps.Copy(m.limbo, given)
	m.transferring = true
	moves := transfersRecord{append(slices.Clone(m.transfers.At[max(0, len(m.transfers.At)-maxTransfers+1):]), time.Now().UnixMilli())}
	m.mu.Unlock()
	heir := shardRecord{Node: to, Term: peer.Term, Lease: peer.Lease}
	guards, ops := assign(given, heir)
	ops = append(ops, wire.Op{Put: transfersKey, Value: moves})
	m.notify()
	cctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	rev, err := m.store.Txn(cctx, guards, ops...)
	m.mu.Lock()
	m.transferring = false
	if m.lease == lease {
		for s, v := range given {
			if err == nil {
				m.newest[s] = max(m.newest[s], rev)
			}
			if m.limbo[s] != v {
				continue // the watch was faster
			}
			if err == nil {
				m.owners[s] = heir
				delete(m.limbo, s)
			}
		}
	}
	m.mu.Unlock()
	m.notify()
	if err != nil {
		return fmt.Errorf("hand over to %s: %w", to, err)
	}
	m.log.Info("handed over", "to", to, "shards", len(given))
	return nil
}

// reclaim takes back shards whose hand-over has an open outcome.
func (m *Member) reclaim(ctx context.Context) {
	m.mu.Lock()
	var shards map[int]uint64
	self := shardRecord{Node: m.name, Term: m.token, Lease: m.lease}
	if m.heldLocked() > time.Second && !m.transferring {
		// While it is under way, this would race with it, and mostly win.
		shards = maps.Clone(m.limbo)
	}
	m.mu.Unlock()
	if len(shards) == 0 {
		return
	}
	guards, ops := assign(shards, self)
	cctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	rev, err := m.store.Txn(cctx, guards, ops...)
	var conflict *statestore.Conflict
	if err != nil && !errors.As(err, &conflict) {
		return // tried again
	}
	m.mu.Lock()
	if m.lease == self.Lease {
		for s := range shards {
			if conflict != nil && !conflict.Has(keyOf(s)) {
				// Given away by another transaction, whose outcome is still open: dropped
				// with the others, it would stay this controller's, and nobody would serve it.
				continue
			}
			delete(m.limbo, s)
			if err == nil {
				m.own[s] = rev
				m.owners[s] = self
			}
			// If it had been applied, all that the watch still brings of the time
			// before is late.
			m.newest[s] = max(m.newest[s], rev, shards[s]+1)
		}
	}
	left := len(m.limbo) > 0
	m.mu.Unlock()
	switch {
	case err == nil:
		m.notify()
	case left:
		m.wakeUp()
	}
}
