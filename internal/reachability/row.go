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
	// PeerTimeout is how long a controller may be unheard, on any way that messages take,
	// before it counts as not reached.
	PeerTimeout = 3 * time.Second
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

// NodeStatus is what one controller says of its own links.
type NodeStatus struct {
	Node               string       `json:"node"`
	StartedMs          int64        `json:"born"` // its process's start by its own time of day, ms: tells incarnations apart
	Seq                uint64       `json:"seq"`
	StoreReachable     bool         `json:"state"`              // the state service answers it, without a peer's help
	LeaseHeld          bool         `json:"held"`               // it holds its lease
	OwnsJobs           bool         `json:"owns,omitempty"`     // it owns jobs
	PreferredLeader    string       `json:"chief,omitempty"`    // whom it takes for the owner of most jobs
	CloudReachable     bool         `json:"cloud,omitempty"`    // the cloud answered its last request
	Heartbeats         int          `json:"reports"`            // workers' reports that reached it in a window, whatever it answered
	ExpectedHeartbeats float64      `json:"expected,omitempty"` // reports that its machines should have sent in that window
	UnreachedPeers     []string     `json:"lacks,omitempty"`    // see Table.UnreachedPeers
	ProbeSample        []string     `json:"sample,omitempty"`   // addresses of machines that it doubts it reaches: who hears of them, tries them
	Probed             bool         `json:"tried,omitempty"`    // it tried such a sample lately
	ProbeSuccess       float64      `json:"reaches,omitempty"`  // share of it that answered
	Assignments        []Assignment `json:"seats,omitempty"`    // of the workers, while it can't hold them all, see Planner
	WorkerCapacity     int          `json:"room,omitempty"`     // workers that it has connections for; only while some controller has Seats
	WorkerCount        int          `json:"here,omitempty"`     // workers that report to it; with Room
	HeardWorkers       *NameSet     `json:"heard,omitempty"`    // machines that it heard within a lease; only while it lacks a peer, or a peer lacks it
}

// newer reports whether r was made after o.
func (r *NodeStatus) newer(o *NodeStatus) bool {
	if r.StartedMs != o.StartedMs {
		return r.StartedMs > o.StartedMs
	}
	return r.Seq > o.Seq
}

const (
	inboundLostShare = 0.25 // of the reports expected, below which a controller counts as deaf
	leastSure        = 12   // reports expected, below which nothing can be told
)

// InboundLost reports whether the controller hears far fewer reports than its machines
// should send. Nothing can be told of one that heard few machines lately.
func (r *NodeStatus) InboundLost() bool {
	return r.ExpectedHeartbeats >= leastSure && float64(r.Heartbeats) < inboundLostShare*r.ExpectedHeartbeats
}

const (
	// SampleSize is how many machines are tried.
	SampleSize = 8
	missed     = 20                     // reports that must be missing in a row to raise a doubt
	leastQuiet = 750 * time.Millisecond // for at least so long
)

// ShouldProbe reports whether a controller that expects so many reports a second, and got
// none for some time, should find out whether it still reaches the workers.
func ShouldProbe(perSecond float64, quiet time.Duration) bool {
	return quiet >= leastQuiet && perSecond*quiet.Seconds() >= missed
}

// NameSet is a set of names, as a Bloom filter: it may contain a name that was
// never added, but never lacks one that was.
type NameSet struct {
	bloom.BloomFilter
}

const namesBits = 15 // a name: one in a thousand others is taken for a member

// NewNameSet returns the set of names in at most so many bytes. In fewer bytes than
// namesBits a name asks for, more others are taken for members.
func NewNameSet(names []string, most int) *NameSet {
	bits := max(64, min(namesBits*len(names), 8*most))
	hashes := max(1, int(math.Round(float64(bits)/float64(max(1, len(names)))*math.Ln2)))
	n := &NameSet{*bloom.New(uint(bits), uint(min(hashes, 10)))}
	for _, name := range names {
		n.AddString(name)
	}
	return n
}

// Has reports whether the name may be in the set. A nil set is empty.
func (n *NameSet) Has(name string) bool { return n != nil && n.TestString(name) }
