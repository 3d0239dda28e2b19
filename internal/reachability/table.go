package reachability

import (
	"slices"
	"sync"
	"time"
)

// peerRecord is what is known of a peer: its newest status, and how calls to it end.
type peerRecord struct {
	status           NodeStatus
	statusAt         time.Time // of status, as near as can be told; without one, when this process began
	incarnationSince time.Time // when the first status of the peer's present process came
	path             Path
	heardAt          time.Time // when a message last came from it directly, or a reply
	undeliveredUntil time.Time // until when what this controller hears of workers counts as not delivered there
	failures         int       // weight of the calls to it, in a row, that brought no reply
}

// Table keeps the newest status of every peer. It is safe for concurrent use.
type Table struct {
	self  string
	peers []string

	mu      sync.Mutex
	records map[string]*peerRecord // of all peers
}

// NewTable returns a table of peers that nobody has heard yet.
func NewTable(self string, peers []string) *Table {
	t := &Table{self: self, peers: peers, records: map[string]*peerRecord{}}
	now := time.Now()
	for _, name := range peers {
		t.records[name] = &peerRecord{statusAt: now}
	}
	return t
}

// Update keeps a status that is age old, unless a newer one is known. Those of
// controllers that are not configured, and of this one, are dropped. A status that a
// controller sent itself also shows that this controller hears it now.
func (t *Table) Update(status NodeStatus, path Path, age time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.records[status.Node]
	if record == nil {
		return
	}
	if path == Direct {
		record.heardAt = now
	}
	if status.newer(&record.status) {
		if status.StartedMs != record.status.StartedMs {
			record.incarnationSince = now
		}
		record.status, record.statusAt, record.path = status, now.Add(-age), path
	} else if status.StartedMs == record.status.StartedMs && status.Seq == record.status.Seq && path < record.path {
		record.path = path
	}
}

const (
	// outboundLostWeight is the weight of failed calls in a row from which on a peer counts as
	// out of reach: one is a lost packet, or a busy moment.
	outboundLostWeight = 4
	refusedWeight      = 2 // of a call that could not even be sent
	timeoutWeight      = 1 // of one that got no reply in time
)

// RecordCall notes whether a call to a peer brought a reply, and if not, whether it
// could not even be sent.
func (t *Table) RecordCall(peer string, answered, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.records[peer]
	switch {
	case record == nil:
	case answered:
		record.failures = 0
	case refused:
		record.failures += refusedWeight
	default:
		record.failures += timeoutWeight
	}
}

// View returns the view at now, with this controller's own status.
func (t *Table) View(self NodeStatus, now time.Time) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := View{Self: self, Peers: make([]Peer, 0, len(t.peers))}
	for _, name := range t.peers {
		record := t.records[name]
		v.Peers = append(v.Peers, Peer{
			Name: name, Status: record.status, Known: record.status.Node != "", Path: record.path, Age: now.Sub(record.statusAt),
			SinceHeard: now.Sub(record.heardAt), OutboundReachable: record.failures < outboundLostWeight,
		})
	}
	return v
}

// ReachedWithin reports whether a peer was heard directly within a time, and calls to it
// work.
func (t *Table) ReachedWithin(peer string, within time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.records[peer]
	return record != nil && now.Sub(record.heardAt) < within && record.failures == 0
}

// RecordUndelivered notes that what this controller hears of workers did not reach a peer
// that leads jobs.
func (t *Table) RecordUndelivered(peer string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record := t.records[peer]; record != nil {
		record.undeliveredUntil = now.Add(PeerTimeout)
	}
}

// UnreachedPeers names the peers that are not heard directly, whom calls don't reach, or
// who are too busy to take what is heard here.
func (t *Table) UnreachedPeers(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, name := range t.peers {
		record := t.records[name]
		if now.Sub(record.heardAt) >= PeerTimeout || record.failures >= outboundLostWeight || now.Before(record.undeliveredUntil) {
			out = append(out, name)
		}
	}
	return out
}

// UnreachedByAnyPeer reports whether a peer does not reach this controller: it can't query this
// one, or be sent to, so that the status must say which workers are heard here.
func (t *Table) UnreachedByAnyPeer(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, record := range t.records {
		if now.Sub(record.statusAt) < storeStatusTimeout && slices.Contains(record.status.UnreachedPeers, t.self) {
			return true
		}
	}
	return false
}

// RelayedStatus is a status that a controller passes on for another.
type RelayedStatus struct {
	Status NodeStatus `json:"row"`
	AgeS   float64    `json:"age"` // s, when it was passed on
}

// newIncarnationWindow is how long after a peer's process began it is sent old statuses too, of
// controllers that are not heard any more: it may never have heard them, and their age says
// whether they may still answer workers that it doesn't hear either.
const newIncarnationWindow = 10 * time.Second

// RelayFor returns the statuses to be passed on to a peer: none while all controllers
// exchange theirs with each other, else those that came directly and that the peer
// does not get, as it or their author says. A status is passed on once.
func (t *Table) RelayFor(to string, now time.Time) []RelayedStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	receiver := t.records[to]
	var out []RelayedStatus
	for _, name := range t.peers {
		record := t.records[name]
		if name == to || record.status.Node == "" || record.path != Direct {
			continue
		}
		if now.Sub(record.statusAt) >= PeerTimeout && now.Sub(receiver.incarnationSince) >= newIncarnationWindow {
			continue
		}
		if slices.Contains(record.status.UnreachedPeers, to) || slices.Contains(receiver.status.UnreachedPeers, name) {
			out = append(out, RelayedStatus{record.status, now.Sub(record.statusAt).Seconds()})
		}
	}
	return out
}

// UpdateRelayed keeps statuses that a peer passed on.
func (t *Table) UpdateRelayed(statuses []RelayedStatus, now time.Time) {
	for _, relayed := range statuses {
		t.Update(relayed.Status, ViaPeer, time.Duration(relayed.AgeS*float64(time.Second)), now)
	}
}
