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
	Direct Path = iota // from the controller itself
	Third              // passed on by a peer
	Stored             // read from the state service
)

var paths = [...]string{"direct", "third", "state"}

// String names the path for operators.
func (p Path) String() string { return paths[p] }

// known is the newest row of a controller.
type known struct {
	row    Row
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

	mu   sync.Mutex
	rows map[string]*known
}

// NewTable returns a table of peers that nobody has heard yet.
func NewTable(self string, peers []string) *Table {
	t := &Table{self: self, peers: peers, rows: map[string]*known{}}
	now := time.Now()
	for _, p := range peers {
		t.rows[p] = &known{at: now}
	}
	return t
}

// Take keeps a row that is age old, unless a newer one is known. Rows of
// controllers that are not configured, and of this one, are dropped. A row that a
// controller sent itself stands for that controller's being heard now.
func (t *Table) Take(r Row, path Path, age time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.rows[r.Node]
	if k == nil {
		return
	}
	if path == Direct {
		k.direct = now
	}
	if at := now.Add(-age); r.newer(&k.row) {
		if r.Born != k.row.Born {
			k.began = now
		}
		k.row, k.at, k.path = r, at, path
	} else if r.Born == k.row.Born && r.Seq == k.row.Seq && path < k.path {
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

// Called notes whether a call to a peer brought an answer, and if not, whether it
// could not even be sent.
func (t *Table) Called(peer string, answered, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.rows[peer]
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
	Name  string
	Row   Row
	Known bool          // a row of it ever came
	Path  Path          // by which the row came
	Age   time.Duration // of the row; without one, of this process
	Heard time.Duration // since it was last heard directly
	Out   bool          // calls to it work, as far as is known
}

// Near reports whether the peer exchanges messages with this controller directly.
func (p *Peer) Near() bool { return p.Known && p.Heard < Lost }

// Fresh reports whether what the peer said is new enough to act by.
func (p *Peer) Fresh() bool {
	if !p.Known {
		return false
	}
	if p.Path == Stored {
		return p.Age < storedLost
	}
	return p.Age < Lost
}

// View is the links as this controller sees them at one moment.
type View struct {
	Self  Row
	Peers []Peer // in the order of the settings
}

// View returns the view at now, with this controller's own row.
func (t *Table) View(self Row, now time.Time) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := View{Self: self, Peers: make([]Peer, 0, len(t.peers))}
	for _, name := range t.peers {
		k := t.rows[name]
		p := Peer{Name: name, Row: k.row, Known: k.row.Node != "", Path: k.path, Age: now.Sub(k.at), Heard: now.Sub(k.direct), Out: k.fails < outLost}
		v.Peers = append(v.Peers, p)
	}
	return v
}

// HeardWithin reports whether a peer was heard directly so lately, and calls to it
// work.
func (t *Table) HeardWithin(peer string, d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.rows[peer]
	return k != nil && now.Sub(k.direct) < d && k.fails == 0
}

// Untold notes that what this controller hears of machines did not reach a peer
// that owns jobs.
func (t *Table) Untold(peer string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.rows[peer]; k != nil {
		k.mute = now.Add(Lost)
	}
}

// Lacks names the peers that are not heard directly, whom calls don't reach, or
// who are too busy to be told what is heard here.
func (t *Table) Lacks(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, name := range t.peers {
		if k := t.rows[name]; now.Sub(k.direct) >= Lost || k.fails >= outLost || now.Before(k.mute) {
			out = append(out, name)
		}
	}
	return out
}

// Lacked reports whether a peer lacks this controller: it can't be asked, or told, and
// has to say in its row whom it hears.
func (t *Table) Lacked(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.rows {
		if now.Sub(k.at) < storedLost && slices.Contains(k.row.Lacks, t.self) {
			return true
		}
	}
	return false
}

// Relayed is a row that a controller passes on for another.
type Relayed struct {
	Row  Row     `json:"row"`
	AgeS float64 `json:"age"` // s, when it was passed on
}

// introduced is how long after a peer's process began it is told of controllers that have
// fallen silent: it may never have heard them, and their age says whether they may still
// answer machines that it doesn't hear either.
const introduced = 10 * time.Second

// Passed returns the rows to be passed on to a peer: none while everybody
// exchanges rows with everybody, else those that came directly and that the peer
// or their author says it lacks. A row is passed on once.
func (t *Table) Passed(to string, now time.Time) []Relayed {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Relayed
	for _, name := range t.peers {
		k := t.rows[name]
		if name == to || k.row.Node == "" || k.path != Direct {
			continue
		}
		if now.Sub(k.at) >= Lost && now.Sub(t.rows[to].began) >= introduced {
			continue
		}
		if slices.Contains(k.row.Lacks, to) || slices.Contains(t.rows[to].row.Lacks, name) {
			out = append(out, Relayed{k.row, now.Sub(k.at).Seconds()})
		}
	}
	return out
}

// TakePassed keeps rows that a peer passed on.
func (t *Table) TakePassed(rows []Relayed, now time.Time) {
	for _, r := range rows {
		t.Take(r.Row, Third, time.Duration(r.AgeS*float64(time.Second)), now)
	}
}

// How says in a word how the peer is reached.
func (p *Peer) How() string {
	switch {
	case p.Near() && p.Out:
		return "up"
	case p.Near():
		return "heard, not reached"
	case p.Fresh():
		return "known by " + p.Path.String()
	case p.Known:
		return "dark"
	}
	return "never heard"
}

// Shown is a controller's view of the links, for operators.
type Shown struct {
	Node        string      `json:"node"`
	State       string      `json:"state"`         // straight, by a peer, or lost
	Kept        int         `json:"kept"`          // machines that are silent and kept, by the last judgement
	CancelsAgeS float64     `json:"cancels_age_s"` // cancels confirmed by anybody are known here up to so long ago
	Cancelled   int         `json:"cancelled"`     // jobs whose tasks are halted wherever they are seen
	Answers     bool        `json:"answers"`       // whether it may answer workers
	Links       []ShownLink `json:"links"`
	Controllers []ShownNode `json:"controllers"`
}

// ShownLink is one of the links of the controller that was asked.
type ShownLink struct {
	To     string  `json:"to"`
	Is     string  `json:"is"`
	SinceS float64 `json:"since_s"`
}

// ShownNode is what is known of a controller there.
type ShownNode struct {
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

// Show makes of the view what operators see.
func (v *View) Show(relayed bool) Shown {
	s := Shown{Node: v.Self.Node, State: v.StateBy(relayed)}
	add := func(r *Row, name, reached string, age time.Duration) {
		s.Controllers = append(s.Controllers, ShownNode{name, reached, age.Seconds(), r.State, r.Held, r.Owns, r.Cloud, r.Reports, r.Expected, r.Lacks})
	}
	add(&v.Self, v.Self.Node, "self", 0)
	for i := range v.Peers {
		p := &v.Peers[i]
		age := p.Age
		if !p.Known {
			age = 0
		}
		add(&p.Row, p.Name, p.How(), age)
	}
	return s
}

// StateBy says how this controller reaches the state service.
func (v *View) StateBy(relayed bool) string {
	switch {
	case relayed:
		return "by a peer"
	case v.Self.State:
		return "straight"
	}
	return "lost"
}
