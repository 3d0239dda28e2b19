// Package cancellation is what a controller knows of jobs that were cancelled: which
// ones, so that any controller may stop their tasks and none starts them, and up
// to which time it surely knows all of them, so that one that can't know stops
// answering workers before a task can outlive the limit for cancels.
//
// A controller confirms a cancel to a user only through Confirm, which puts it
// into its news for every peer first. What it knows by a peer's word counts up to
// the send of its own message that the peer's message echoes: whatever the peer
// had confirmed by then is in the peer's news. What it knows by the state service
// counts up to the send of a read of all living jobs, since a cancel is recorded
// there before it is confirmed. docs/meetings.md has the arithmetic.
package cancellation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

const (
	// maxUpdates bounds the jobs in one message; the rest follows in the next.
	maxUpdates = 2000
	maxPast    = 32 // lives of a peer that are remembered
	// maxStamp is a century, in µs: what is beyond is no stamp.
	maxStamp = 100 * 365 * 24 * 3600 * 1_000_000
	// MaxJobs bounds the jobs that are kept.
	MaxJobs = 16384
	// arm is how long a controller that has said that it can't confirm cancels
	// confirms none, unless all peers have heard that it can again: longer than a
	// process usually takes to be back.
	arm = 10 * time.Second
	// drift is four times what two steady clocks may differ by.
	drift = 0.002
	slack = 100 * time.Millisecond
	ahead = time.Millisecond // more than stamps, which are never equal, may run ahead of time
)

// ErrCannotConfirm means that a cancel can't be confirmed at present: peers that might
// not hear of it have been told that nothing is confirmed here.
var ErrCannotConfirm = errors.New("no cancel can be confirmed here now")

// Message is what one controller tells another of cancels, with every ping and its
// answer.
type Message struct {
	Incarnation     uint64   `json:"life"`            // of the sender's process
	Stamp           int64    `json:"at"`              // when it was made, µs since that process's start
	EchoIncarnation uint64   `json:"el,omitempty"`    // the receiver's life and stamp, of its newest message that had come
	Echo            int64    `json:"ea,omitempty"`    //
	MayConfirm      bool     `json:"armed,omitempty"` // the sender may confirm cancels
	Ack             uint64   `json:"ack,omitempty"`   // the receiver's news that had come: so many
	First           uint64   `json:"first,omitempty"` // number of the first of News; the first ever is 1
	Updates         []string `json:"news,omitempty"`  // jobs whose cancel the sender confirmed, or may have
	More            bool     `json:"more,omitempty"`  // there are more than fit
}

// peer is what is known of a peer's word.
type peer struct {
	incarnation  uint64
	past         []uint64  // earlier ones: what still comes of them is late
	stamp        int64     // of its newest message
	lastMessage  uint64    // its news up to this number are known here
	acknowledged uint64    // this controller's news up to this number are known there
	echoed       int64     // the stamp of this controller's newest message that it echoed
	known        time.Time // all that it confirmed before is known here
	quiet        time.Time // until then it confirms nothing, unless it is heard to say otherwise
	covered      bool      // what its earlier lives confirmed is known here
	needs        time.Time // the send from which on a read of the state service makes it so
}

// until is the time before which nothing unknown was confirmed.
func (p *peer) until() time.Time {
	if p.quiet.After(p.known) {
		return p.quiet
	}
	return p.known
}

type entry struct {
	uid string
	at  time.Time
}

// Registry is a controller's knowledge of cancels. It is safe for concurrent use.
type Registry struct {
	held        func() time.Duration // how much longer this controller's lease surely holds
	keep        time.Duration        // for which a cancelled job is kept
	least       time.Duration        // and at least, if there are too many
	incarnation uint64
	start       time.Time

	onCancelled func(uids []string)
	onUpdates   func()

	mu      sync.Mutex
	peers   map[string]*peer
	jobs    map[string]time.Time // since when known
	order   []entry              // of jobs, the oldest first
	updates []entry              // confirmed here
	mine    map[string]bool      // the jobs in news
	base    uint64               // news that were dropped from the front
	read    time.Time            // the send of the newest read of the state service
	armed   bool
	disarms time.Time // when this controller last said that it confirms nothing
	rearmed int64     // stamp of the first message since that says otherwise; 0: none
	stamp   int64     // of the last message
}

// Options are what a registry needs of the rest of its process.
type Options struct {
	Peers          []string
	Limit          time.Duration        // how long a cancelled task may go on
	LeaseRemaining func() time.Duration // how much longer this controller's lease surely holds

	OnCancelled func(uids []string) // called, without any lock held, with jobs that were not known to be cancelled; nil: nobody is
	OnUpdates   func()              // called, without any lock held, when there are updates for the peers; nil: nobody is
}

