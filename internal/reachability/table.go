package reachability

import (
	"slices"
	"sync"
	"time"
)

// peerRecord is the newest status of a peer and the state of the calls to it.
type peerRecord struct {
	status           NodeStatus
	statusAt         time.Time // estimated time at which status was made; this process's start if there is none
	incarnationSince time.Time // when the first status of the peer's present incarnation arrived
	path             Path
	heardAt          time.Time // when a message or reply last arrived from the peer directly
	undeliveredUntil time.Time // until when the peer counts as not receiving the list of workers heard here
	failures         int       // weighted number of consecutive calls without a reply
}

// Table holds the newest status of every peer. It is safe for concurrent use.
type Table struct {
	self  string
	peers []string

	mu      sync.Mutex
	records map[string]*peerRecord // by name, of all peers
}

// NewTable returns a table for peers of which no status is known yet.
func NewTable(self string, peers []string) *Table {
	t := &Table{self: self, peers: peers, records: map[string]*peerRecord{}}
	now := time.Now()
	for _, name := range peers {
		t.records[name] = &peerRecord{statusAt: now}
	}
	return t
}

// Update stores a status of the given age unless a newer one is known. If the same one is
// known by a less direct path, only the path changes. Statuses of this controller and of those that
// are not configured are dropped. A direct status also shows that its controller is heard
// now.
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
	// outboundLostWeight is the weight of consecutive failed calls at which a peer counts as
	// unreachable: a single failure may be a lost packet or a busy moment.
	outboundLostWeight = 4
	refusedWeight      = 2 // of a call that could not be sent
	timeoutWeight      = 1 // of a call without a reply in time
)

// RecordCall records whether a call to a peer was answered and, if not, whether it was refused,
// that is, could not even be sent.
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

// View returns the view at the given time, with this controller's own status.
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

// ReachedWithin reports whether a peer was heard directly within the given time and no call to it
// has failed since the last one that succeeded.
func (t *Table) ReachedWithin(peer string, within time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.records[peer]
	return record != nil && now.Sub(record.heardAt) < within && record.failures == 0
}

// RecordUndelivered records that a peer that leads shards could not be told which workers are
// heard here.
func (t *Table) RecordUndelivered(peer string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record := t.records[peer]; record != nil {
		record.undeliveredUntil = now.Add(PeerTimeout)
	}
}

// UnreachedPeers returns the peers that are not heard directly, that calls don't reach, or that
// recently did not receive the list of workers heard here.
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

// UnreachedByAnyPeer reports whether any peer says that it does not reach this controller. Such a
// peer can't query this one, so that this controller's status must list the workers heard here.
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

// RelayedStatus is the status of another controller that the sender passes on.
type RelayedStatus struct {
	Status NodeStatus `json:"row"`
	AgeS   float64    `json:"age"` // age in s when it was passed on
}

// newIncarnationWindow is the time after a peer's start during which it is also sent outdated
// statuses, of controllers that are no longer heard: it may never have received them, and their
// age tells whether those controllers may still answer workers.
const newIncarnationWindow = 10 * time.Second

// RelayFor returns the statuses to be relayed to a peer: recent ones that arrived here directly and
// that the peer does not receive itself, according to it or to their author. Outdated ones are
// included only during newIncarnationWindow. It returns none while all controllers exchange their
// statuses directly. A status is relayed only once.
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

// UpdateRelayed stores statuses that a peer relayed, each as Update does.
func (t *Table) UpdateRelayed(statuses []RelayedStatus, now time.Time) {
	for _, relayed := range statuses {
		t.Update(relayed.Status, ViaPeer, time.Duration(relayed.AgeS*float64(time.Second)), now)
	}
}
