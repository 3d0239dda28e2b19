// Package reachability is a controller's one view of the links between machines: which
// controller reaches the state service, the workers, the cloud and which peers,
// as far as anybody could say, by what way and how long ago. What is decided by
// it (who should hold workers and own jobs, who may answer, whose silence says
// that a machine is dead) is decided here, by pure functions of a View.
package reachability

import (
	"math"
	"time"

	"github.com/bits-and-blooms/bloom/v3"
)

const (
	// Lost is how long a controller may be unheard, on any way that messages take,
	// before it counts as not reached.
	Lost = 3 * time.Second
	// storedLost is the same for what only the state service brought: rows are
	// written there every AnnounceEvery at most.
	storedLost = 6 * time.Second
	// AnnounceEvery is the least time between two rows that a controller writes to
	// the state service.
	AnnounceEvery = 2 * time.Second
	// announceShare is the seconds between rows for each controller: each row
	// reaches all of them.
	announceShare = 0.4
)

// AnnouncePause is the pause between a controller's rows in the state service.
func AnnouncePause(controllers int) time.Duration {
	return max(AnnounceEvery, time.Duration(float64(controllers)*announceShare*float64(time.Second)))
}

// Row is what one controller says of its own links.
type Row struct {
	Node     string   `json:"node"`
	Born     int64    `json:"born"` // its process's start by its own time of day, ms: tells incarnations apart
	Seq      uint64   `json:"seq"`
	State    bool     `json:"state"`              // the state service answers it, without a peer's help
	Held     bool     `json:"held"`               // it holds its lease
	Owns     bool     `json:"owns,omitempty"`     // it owns jobs
	Chief    string   `json:"chief,omitempty"`    // whom it takes for the owner of most jobs
	Cloud    bool     `json:"cloud,omitempty"`    // the cloud answered its last request
	Reports  int      `json:"reports"`            // workers' reports that reached it in a window, whatever it answered
	Expected float64  `json:"expected,omitempty"` // reports that its machines should have sent in that window
	Lacks    []string `json:"lacks,omitempty"`    // see Table.Lacks
	Sample   []string `json:"sample,omitempty"`   // addresses of machines that it doubts it reaches: who hears of them, tries them
	Tried    bool     `json:"tried,omitempty"`    // it tried such a sample lately
	Reaches  float64  `json:"reaches,omitempty"`  // share of it that answered
	Seats    []Seat   `json:"seats,omitempty"`    // of the workers, while it can't hold them all, see Planner
	Room     int      `json:"room,omitempty"`     // workers that it has connections for; only while some controller has Seats
	Here     int      `json:"here,omitempty"`     // workers that report to it; with Room
	Heard    *Names   `json:"heard,omitempty"`    // machines that it heard within a lease; only while it lacks a peer, or a peer lacks it
}

// newer reports whether r was made after o.
func (r *Row) newer(o *Row) bool {
	if r.Born != o.Born {
		return r.Born > o.Born
	}
	return r.Seq > o.Seq
}

const (
	deafShare = 0.25 // of the reports expected, below which a controller counts as deaf
	leastSure = 12   // reports expected, below which nothing can be told
)

// Deaf reports whether the controller hears far fewer reports than its machines
// should send. Nothing can be told of one that heard few machines lately.
func (r *Row) Deaf() bool {
	return r.Expected >= leastSure && float64(r.Reports) < deafShare*r.Expected
}

const (
	// SampleSize is how many machines are tried.
	SampleSize = 8
	missed     = 20                     // reports that must be missing in a row to raise a doubt
	leastQuiet = 750 * time.Millisecond // for at least so long
)

// Doubts reports whether a controller that expects so many reports a second, and got
// none for some time, should find out whether it still reaches the workers.
func Doubts(perSecond float64, quiet time.Duration) bool {
	return quiet >= leastQuiet && perSecond*quiet.Seconds() >= missed
}

// Names is a set of names, as a Bloom filter: it may contain a name that was
// never added, but never lacks one that was.
type Names struct {
	bloom.BloomFilter
}

const namesBits = 15 // a name: one in a thousand others is taken for a member

// NewNames returns the set of names in at most so many bytes. In fewer bytes than
// namesBits a name asks for, more others are taken for members.
func NewNames(names []string, most int) *Names {
	bits := max(64, min(namesBits*len(names), 8*most))
	hashes := max(1, int(math.Round(float64(bits)/float64(max(1, len(names)))*math.Ln2)))
	n := &Names{*bloom.New(uint(bits), uint(min(hashes, 10)))}
	for _, name := range names {
		n.AddString(name)
	}
	return n
}

// Has reports whether the name may be in the set. A nil set is empty.
func (n *Names) Has(name string) bool { return n != nil && n.TestString(name) }