// New returns a registry that knows nothing: it has to read the state service
// before it attests anything.
func New(o Options) *Registry {
	now := time.Now()
	r := &Registry{
		held: o.LeaseRemaining, keep: 10*time.Minute + o.Limit, least: 2 * o.Limit, onCancelled: o.OnCancelled, onUpdates: o.OnUpdates, incarnation: rand.Uint64() | 1, start: now,
		peers: map[string]*peer{}, jobs: map[string]time.Time{}, mine: map[string]bool{}, disarms: now,
	}
	for _, p := range o.Peers {
		r.peers[p] = &peer{needs: now}
	}
	return r
}

// IsCancelled reports whether the job is known to be cancelled.
func (r *Registry) IsCancelled(uid string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.jobs[uid]
	return ok
}

// RecordCancelled notes that jobs were cancelled, as the state service says.
func (r *Registry) RecordCancelled(uids ...string) {
	r.mu.Lock()
	fresh := r.recordLocked(uids, time.Now())
	r.mu.Unlock()
	r.notifyPeers(fresh)
}

func (r *Registry) recordLocked(uids []string, now time.Time) (fresh []string) {
	for _, uid := range uids {
		if _, known := r.jobs[uid]; known || !wire.ValidJobID(uid) {
			continue
		}
		r.jobs[uid] = now
		r.order = append(r.order, entry{uid, now})
		fresh = append(fresh, uid)
	}
	r.trimLocked(now)
	return fresh
}

func (r *Registry) notifyPeers(fresh []string) {
	if len(fresh) > 0 && r.onCancelled != nil {
		r.onCancelled(fresh)
	}
}

// trimLocked drops what is surely over. Jobs beyond Most are dropped early, but not
// before their tasks must be gone.
func (r *Registry) trimLocked(now time.Time) {
	old := func(es []entry) bool {
		if len(es) == 0 {
			return false
		}
		age := now.Sub(es[0].at)
		return age > r.keep || len(es) > MaxJobs && age > r.least
	}
	for old(r.order) {
		delete(r.jobs, r.order[0].uid)
		r.order = r.order[1:]
	}
	for old(r.updates) {
		delete(r.mine, r.updates[0].uid)
		r.updates = r.updates[1:]
		r.base++
	}
}

// Confirm is called before a user is told that a job is cancelled, by this
// controller or on another's word. With an error the user must not be told.
func (r *Registry) Confirm(uid string) error {
	r.mu.Lock()
	now := time.Now()
	fresh := r.recordLocked([]string{uid}, now) // it is cancelled, confirmed or not
	told := r.mine[uid]
	may := told || r.armedLocked(now) && len(r.updates) < 2*MaxJobs
	if may && !told {
		r.mine[uid] = true
		r.updates = append(r.updates, entry{uid, now})
	}
	r.mu.Unlock()
	r.notifyPeers(fresh)
	if !may {
		return ErrCannotConfirm
	}
	if !told && r.onUpdates != nil {
		r.onUpdates()
	}
	return nil
}

// armedLocked reports whether cancels may be confirmed. A controller whose lease
// does not hold confirms none, and its peers are told so: if its process then ends,
// they know that it confirmed nothing that they have not heard of. So after it has
// told them it confirms none until all have heard that it does again, or for arm.
func (r *Registry) armedLocked(now time.Time) bool {
	if r.held() <= 0 {
		r.armed, r.rearmed = false, 0
		return false
	}
	if r.armed || len(r.peers) == 0 {
		return true // a lone controller tells nobody, and confirmed no cancel for want of a peer
	}
	if r.rearmed == 0 {
		return false // nobody was told yet
	}
	all := true
	for _, p := range r.peers {
		all = all && p.echoed >= r.rearmed
	}
	r.armed = all || now.Sub(r.disarms) > arm
	return r.armed
}

// MessageFor makes the message for a peer.
func (r *Registry) MessageFor(to string) Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.trimLocked(now)
	r.stamp = max(r.stamp+1, now.Sub(r.start).Microseconds())
	m := Message{Incarnation: r.incarnation, Stamp: r.stamp}
	if r.held() > 0 {
		if r.rearmed == 0 {
			r.rearmed = m.Stamp
		}
		m.MayConfirm = true
	} else {
		r.armed, r.rearmed, r.disarms = false, 0, now
	}
	p := r.peers[to]
	if p == nil {
		return m
	}
	m.EchoIncarnation, m.Echo, m.Ack = p.incarnation, p.stamp, p.lastMessage
	m.First = max(p.acknowledged, r.base) + 1
	for _, e := range r.updates[min(m.First-1-r.base, uint64(len(r.updates))):] {
		if len(m.Updates) == maxUpdates {
			m.More = true
			break
		}
		m.Updates = append(m.Updates, e.uid)
	}
	return m
}

