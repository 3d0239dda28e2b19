package membership

import (
	"context"
	"time"

	"github.com/goccy/go-json"
)

const (
	reserveInterval = 5 * time.Second // between two tokens that a controller reserves
	reserveTimeout  = 2 * time.Second
	reservedTokenGap    = 4096 // tokens that may be raised before reserved ones are overtaken
	maxReserved    = 2    // tokens that a controller reserves
)

// tokenRecord is the counter of fencing tokens. Reserved ones are taken from above those
// that are raised as usual, so that they stay the highest until a failover.
type tokenRecord struct {
	Highest             uint64 `json:"n"`               // that was given to any controller, reserved or not
	HighestUnreserved   uint64 `json:"low,omitempty"`   // 0: none is reserved
	LowestReserved      uint64 `json:"floor,omitempty"` // 0: none is reserved
	HighestFirstReserve uint64 `json:"first,omitempty"` // the highest reserved by a controller that had no other
}

// highestInUse is the highest token that was not merely reserved.
func (r tokenRecord) highestInUse() uint64 {
	if r.LowestReserved == 0 {
		return r.Highest
	}
	return r.HighestUnreserved
}

// withTokenAbove gives out a token that is larger than withTokenAbove.
func (r tokenRecord) withTokenAbove(above uint64) tokenRecord {
	if next := max(r.HighestUnreserved, above) + 1; next < r.LowestReserved {
		r.HighestUnreserved = next
		return r
	}
	return r.withHighestToken(above)
}

// withHighestToken gives out a token that is larger than all that were given out, and than above.
func (r tokenRecord) withHighestToken(above uint64) tokenRecord {
	return tokenRecord{Highest: max(r.Highest, above) + 1}
}

// withReservedToken gives out a token, Highest, that is larger than all, and leaves room below it.
func (r tokenRecord) withReservedToken() tokenRecord {
	if r.LowestReserved > 0 {
		r.Highest++
		return r
	}
	token := r.Highest + reservedTokenGap
	return tokenRecord{Highest: token, HighestUnreserved: r.Highest, LowestReserved: token}
}

// withFirstReservedToken is reserved for a controller that has no other.
func (r tokenRecord) withFirstReservedToken() tokenRecord {
	next := r.withReservedToken()
	next.HighestFirstReserve = next.Highest
	return next
}

// reserveToken draws a fencing token ahead of time, unless one is reserved here that is
// higher than every token known to be in use. In an outage of the state service nobody
// can draw one: when a dispatcher ended then, whose token its workers had seen, no other
// could respond to them, and their leases ended. The token comes from the one counter,
// so that it is nobody else's, and is lower than any that a leader draws later to settle
// what ran before.
//
// A second one is drawn when another controller's first is above all reserved here: when
// that one had used it in an outage and ended in its turn, nobody could respond to its
// workers. So two failovers, one after the other, are covered, by whichever controllers.
func (m *Member) reserveToken(ctx context.Context) {
	next, lease := m.nextReservation()
	if next == nil {
		return
	}
	m.reservationsInFlight.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
		defer cancel()
		counter, err := m.updateCounter(ctx, next, nil)
		if err != nil {
			m.log.Debug("reserving a fencing token failed", "err", err)
			return
		}
		m.addReserved(counter.Highest, lease)
	})
}

// nextReservation drops reserved tokens that are overtaken, and returns how to draw
// the next one, if one is due, with the lease it is for.
func (m *Member) nextReservation() (next counterUpdate, lease uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.reservedTokens) > 0 && m.reservedTokens[0] <= m.highestTokenInUse {
		m.reservedTokens = m.reservedTokens[1:]
	}
	if time.Since(m.reservedAt) < reserveInterval {
		return nil, 0
	}
	switch count := len(m.reservedTokens); {
	case count == 0:
		next = tokenRecord.withFirstReservedToken
	case m.reservedTokens[count-1] < m.highestFirstReserve:
		next = tokenRecord.withReservedToken
	default:
		return nil, 0
	}
	m.reservedAt = time.Now()
	return next, m.lease
}

// addReserved keeps a token that was reserved under a lease, if that is still held.
func (m *Member) addReserved(token, lease uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease != lease {
		return
	}
	if len(m.reservedTokens) == maxReserved {
		m.reservedTokens = m.reservedTokens[:maxReserved-1] // the highest is not high enough any more
	}
	m.reservedTokens = append(m.reservedTokens, token)
}

// ReservedTokenAbove makes the lowest reserved token that is larger than above this
// controller's fencing token, and returns it; 0: there is none. It is for responding to
// workers when RaiseTokenAbove fails, and there is none while the lease holds: a token
// used for one lost response would overtake all that others reserved.
func (m *Member) ReservedTokenAbove(above uint64) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.token > above {
		return m.token
	}
	if m.leaseRemainingLocked() > 0 {
		return 0
	}
	for i, token := range m.reservedTokens {
		if token > above {
			m.token, m.reservedTokens = token, m.reservedTokens[i+1:]
			m.highestTokenInUse = max(m.highestTokenInUse, m.token)
			m.log.Info("reserved fencing token in use", "fencing_token", m.token, "above", above)
			return m.token
		}
	}
	return 0
}

// observeCounterLocked notes which tokens are in use.
func (m *Member) observeCounterLocked(value json.RawMessage) {
	var counter tokenRecord
	if json.Unmarshal(value, &counter) == nil {
		m.highestTokenInUse = max(m.highestTokenInUse, counter.highestInUse())
		m.highestFirstReserve = counter.HighestFirstReserve
	}
}
