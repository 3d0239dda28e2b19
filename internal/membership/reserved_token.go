package membership

import (
	"context"
	"time"

	"github.com/goccy/go-json"
)

const (
	reserveInterval  = 5 * time.Second // between two reservations by a controller
	reserveTimeout   = 2 * time.Second
	reservedTokenGap = 4096 // unreserved tokens that can be drawn before the reserved ones are overtaken
	maxReserved      = 2    // reserved tokens that a controller holds at most
)

// tokenRecord is the counter of fencing tokens. Reserved tokens come from a range above the
// unreserved ones, so that they stay the highest until a failover.
type tokenRecord struct {
	Highest             uint64 `json:"n"`               // highest token drawn by any controller, reserved or not
	HighestUnreserved   uint64 `json:"low,omitempty"`   // highest token drawn below the reserved ones; 0: none is reserved
	LowestReserved      uint64 `json:"floor,omitempty"` // 0: none is reserved
	HighestFirstReserve uint64 `json:"first,omitempty"` // highest token reserved by a controller that had no other reserved one
}

// highestInUse returns the highest token that is not reserved.
func (r tokenRecord) highestInUse() uint64 {
	if r.LowestReserved == 0 {
		return r.Highest
	}
	return r.HighestUnreserved
}

// withTokenAbove returns the counter after the draw of a token that is larger than the parameter
// above and, if possible, lower than the reserved ones.
func (r tokenRecord) withTokenAbove(above uint64) tokenRecord {
	if next := max(r.HighestUnreserved, above) + 1; next < r.LowestReserved {
		r.HighestUnreserved = next
		return r
	}
	return r.withHighestToken(above)
}

// withHighestToken returns the counter after the draw of a token that is larger than the parameter
// above and than all tokens drawn before, including the reserved ones.
func (r tokenRecord) withHighestToken(above uint64) tokenRecord {
	return tokenRecord{Highest: max(r.Highest, above) + 1}
}

// withReservedToken returns the counter after a token, Highest, is reserved. The token is
// larger than all others, and the first reserved one leaves a gap for unreserved ones below
// it.
func (r tokenRecord) withReservedToken() tokenRecord {
	if r.LowestReserved > 0 {
		r.Highest++
		return r
	}
	token := r.Highest + reservedTokenGap
	return tokenRecord{Highest: token, HighestUnreserved: r.Highest, LowestReserved: token}
}

// withFirstReservedToken is withReservedToken for a controller that holds no other reserved
// token.
func (r tokenRecord) withFirstReservedToken() tokenRecord {
	next := r.withReservedToken()
	next.HighestFirstReserve = next.Highest
	return next
}

// reserveToken draws a fencing token ahead of time, unless this controller holds a reserved
// one that is higher than every token known to be in use. In an outage of the state service no
// token can be drawn. If a dispatcher then ended whose workers have seen its token, no other
// controller could respond to these workers, and their leases would end. The token comes from the
// common counter, so that no other controller uses it, and is lower than any that a leader
// draws later in its failover.
//
// A second token is reserved when another controller's first reserved token is higher than all
// reserved here. Otherwise, if that controller used its token in an outage and then ended, no
// controller could respond to its workers. So two consecutive failovers are covered, whichever controllers they
// involve.
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

// nextReservation drops reserved tokens that are overtaken. If a reservation is due, it
// returns the counter's update and the lease that the token is for.
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

// addReserved adds a token that was reserved under a lease, if the lease is still held.
func (m *Member) addReserved(token, lease uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease != lease {
		return
	}
	if len(m.reservedTokens) == maxReserved {
		m.reservedTokens = m.reservedTokens[:maxReserved-1] // the last one is no longer high enough
	}
	m.reservedTokens = append(m.reservedTokens, token)
}

// ReservedTokenAbove takes the lowest reserved token that is larger than the parameter above as
// this controller's fencing token, and returns it; 0 if there is none. If the current token is
// large enough, it is returned instead. Call ReservedTokenAbove for responses to workers when
// RaiseTokenAbove fails. While the lease holds, no reserved token is used and 0 is returned: a
// token used after a single lost response would overtake all that others reserved.
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

// observeCounterLocked updates the highest tokens in use and reserved from the counter's
// record.
func (m *Member) observeCounterLocked(value json.RawMessage) {
	var counter tokenRecord
	if json.Unmarshal(value, &counter) == nil {
		m.highestTokenInUse = max(m.highestTokenInUse, counter.highestInUse())
		m.highestFirstReserve = counter.HighestFirstReserve
	}
}
