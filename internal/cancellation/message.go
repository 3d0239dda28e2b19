package cancellation

import (
	"fmt"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

const (
	maxUpdates = 2000 // in one message; further ones follow in the next
	// maxStamp is 100 years in µs: a higher stamp is invalid.
	maxStamp = 100 * 365 * 24 * 3600 * 1_000_000
)

// Message is exchanged between two controllers with every ping and its response. Stamps are in µs
// since the start of the process that made them.
type Message struct {
	Incarnation     uint64   `json:"life"`            // of the sender's process
	Stamp           int64    `json:"at"`              // time at which the message was made
	EchoIncarnation uint64   `json:"el,omitempty"`    // receiver's incarnation, from its newest message that the sender received
	Echo            int64    `json:"ea,omitempty"`    // stamp of that message
	MayConfirm      bool     `json:"armed,omitempty"` // the sender may confirm cancels
	Ack             uint64   `json:"ack,omitempty"`   // number of the receiver's last update that the sender received
	First           uint64   `json:"first,omitempty"` // number of the first of Updates; numbers start at 1
	Updates         []string `json:"news,omitempty"`  // jobs whose cancel the sender has confirmed or may have confirmed
	More            bool     `json:"more,omitempty"`  // further updates did not fit
}

// MessageFor returns the message to be sent to a peer now. If this controller does not hold its
// lease, the message says that it confirms no cancels.
func (r *Registry) MessageFor(to string) Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.trimLocked(now)
	r.lastStamp = max(r.lastStamp+1, now.Sub(r.startedAt).Microseconds())
	m := Message{Incarnation: r.incarnation, Stamp: r.lastStamp}
	if r.leaseRemaining() > 0 {
		if r.resumeStamp == 0 {
			r.resumeStamp = m.Stamp
		}
		m.MayConfirm = true
	} else {
		r.mayConfirm, r.resumeStamp, r.suspendedAt = false, 0, now
	}
	if p := r.peers[to]; p != nil {
		m.EchoIncarnation, m.Echo, m.Ack = p.incarnation, p.newestStamp, p.updatesReceived
		r.addUpdatesLocked(&m, p)
	}
	return m
}

// addUpdatesLocked adds the updates that the peer has not acknowledged to a message.
func (r *Registry) addUpdatesLocked(m *Message, p *peer) {
	m.First = max(p.updatesAcknowledged, r.droppedUpdates) + 1
	for _, job := range r.updates[min(m.First-1-r.droppedUpdates, uint64(len(r.updates))):] {
		if len(m.Updates) == maxUpdates {
			m.More = true
			return
		}
		m.Updates = append(m.Updates, job.uid)
	}
}

// HandleMessage processes a peer's message. A message from an unconfigured controller or with
// invalid values returns an error and has no effect. Of a late message, only the cancelled jobs are
// recorded.
func (r *Registry) HandleMessage(from string, m *Message) error {
	if err := m.validate(); err != nil {
		return fmt.Errorf("cancellation message from %.40q: %w", from, err)
	}
	now := time.Now()
	r.mu.Lock()
	p := r.peers[from]
	if p == nil {
		r.mu.Unlock()
		return fmt.Errorf("cancellation message from %.40q: no such controller", from)
	}
	added := r.recordLocked(m.Updates, now)
	r.handleLocked(p, m, now)
	r.mu.Unlock()
	r.notifyCancelled(added)
	return nil
}

// validate returns an error if the message has values that no controller sends.
func (m *Message) validate() error {
	invalid := slices.IndexFunc(m.Updates, func(uid string) bool { return !wire.ValidJobID(uid) })
	switch {
	case m.Incarnation == 0 || m.Stamp < 0 || m.Stamp > maxStamp || m.Echo < 0 || m.Echo > maxStamp:
		return fmt.Errorf("incarnation %d, stamp %d, echo %d", m.Incarnation, m.Stamp, m.Echo)
	case invalid >= 0:
		return fmt.Errorf("invalid job ID %.40q", m.Updates[invalid])
	case len(m.Updates) > maxUpdates:
		return fmt.Errorf("%d updates, at most %d are sent", len(m.Updates), maxUpdates)
	}
	return nil
}

// handleLocked updates the knowledge of the sender from a valid message.
func (r *Registry) handleLocked(p *peer, m *Message, now time.Time) {
	if slices.Contains(p.pastIncarnations, m.Incarnation) || m.Incarnation == p.incarnation && m.Stamp <= p.newestStamp {
		return // a late message, which no longer describes its sender
	}
	if m.Incarnation != p.incarnation {
		p.beginIncarnation(m, r.storeReadSent, now)
	}
	p.newestStamp = m.Stamp
	if m.MayConfirm {
		// The message revokes an earlier announcement that no cancels are confirmed. The sender
		// confirms none until this message is echoed, so noConfirmUntil need not be reset earlier.
		p.noConfirmUntil = time.Time{}
	}
	if m.EchoIncarnation != r.incarnation || m.Echo > r.lastStamp || m.Ack > r.droppedUpdates+uint64(len(r.updates)) {
		return // not an echo of this incarnation
	}
	p.updatesAcknowledged, p.echoedStamp = max(p.updatesAcknowledged, m.Ack), max(p.echoedStamp, m.Echo)
	if last := m.First + uint64(len(m.Updates)) - 1; m.First > 0 && last > p.updatesReceived {
		p.updatesReceived = last
	}
	if m.More || !p.pastCovered {
		return
	}
	echo := r.startedAt.Add(time.Duration(m.Echo)*time.Microsecond - stampLead)
	if echo.After(p.knownUntil) {
		p.knownUntil = echo
	}
	if !m.MayConfirm {
		p.noConfirmUntil = echo.Add(time.Duration(float64(resumeConfirmTimeout)*(1-clockDriftMargin)) - noConfirmSlack)
	}
}
