package cancellation

import "time"

const (
	maxPastIncarnations = 32 // remembered for each peer
	// clockDriftMargin is four times the relative rate by which two monotonic clocks may differ.
	clockDriftMargin = 0.002
	noConfirmSlack   = 100 * time.Millisecond // subtracted from the time for which a peer confirms no cancels
	stampLead        = time.Millisecond       // upper bound of how far stamps run ahead of the clock: each is at least 1 µs above the last
)

// peer is what this controller knows about another controller from the other's messages.
type peer struct {
	incarnation         uint64
	pastIncarnations    []uint64  // earlier ones of its process, whose late messages are ignored
	newestStamp         int64     // highest stamp of its messages
	updatesReceived     uint64    // number of its last update that was received here
	updatesAcknowledged uint64    // number of this controller's last update that the peer acknowledged
	echoedStamp         int64     // stamp of this controller's newest message that the peer echoed
	knownUntil          time.Time // all cancels that the peer confirmed before this time are known here
	noConfirmUntil      time.Time // the peer confirms no cancels before this time, unless a message revokes this
	pastCovered         bool      // all cancels that the peer's earlier incarnations confirmed are known here
	needsReadAfter      time.Time // a read of the state service sent after this time sets pastCovered
}

// coveredUntil returns the time up to which all cancels that the peer confirms are known here: up
// to knownUntil they were received, and up to noConfirmUntil there are no further ones.
func (p *peer) coveredUntil() time.Time {
	if p.noConfirmUntil.After(p.knownUntil) {
		return p.noConfirmUntil
	}
	return p.knownUntil
}

// beginIncarnation processes the first message of a new incarnation. Cancels that the previous
// incarnation confirmed after its last message may be unknown, unless it had announced that it
// confirms none, or a read of the state service was sent after the new incarnation started.
func (p *peer) beginIncarnation(m *Message, storeReadSent, now time.Time) {
	latestStart := now.Add(stampLead - time.Duration(float64(m.Stamp)*(1-clockDriftMargin))*time.Microsecond)
	p.pastCovered = p.pastCovered && p.coveredUntil().After(now) || storeReadSent.After(latestStart)
	p.needsReadAfter = latestStart
	if p.incarnation != 0 {
		recent := p.pastIncarnations[max(0, len(p.pastIncarnations)-maxPastIncarnations+1):]
		p.pastIncarnations = append(recent, p.incarnation)
	}
	p.incarnation, p.updatesReceived, p.updatesAcknowledged, p.echoedStamp = m.Incarnation, 0, 0, 0
}

// RecordStoreRead records the cancelled jobs from a read of all living jobs in the state service.
// sent is a time before the first request of the read.
func (r *Registry) RecordStoreRead(sent time.Time, cancelled []string) {
	r.mu.Lock()
	added := r.recordLocked(cancelled, time.Now())
	if sent.After(r.storeReadSent) {
		r.storeReadSent = sent
	}
	for _, p := range r.peers {
		p.pastCovered = p.pastCovered || sent.After(p.needsReadAfter)
	}
	r.mu.Unlock()
	r.notifyCancelled(added)
}

// KnownUntil returns the time up to which every cancel confirmed by any controller is known here.
// It is the zero time before the first RecordStoreRead.
func (r *Registry) KnownUntil() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knownUntilLocked()
}

func (r *Registry) knownUntilLocked() time.Time {
	if r.storeReadSent.IsZero() {
		return time.Time{} // cancels that peers confirmed before this process started may be unknown
	}
	earliest := time.Now()
	for _, p := range r.peers {
		if until := p.coveredUntil(); until.Before(earliest) {
			earliest = until
		}
	}
	if earliest.After(r.storeReadSent) {
		return earliest
	}
	return r.storeReadSent
}

// NeedsStoreRead reports whether the state service should be read: it has not been read yet,
// knowledge of the peers' cancels is older than age, or cancels of a peer's earlier incarnation
// may be unknown.
func (r *Registry) NeedsStoreRead(age time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.storeReadSent.IsZero() {
		return true
	}
	for _, p := range r.peers {
		if !p.pastCovered && p.incarnation != 0 {
			return true
		}
	}
	return now.Sub(r.knownUntilLocked()) > age
}

// StalePeers returns the names of the peers whose cancels are known only up to a time more than
// age ago.
func (r *Registry) StalePeers(age time.Duration) (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for name, p := range r.peers {
		if now.Sub(p.coveredUntil()) > age {
			names = append(names, name)
		}
	}
	return names
}
