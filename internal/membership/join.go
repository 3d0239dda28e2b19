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

type nodeRecord struct {
	Lease  uint64 `json:"lease"`
	Term   uint64 `json:"term"`
	Joined int64  `json:"joined,omitempty"` // by its own time of day, ms
	Short  int    `json:"short,omitempty"`  // lives before this one, in a row, that were short
}

const (
	shortLife = 15 * time.Second
	unsteady  = 3 // short lives in a row from which on a controller is not to own jobs if another can
)

func (r *nodeRecord) steady() bool { return r.Short < unsteady }

// Alive reports whether a controller's lease has not ended, as far as is known here.
func (m *Member) Alive(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.nodes[name]
	return ok
}

// LeaseRemaining returns how much longer the lease surely holds: it counts from the
// send of the last good touch, less drift.
func (m *Member) LeaseRemaining() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heldLocked()
}

func (m *Member) heldLocked() time.Duration {
	if m.lease == 0 {
		return 0
	}
	safe := m.ttl - time.Duration(float64(m.ttl)*driftRate) - slack
	return max(0, safe-time.Since(m.goodSend))
}

// Run joins, renews the lease, follows the others and claims shards until ctx
// ends. A lost lease makes a new incarnation.
func (m *Member) Run(ctx context.Context) error {
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		m.store.Watch(ctx, prefix, 20*time.Second, m.reset, m.change)
	}()
	for n := 0; ctx.Err() == nil; n++ {
		if err := m.join(ctx); err != nil {
			m.log.Info("joining failed", "err", err)
			statestore.Backoff(ctx, n, 100*time.Millisecond, time.Second)
			continue
		}
		n = 0
		m.hold(ctx)
		m.lost()
	}
	<-watching
	m.reserving.Wait()
	return ctx.Err()
}

func (m *Member) join(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	key := nodeKey + m.name
	var old nodeRecord
	it, err := m.store.Get(ctx, key)
	if err == nil {
		if err := json.Unmarshal(it.Value, &old); err != nil {
			return fmt.Errorf("read %s: %w", key, err)
		}
		// The predecessor is dead, or is this process before it lost its
		// lease: its shards are freed at once instead of when the lease ends.
		if err := m.store.RevokeLease(ctx, old.Lease); err != nil && !errors.Is(err, statestore.ErrNotFound) {
			return fmt.Errorf("end predecessor's lease: %w", err)
		}
	} else if !errors.Is(err, statestore.ErrNotFound) {
		return fmt.Errorf("read %s: %w", key, err)
	}
	sent := time.Now()
	lease, err := m.store.GrantLease(ctx, m.ttl)
	if err != nil {
		return fmt.Errorf("open lease: %w", err)
	}
	rec := nodeRecord{Lease: lease, Joined: sent.UnixMilli()}
	m.mu.Lock()
	own := old.Lease != 0 && old.Lease == m.tried
	m.tried = lease
	m.mu.Unlock()
	switch {
	case own:
		rec.Short = old.Short // its own try, whose answer was lost: no life that was short
	case old.Lease != 0 && rec.Joined-old.Joined < shortLife.Milliseconds():
		rec.Short = old.Short + 1
	}
	if err := m.startRaise(ctx); err != nil {
		return fmt.Errorf("register: %w", err)
	}
	last := m.FencingToken() // of this process's last incarnation; a reserved one may be above the counter's next
	term, err := m.raiseLocked(ctx, func(r tokenRecord) tokenRecord { return r.above(last) }, func(term uint64) ([]wire.Guard, []wire.Op) {
		rec.Term = term
		return []wire.Guard{{Key: key}}, []wire.Op{{Put: key, Value: rec, Lease: lease}}
	})
	m.endRaise()
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	m.mu.Lock()
	m.lease, m.goodSend, m.joinedAs, m.short = lease, sent, term, rec.Short
	m.own, m.limbo = map[int]uint64{}, map[int]uint64{}
	for s, r := range m.owners {
		if r.Lease == lease {
			// Handed over by a peer that saw the new lease before its own holder had the
			// answer: the watch told of it too early, and nobody would serve the shard.
			m.own[s] = m.newest[s]
		}
	}
	m.mu.Unlock()
	m.log.Info("joined", "lease", lease, "term", term)
	m.notify()
	return nil
}

func (m *Member) hold(ctx context.Context) {
	tick := time.NewTimer(m.ttl / 5)
	defer tick.Stop()
	var excessSince time.Time
	for {
		m.reclaim(ctx)
		m.claim(ctx)
		if m.excess() > 0 {
			if excessSince.IsZero() {
				excessSince = time.Now()
			} else if time.Since(excessSince) > m.ttl {
				m.release(ctx)
			}
		} else {
			excessSince = time.Time{}
		}
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
			continue
		case <-tick.C:
		}
		m.mu.Lock()
		lease := m.lease
		m.mu.Unlock()
		sent := time.Now()
		tctx, cancel := context.WithTimeout(ctx, m.ttl/4)
		err := m.store.RenewLease(tctx, lease)
		cancel()
		next := m.ttl / 5
		if errors.Is(err, statestore.ErrUnavailable) {
			next = m.ttl / 20 // refused at once, perhaps as one request too many
		}
		tick.Reset(next)
		switch {
		case err == nil:
			m.mu.Lock()
			was := m.heldLocked()
			m.goodSend = sent
			m.mu.Unlock()
			m.reserve(ctx)
			if was <= 0 {
				m.log.Info("lease holds again")
				m.notify()
			}
		case errors.Is(err, statestore.ErrNotFound):
			m.log.Info("lease lost", "lease", lease)
			return
		default:
			m.log.Debug("touch failed", "err", err)
		}
	}
}

func (m *Member) lost() {
	m.mu.Lock()
	m.lease, m.reservedTokens = 0, nil
	m.own, m.limbo = map[int]uint64{}, map[int]uint64{}
	m.mu.Unlock()
	m.notify()
}
