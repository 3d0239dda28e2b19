package reachability

import (
	"slices"
	"sync"
	"time"
)

// Path is how a row came here, the best first.
type Path int

// The paths.
const (
	Direct   Path = iota // from the controller itself
	ViaPeer              // passed on by a peer
	ViaStore             // read from the state service
)

var paths = [...]string{"direct", "third", "state"}

// String names the path for operators.
func (p Path) String() string { return paths[p] }

// known is the newest row of a controller.
type known struct {
	row    NodeStatus
	at     time.Time // when it was made, as near as can be told; without a row, when this process began
	began  time.Time // when the first row of the peer's present process came
	path   Path
	direct time.Time // when a message last came from it, or an answer
	mute   time.Time // until when what this controller hears is not brought there
	fails  int       // weight of the calls to it, in a row, that brought no answer
}

// Table keeps the newest row of every peer. It is safe for concurrent use.
type Table struct {
	self  string
	peers []string

	mu       sync.Mutex
	statuses map[string]*known
}

// NewTable returns a table of peers that nobody has heard yet.
func NewTable(self string, peers []string) *Table {
	t := &Table{self: self, peers: peers, statuses: map[string]*known{}}
	now := time.Now()
	for _, p := range peers {
		t.statuses[p] = &known{at: now}
	}
	return t
}

// Update keeps a row that is age old, unless a newer one is known. Rows of
// controllers that are not configured, and of this one, are dropped. A row that a
// controller sent itself stands for that controller's being heard now.
func (t *Table) Update(r NodeStatus, path Path, age time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.statuses[r.Node]
	if k == nil {
		return
	}
	if path == Direct {
		k.direct = now
	}
	if at := now.Add(-age); r.newer(&k.row) {
		if r.StartedMs != k.row.StartedMs {
			k.began = now
		}
		k.row, k.at, k.path = r, at, path
	} else if r.StartedMs == k.row.StartedMs && r.Seq == k.row.Seq && path < k.path {
		k.path = path
	}
}

const (
	// outLost is the weight of failed calls in a row from which on a peer counts as
	// out of reach: one is a lost packet, or a busy moment.
	outLost       = 4
	refusedCounts = 2 // a call that could not even be sent
	timeoutCounts = 1 // one that got no answer in time
)

// RecordCall notes whether a call to a peer brought an answer, and if not, whether it
// could not even be sent.
func (t *Table) RecordCall(peer string, answered, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.statuses[peer]
	switch {
	case k == nil:
	case answered:
		k.fails = 0
	case refused:
		k.fails += refusedCounts
	default:
		k.fails += timeoutCounts
	}
}

// Peer is a peer in a View.
type Peer struct {
	Name              string
	Status            NodeStatus
	Known             bool          // a row of it ever came
	Path              Path          // by which the row came
	Age               time.Duration // of the row; without one, of this process
	SinceHeard        time.Duration // since it was last heard directly
	OutboundReachable bool          // calls to it work, as far as is known
}

// DirectlyReached reports whether the peer exchanges messages with this controller directly.
func (p *Peer) DirectlyReached() bool { return p.Known && p.SinceHeard < PeerTimeout }

// IsFresh reports whether what the peer said is new enough to act by.
func (p *Peer) IsFresh() bool {
	if !p.Known {
		return false
	}
	if p.Path == ViaStore {
		return p.Age < storedLost
	}
	return p.Age < PeerTimeout
}

// View is the links as this controller sees them at one moment.
type View struct {
	Self  NodeStatus
	Peers []Peer // in the order of the settings
}

// View returns the view at now, with this controller's own row.
func (t *Table) View(self NodeStatus, now time.Time) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := View{Self: self, Peers: make([]Peer, 0, len(t.peers))}
	for _, name := range t.peers {
		k := t.statuses[name]
		p := Peer{Name: name, Status: k.row, Known: k.row.Node != "", Path: k.path, Age: now.Sub(k.at), SinceHeard: now.Sub(k.direct), OutboundReachable: k.fails < outLost}
		v.Peers = append(v.Peers, p)
	}
	return v
}

// HeardWithin reports whether a peer was heard directly so lately, and calls to it
// work.
func (t *Table) HeardWithin(peer string, d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.statuses[peer]
	return k != nil && now.Sub(k.direct) < d && k.fails == 0
}

// RecordUndelivered notes that what this controller hears of machines did not reach a peer
// that owns jobs.
func (t *Table) RecordUndelivered(peer string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.statuses[peer]; k != nil {
		k.mute = now.Add(PeerTimeout)
	}
}

// UnreachedPeers names the peers that are not heard directly, whom calls don't reach, or
// who are too busy to be told what is heard here.
func (t *Table) UnreachedPeers(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, name := range t.peers {
		if k := t.statuses[name]; now.Sub(k.direct) >= PeerTimeout || k.fails >= outLost || now.Before(k.mute) {
			out = append(out, name)
		}
	}
	return out
}

