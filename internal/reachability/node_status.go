package reachability

import "time"

const (
	// PeerTimeout is how long a controller may be unheard, on any way that messages take,
	// before it counts as not reached.
	PeerTimeout = 3 * time.Second
	// storeStatusTimeout is the same for what only the state service brought: statuses are
	// written there every AnnounceEvery at most.
	storeStatusTimeout = 6 * time.Second
	// MinAnnounceInterval is the least time between two statuses that a controller writes to
	// the state service.
	MinAnnounceInterval = 2 * time.Second
	// announceSecondsPerNode is the seconds between statuses for each controller: each status
	// reaches all of them.
	announceSecondsPerNode = 0.4
)

// AnnounceInterval is the pause between a controller's statuses in the state service, for a number
// of controllers in all.
func AnnounceInterval(controllers int) time.Duration {
	return max(MinAnnounceInterval, time.Duration(float64(controllers)*announceSecondsPerNode*float64(time.Second)))
}

// NodeStatus is what one controller says of its own links. The zero value is that of a controller
// of which nothing is known.
type NodeStatus struct {
	Node               string       `json:"node"`
	StartedMs          int64        `json:"born"` // its process's start by its own time of day, ms: tells incarnations apart
	Seq                uint64       `json:"seq"`
	StoreReachable     bool         `json:"state"`              // the state service answers it, without a peer's help
	LeaseHeld          bool         `json:"held"`               // it holds its lease
	LeadsShards        bool         `json:"owns,omitempty"`     // it leads shards
	PreferredLeader    string       `json:"chief,omitempty"`    // whom it takes for the leader of most jobs
	CloudReachable     bool         `json:"cloud,omitempty"`    // the cloud answered its last request
	Heartbeats         int          `json:"reports"`            // workers' heartbeats that reached it in a window, whatever it answered
	ExpectedHeartbeats float64      `json:"expected,omitempty"` // heartbeats that its workers should have sent in that window
	UnreachedPeers     []string     `json:"lacks,omitempty"`    // see Table.UnreachedPeers
	ProbeSample        []string     `json:"sample,omitempty"`   // addresses of workers that it may not reach any more: who learns of them, probes them
	Probed             bool         `json:"tried,omitempty"`    // it probed such a sample lately
	ProbeSuccess       float64      `json:"reaches,omitempty"`  // share of it that responded, 0 to 1
	Assignments        []Assignment `json:"seats,omitempty"`    // of the workers, while it has no room for all, see AssignmentPlanner
	WorkerCapacity     int          `json:"room,omitempty"`     // workers that it has connections for; only while some controller has Assignments
	WorkerCount        int          `json:"here,omitempty"`     // workers that report to it; with WorkerCapacity
	HeardWorkers       *NameSet     `json:"heard,omitempty"`    // workers that it heard within a lease; only while it does not reach a peer, or a peer does not reach it
}

// newer reports whether s was made after than.
func (s *NodeStatus) newer(than *NodeStatus) bool {
	if s.StartedMs != than.StartedMs {
		return s.StartedMs > than.StartedMs
	}
	return s.Seq > than.Seq
}

const (
	inboundLostShare      = 0.25 // of the heartbeats expected, below which a controller's inbound links count as lost
	minExpectedHeartbeats = 12   // heartbeats expected, below which nothing can be told
)

// InboundLost reports whether the controller receives far fewer heartbeats than its workers
// should send. Nothing can be told of one that heard few workers lately.
func (s *NodeStatus) InboundLost() bool {
	return s.ExpectedHeartbeats >= minExpectedHeartbeats && float64(s.Heartbeats) < inboundLostShare*s.ExpectedHeartbeats
}

const (
	// SampleSize is how many workers are probed.
	SampleSize          = 8
	minMissedHeartbeats = 20                     // heartbeats that must be missing in a row before workers are probed
	minHeartbeatGap     = 750 * time.Millisecond // for at least so long
)

// ShouldProbe reports whether a controller that expects so many heartbeats a second, and received
// none for some time, should find out whether it still reaches the workers.
func ShouldProbe(perSecond float64, sinceLast time.Duration) bool {
	return sinceLast >= minHeartbeatGap && perSecond*sinceLast.Seconds() >= minMissedHeartbeats
}
