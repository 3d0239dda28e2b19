package membership

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

const joinTimeout = 5 * time.Second

// join revokes the predecessor's lease, opens one, and registers this controller under it with
// a new fencing token.
func (m *Member) join(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	predecessor, err := m.endPredecessor(ctx)
	if err != nil {
		return err
	}
	sent := time.Now()
	lease, err := m.store.GrantLease(ctx, m.ttl)
	if err != nil {
		return fmt.Errorf("open lease: %w", err)
	}
	record := nodeRecord{Lease: lease, JoinedMs: sent.UnixMilli()}
	record.ShortIncarnations = m.countShortIncarnations(&predecessor, &record)
	token, err := m.register(ctx, record)
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	m.beginIncarnation(&record, token, sent)
	m.log.Info("joined", "lease", lease, "fencing_token", token)
	m.notifyChange()
	return nil
}

// endPredecessor reads the registration under this controller's name and revokes its lease.
// The predecessor is an earlier process, or this process before it lost its lease. Its shards
// become free at once instead of when the lease expires. Without a registration the record is
// zero.
func (m *Member) endPredecessor(ctx context.Context) (nodeRecord, error) {
	var predecessor nodeRecord
	key := nodePrefix + m.name
	item, err := m.store.Get(ctx, key)
	if errors.Is(err, statestore.ErrNotFound) {
		return predecessor, nil
	}
	if err != nil {
		return predecessor, fmt.Errorf("read %s: %w", key, err)
	}
	if err := json.Unmarshal(item.Value, &predecessor); err != nil {
		return predecessor, fmt.Errorf("read %s: %w", key, err)
	}
	if err := m.store.RevokeLease(ctx, predecessor.Lease); err != nil && !errors.Is(err, statestore.ErrNotFound) {
		return predecessor, fmt.Errorf("end predecessor's lease: %w", err)
	}
	return predecessor, nil
}

// countShortIncarnations returns the number of consecutive short incarnations before the one that
// record registers; 0 if the previous one was not short. It also stores the lease of this attempt
// to join.
func (m *Member) countShortIncarnations(predecessor, record *nodeRecord) int {
	m.mu.Lock()
	ownAttempt := predecessor.Lease != 0 && predecessor.Lease == m.lastAttemptLease
	m.lastAttemptLease = record.Lease
	m.mu.Unlock()
	switch {
	case ownAttempt:
		return predecessor.ShortIncarnations // an attempt whose response was lost, not a short incarnation
	case predecessor.Lease != 0 && record.JoinedMs-predecessor.JoinedMs < shortIncarnationLimit.Milliseconds():
		return predecessor.ShortIncarnations + 1
	}
	return 0
}

// register draws a fencing token and writes the registration in one transaction. It returns an
// error if this controller's name is still registered.
func (m *Member) register(ctx context.Context, record nodeRecord) (token uint64, err error) {
	if err := m.lockToken(ctx); err != nil {
		return 0, err
	}
	defer m.unlockToken()
	last := m.FencingToken() // of this process's last incarnation; if it was reserved, it may exceed the counter's next token
	next := func(counter tokenRecord) tokenRecord { return counter.withTokenAbove(last) }
	return m.raiseToken(ctx, next, func(token uint64) wire.Txn {
		record.Token = token
		key := nodePrefix + m.name
		return wire.Txn{If: []wire.Guard{{Key: key}}, Then: []wire.Op{{Put: key, Value: record, Lease: record.Lease}}}
	})
}

// beginIncarnation starts an incarnation under a new lease; sent is the time at which the
// request for the lease was sent.
func (m *Member) beginIncarnation(record *nodeRecord, token uint64, sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease, m.renewalSentAt, m.joinedToken, m.shortIncarnations = record.Lease, sent, token, record.ShortIncarnations
	m.claimed, m.pending = map[int]uint64{}, map[int]uint64{}
	for shard, leader := range m.leaders {
		if leader.Lease == record.Lease {
			// A peer saw the new lease and transferred the shard before this controller received
			// the response to its own request. The watch reported the shard before the lease was
			// known as this controller's; without this claim, nobody would serve the shard.
			m.claimed[shard] = m.newestVersions[shard]
		}
	}
}
