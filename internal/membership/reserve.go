package membership

import (
	"context"
	"time"

	"github.com/goccy/go-json"
)

const (
	reserveEvery   = 5 * time.Second // between terms that a controller reserves
	reserveTimeout = 2 * time.Second
	reserveAbove   = 4096 // terms that may be raised before reserved ones are overtaken
	mostReserved   = 2    // terms that a controller reserves
)

// tokenRecord is the counter of terms. Reserved ones are taken from above those that are
// raised as usual, so that they stay the highest until shards are taken over.
type tokenRecord struct {
	N     uint64 `json:"n"`               // the highest that was given to anybody, reserved or not
	Low   uint64 `json:"low,omitempty"`   // the highest below those reserved; 0: none is reserved
	Floor uint64 `json:"floor,omitempty"` // the lowest reserved; 0: none is
	First uint64 `json:"first,omitempty"` // the highest reserved by a controller that had no other
}

// inUse is the highest term that was not merely reserved.
func (r tokenRecord) inUse() uint64 {
	if r.Floor == 0 {
		return r.N
	}
	return r.Low
}

// above gives out a term that is larger than some.
func (r tokenRecord) above(above uint64) tokenRecord {
	if next := max(r.Low, above) + 1; next < r.Floor {
		return tokenRecord{N: r.N, Low: next, Floor: r.Floor, First: r.First}
	}
	return r.highest(above)
}

// highest gives out a term that is larger than all that were given, and than some.
func (r tokenRecord) highest(above uint64) tokenRecord { return tokenRecord{N: max(r.N, above) + 1} }

// reserved gives out a term, N, that is larger than all, and leaves room below it.
func (r tokenRecord) reserved() tokenRecord {
	if r.Floor > 0 {
		return tokenRecord{N: r.N + 1, Low: r.Low, Floor: r.Floor, First: r.First}
	}
	term := r.N + reserveAbove
	return tokenRecord{N: term, Low: r.N, Floor: term}
}

// reservedFirst is reserved for a controller that has no other.
func (r tokenRecord) reservedFirst() tokenRecord {
	next := r.reserved()
	next.First = next.N
	return next
}

// reserve draws a term ahead of time, unless there is one in hand that is higher than every
// term known to be in use. While the state service is out nobody can draw one: when a holder
// ended then, whose token its workers had seen, no other could answer them, and their leases
// ended. It comes from the one counter, so that it is nobody else's, and lower than any that
// an owner draws later to settle what ran before.
//
// A second one is drawn when another controller's first is above all in hand: when that one
// took over in an outage and ended in its turn, nobody could answer its workers. So two may
// take over, one after the other, whoever they are.
func (m *Member) reserve(ctx context.Context) {
	m.mu.Lock()
	for len(m.reservedTokens) > 0 && m.reservedTokens[0] <= m.used {
		m.reservedTokens = m.reservedTokens[1:]
	}
	next := tokenRecord.reserved
	if len(m.reservedTokens) == 0 {
		next = tokenRecord.reservedFirst
	}
	due := (len(m.reservedTokens) == 0 || m.reservedTokens[len(m.reservedTokens)-1] < m.first) && time.Since(m.reservedAt) >= reserveEvery
	lease := m.lease
	if due {
		m.reservedAt = time.Now()
	}
	m.mu.Unlock()
	if !due {
		return
	}
	m.reserving.Add(1)
	go func() {
		defer m.reserving.Done()
		ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
		defer cancel()
		rec, err := m.draw(ctx, next, nil)
		if err != nil {
			m.log.Debug("reserving a term failed", "err", err)
			return
		}
		m.mu.Lock()
		if m.lease == lease {
			if len(m.reservedTokens) == mostReserved {
				m.reservedTokens = m.reservedTokens[:mostReserved-1] // the highest is not high enough any more
			}
			m.reservedTokens = append(m.reservedTokens, rec.N)
		}
		m.mu.Unlock()
	}()
}

// ReservedTokenAbove makes the lowest reserved term that is larger than above this controller's term, and
// returns it; 0: there is none. It is for answering workers when Raise fails, and there is
// none while the lease holds: a term used for one lost answer would overtake all that others
// reserved.
func (m *Member) ReservedTokenAbove(above uint64) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.token > above {
		return m.token
	}
	if m.heldLocked() > 0 {
		return 0
	}
	for i, spare := range m.reservedTokens {
		if spare > above {
			m.token, m.reservedTokens = spare, m.reservedTokens[i+1:]
			m.used = max(m.used, m.token)
			m.log.Info("took the reserved term", "term", m.token, "above", above)
			return m.token
		}
	}
	return 0
}

// observeTokenLocked notes which terms are in use.
func (m *Member) observeTokenLocked(value json.RawMessage) {
	var r tokenRecord
	if json.Unmarshal(value, &r) == nil {
		m.used, m.first = max(m.used, r.inUse()), r.First
	}
}