// UnreachedByPeers reports whether a peer lacks this controller: it can't be asked, or told, and
// has to say in its row whom it hears.
func (t *Table) UnreachedByPeers(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.statuses {
		if now.Sub(k.at) < storedLost && slices.Contains(k.row.UnreachedPeers, t.self) {
			return true
		}
	}
	return false
}

// RelayedStatus is a row that a controller passes on for another.
type RelayedStatus struct {
	Status NodeStatus `json:"row"`
	AgeS   float64    `json:"age"` // s, when it was passed on
}

// introduced is how long after a peer's process began it is told of controllers that have
// fallen silent: it may never have heard them, and their age says whether they may still
// answer machines that it doesn't hear either.
const introduced = 10 * time.Second

// RelayFor returns the rows to be passed on to a peer: none while everybody
// exchanges rows with everybody, else those that came directly and that the peer
// or their author says it lacks. A row is passed on once.
func (t *Table) RelayFor(to string, now time.Time) []RelayedStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []RelayedStatus
	for _, name := range t.peers {
		k := t.statuses[name]
		if name == to || k.row.Node == "" || k.path != Direct {
			continue
		}
		if now.Sub(k.at) >= PeerTimeout && now.Sub(t.statuses[to].began) >= introduced {
			continue
		}
		if slices.Contains(k.row.UnreachedPeers, to) || slices.Contains(t.statuses[to].row.UnreachedPeers, name) {
			out = append(out, RelayedStatus{k.row, now.Sub(k.at).Seconds()})
		}
	}
	return out
}

// UpdateRelayed keeps rows that a peer passed on.
func (t *Table) UpdateRelayed(rows []RelayedStatus, now time.Time) {
	for _, r := range rows {
		t.Update(r.Status, ViaPeer, time.Duration(r.AgeS*float64(time.Second)), now)
	}
}

// ReachedBy says in a word how the peer is reached.
func (p *Peer) ReachedBy() string {
	switch {
	case p.DirectlyReached() && p.OutboundReachable:
		return "up"
	case p.DirectlyReached():
		return "heard, not reached"
	case p.IsFresh():
		return "known by " + p.Path.String()
	case p.Known:
		return "dark"
	}
	return "never heard"
}

// OpsStatus is a controller's view of the links, for operators.
type OpsStatus struct {
	Node        string    `json:"node"`
	State       string    `json:"state"`         // straight, by a peer, or lost
	Kept        int       `json:"kept"`          // machines that are silent and kept, by the last judgement
	CancelsAgeS float64   `json:"cancels_age_s"` // cancels confirmed by anybody are known here up to so long ago
	Cancelled   int       `json:"cancelled"`     // jobs whose tasks are halted wherever they are seen
	Answers     bool      `json:"answers"`       // whether it may answer workers
	Links       []OpsLink `json:"links"`
	Controllers []OpsNode `json:"controllers"`
}

// OpsLink is one of the links of the controller that was asked.
type OpsLink struct {
	To     string  `json:"to"`
	Is     string  `json:"is"`
	SinceS float64 `json:"since_s"`
}

// OpsNode is what is known of a controller there.
type OpsNode struct {
	Node     string   `json:"node"`
	Reached  string   `json:"reached"` // how, from the controller that was asked
	AgeS     float64  `json:"age_s"`   // of what is known of it
	State    bool     `json:"state"`
	Held     bool     `json:"held"`
	Owns     bool     `json:"owns"`
	Cloud    bool     `json:"cloud"`
	Reports  int      `json:"reports"`
	Expected float64  `json:"expected"`
	Lacks    []string `json:"lacks"`
}

// OpsStatus makes of the view what operators see.
func (v *View) OpsStatus(relayed bool) OpsStatus {
	s := OpsStatus{Node: v.Self.Node, State: v.StorePath(relayed)}
	add := func(r *NodeStatus, name, reached string, age time.Duration) {
		s.Controllers = append(s.Controllers, OpsNode{name, reached, age.Seconds(), r.StoreReachable, r.LeaseHeld, r.OwnsJobs, r.CloudReachable, r.Heartbeats, r.ExpectedHeartbeats, r.UnreachedPeers})
	}
	add(&v.Self, v.Self.Node, "self", 0)
	for i := range v.Peers {
		p := &v.Peers[i]
		age := p.Age
		if !p.Known {
			age = 0
		}
		add(&p.Status, p.Name, p.ReachedBy(), age)
	}
	return s
}

// StorePath says how this controller reaches the state service.
func (v *View) StorePath(relayed bool) string {
	switch {
	case relayed:
		return "by a peer"
	case v.Self.StoreReachable:
		return "straight"
	}
	return "lost"
}