// HandleMessage takes a peer's message. One from nobody that is configured, or that can't be
// one, changes nothing.
func (r *Registry) HandleMessage(from string, m *Message) error {
	switch bad := slices.IndexFunc(m.Updates, func(uid string) bool { return !wire.ValidJobID(uid) }); {
	case m.Incarnation == 0 || m.Stamp < 0 || m.Stamp > maxStamp || m.Echo < 0 || m.Echo > maxStamp:
		return fmt.Errorf("cancels of %.40q: life %d, stamp %d, echo %d", from, m.Incarnation, m.Stamp, m.Echo)
	case bad >= 0:
		return fmt.Errorf("cancels of %.40q: no job: %.40q", from, m.Updates[bad])
	case len(m.Updates) > maxUpdates:
		return fmt.Errorf("cancels of %.40q: %d in a message", from, len(m.Updates))
	}
	now := time.Now()
	r.mu.Lock()
	p := r.peers[from]
	if p == nil {
		r.mu.Unlock()
		return fmt.Errorf("cancels of %.40q: no such controller", from)
	}
	fresh := r.recordLocked(m.Updates, now)
	r.handleLocked(p, m, now)
	r.mu.Unlock()
	r.notifyPeers(fresh)
	return nil
}

func (r *Registry) handleLocked(p *peer, m *Message, now time.Time) {
	if slices.Contains(p.past, m.Incarnation) || m.Incarnation == p.incarnation && m.Stamp <= p.stamp {
		return // late: what it says of its sender is no longer so
	}
	if m.Incarnation != p.incarnation {
		// What the life before confirmed after its last word is known only if it had
		// said that it confirms nothing, or from the state service, by a read sent
		// after this life's start.
		began := now.Add(ahead - time.Duration(float64(m.Stamp)*(1-drift))*time.Microsecond)
		p.covered = p.covered && p.until().After(now) || r.read.After(began)
		p.needs = began
		if p.incarnation != 0 {
			p.past = append(p.past[max(0, len(p.past)-maxPast+1):], p.incarnation)
		}
		p.incarnation, p.lastMessage, p.acknowledged, p.echoed = m.Incarnation, 0, 0, 0
	}
	p.stamp = m.Stamp
	if m.MayConfirm {
		// Before the sender has this message echoed it confirms nothing, so
		// that what it had promised ends here, at the latest.
		p.quiet = time.Time{}
	}
	if m.EchoIncarnation != r.incarnation || m.Echo > r.stamp || m.Ack > r.base+uint64(len(r.updates)) {
		return // it answers nothing of this life
	}
	p.acknowledged, p.echoed = max(p.acknowledged, m.Ack), max(p.echoed, m.Echo)
	if last := m.First + uint64(len(m.Updates)) - 1; m.First > 0 && last > p.lastMessage {
		p.lastMessage = last
	}
	if m.More || !p.covered {
		return
	}
	echo := r.start.Add(time.Duration(m.Echo)*time.Microsecond - ahead)
	if echo.After(p.known) {
		p.known = echo
	}
	if !m.MayConfirm {
		p.quiet = echo.Add(time.Duration(float64(arm)*(1-drift)) - slack)
	}
}

// RecordStoreRead takes what a read of all living jobs brought that was sent then: the
// cancelled ones.
func (r *Registry) RecordStoreRead(sent time.Time, cancelled []string) {
	r.mu.Lock()
	fresh := r.recordLocked(cancelled, time.Now())
	if sent.After(r.read) {
		r.read = sent
	}
	for _, p := range r.peers {
		p.covered = p.covered || sent.After(p.needs)
	}
	r.mu.Unlock()
	r.notifyPeers(fresh)
}

// KnownUntil returns the time up to which this controller knows of every cancel that any
// controller confirmed; the zero time if it knows nothing.
func (r *Registry) KnownUntil() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knownUntilLocked()
}

func (r *Registry) knownUntilLocked() time.Time {
	if r.read.IsZero() {
		return time.Time{} // nothing is known of what peers had confirmed before this start
	}
	now := time.Now()
	least := now
	for _, p := range r.peers {
		if u := p.until(); u.Before(least) {
			least = u
		}
	}
	if least.After(r.read) {
		return least
	}
	return r.read
}

// NeedsStoreRead reports whether the state service should be read: what peers say does not
// cover the time up to so long ago.
func (r *Registry) NeedsStoreRead(age time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.read.IsZero() {
		return true
	}
	for _, p := range r.peers {
		if !p.covered && p.incarnation != 0 {
			return true
		}
	}
	return now.Sub(r.knownUntilLocked()) > age
}

// Count counts the cancelled jobs that are kept.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs)
}

// StalePeers names the peers whose word does not cover the time up to so long ago.
func (r *Registry) StalePeers(age time.Duration) (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for name, p := range r.peers {
		if now.Sub(p.until()) > age {
			names = append(names, name)
		}
	}
	return names
}
