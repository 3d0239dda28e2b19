package reachability

import "time"

const (
	// PeerTimeout is the time without a message from a controller, direct or relayed, after which it
	// counts as not reached.
	PeerTimeout = 3 * time.Second
	// storeStatusTimeout is the same for a status that was read from the state service, where
	// statuses are written at most once every MinAnnounceInterval.
	storeStatusTimeout = 6 * time.Second
	// MinAnnounceInterval is the least time between two statuses that a controller writes to the
	// state service.
	MinAnnounceInterval = 2 * time.Second
	// announceSecondsPerNode, multiplied by the number of controllers, is the least interval in
	// seconds between two statuses of a controller, since every status is read by all of them.
	announceSecondsPerNode = 0.4
)

// AnnounceInterval returns the time between the statuses that a controller writes to the state
// service, given the number of controllers in the cluster.
func AnnounceInterval(controllers int) time.Duration {
	return max(MinAnnounceInterval, time.Duration(float64(controllers)*announceSecondsPerNode*float64(time.Second)))
}

// NodeStatus is a controller's description of its own links. The zero value stands for a
// controller of which nothing is known.
type NodeStatus struct {
	Node               string       `json:"node"`
	StartedMs          int64        `json:"born"` // start of its process by its own clock, Unix time in ms; identifies the incarnation
	Seq                uint64       `json:"seq"`
	StoreReachable     bool         `json:"state"`              // the state service answers it directly
	LeaseHeld          bool         `json:"held"`               // it holds its lease
	LeadsShards        bool         `json:"owns,omitempty"`     // it leads shards
	PreferredLeader    string       `json:"chief,omitempty"`    // the controller that it takes for the leader of most shards
	CloudReachable     bool         `json:"cloud,omitempty"`    // the cloud's API answered its last request
	Heartbeats         int          `json:"reports"`            // heartbeats received in the counting window, answered or not
	ExpectedHeartbeats float64      `json:"expected,omitempty"` // heartbeats that its workers should have sent in that window
	UnreachedPeers     []string     `json:"lacks,omitempty"`    // see Table.UnreachedPeers
	ProbeSample        []string     `json:"sample,omitempty"`   // addresses of workers that it may no longer reach, for peers to probe too
	Probed             bool         `json:"tried,omitempty"`    // it recently probed workers that it may no longer reach
	ProbeSuccess       float64      `json:"reaches,omitempty"`  // share of the probed workers that responded, 0 to 1
	Assignments        []Assignment `json:"seats,omitempty"`    // distribution of the workers while it has no capacity for all; see AssignmentPlanner
	WorkerCapacity     int          `json:"room,omitempty"`     // workers that it has connections for; set only while some controller has Assignments
	WorkerCount        int          `json:"here,omitempty"`     // workers that report to it; set together with WorkerCapacity
	HeardWorkers       *NameSet     `json:"heard,omitempty"`    // workers heard within a lease; set only while it does not reach a peer, or a peer does not reach it
}

// newer reports whether s was made after than, by incarnation and sequence number.
func (s *NodeStatus) newer(than *NodeStatus) bool {
	if s.StartedMs != than.StartedMs {
		return s.StartedMs > than.StartedMs
	}
	return s.Seq > than.Seq
}

const (
	inboundLostShare      = 0.25 // of the expected heartbeats; below it the inbound links count as lost
	minExpectedHeartbeats = 12   // with fewer, the count is not significant
)

// InboundLost reports whether the controller receives far fewer heartbeats than its workers should
// send. It returns false if too few are expected to tell.
func (s *NodeStatus) InboundLost() bool {
	return s.ExpectedHeartbeats >= minExpectedHeartbeats && float64(s.Heartbeats) < inboundLostShare*s.ExpectedHeartbeats
}

const (
	// SampleSize is the number of workers that are probed.
	SampleSize          = 8
	minMissedHeartbeats = 20                     // expected heartbeats without one received before workers are probed
	minHeartbeatGap     = 750 * time.Millisecond // least time without a heartbeat before workers are probed
)

// ShouldProbe reports whether a controller that expects perSecond heartbeats per second, and
// received its last one sinceLast ago, should check whether it still reaches the workers.
func ShouldProbe(perSecond float64, sinceLast time.Duration) bool {
	return sinceLast >= minHeartbeatGap && perSecond*sinceLast.Seconds() >= minMissedHeartbeats
}
