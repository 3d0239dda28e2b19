package cancellation

import "time"

const (
	maxPastIncarnations = 32 // of a peer that are remembered
	// clockDriftMargin is four times what two steady clocks may differ by.
	clockDriftMargin = 0.002
	noConfirmSlack   = 100 * time.Millisecond
	stampLead        = time.Millisecond // more than stamps, which are never equal, may run ahead of time
)

// peer is what is known of another controller from its messages.
type peer struct {
	incarnation         uint64
	pastIncarnations    []uint64  // what still comes of them is late
	newestStamp         int64     // of its messages
	updatesReceived     uint64    // its updates up to this number are known here
	updatesAcknowledged uint64    // this controller's updates up to this number are known there
	echoedStamp         int64     // of this controller's newest message that it echoed
	knownUntil          time.Time // all that it confirmed before is known here
	noConfirmUntil      time.Time // it confirms nothing before, unless a message says otherwise
	pastCovered         bool      // what its earlier incarnations confirmed is known here
	needsReadAfter      time.Time // the send from which on a read of the state service makes it so
}

// coveredUntil is the time before which nothing unknown was confirmed.
func (p *peer) coveredUntil() time.Time {
	if p.noConfirmUntil.After(p.knownUntil) {
		return p.noConfirmUntil
	}
	return p.knownUntil
}

// beginIncarnation takes the first message of a new incarnation. What the incarnation
// before confirmed after its last message is known only if it had said that it confirms
// nothing, or from the state service, by a read sent after this incarnation's start.
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

// RecordStoreRead takes the cancelled jobs from a read of all living jobs in the state
// service. sent is the time before the read's first request.
func (r *Registry) RecordStoreRead(sent time.Time, cancelled []string) {
	r.mu.Lock()
	fresh := r.recordLocked(cancelled, time.Now())
	if sent.After(r.storeReadSent) {
		r.storeReadSent = sent
	}
	for _, p := range r.peers {
		p.pastCovered = p.pastCovered || sent.After(p.needsReadAfter)
	}
	r.mu.Unlock()
	r.notifyCancelled(fresh)
}

// KnownUntil returns the time up to which this controller knows of every cancel that any
// controller confirmed; the zero time before the first RecordStoreRead.
func (r *Registry) KnownUntil() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knownUntilLocked()
}

func (r *Registry) knownUntilLocked() time.Time {
	if r.storeReadSent.IsZero() {
		return time.Time{} // nothing is known of what peers had confirmed before this start
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

// NeedsStoreRead reports whether the state service should be read: what peers sent does
// not cover the time up to age ago.
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

// StalePeers returns the names of the peers whose messages do not cover the time up to
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
