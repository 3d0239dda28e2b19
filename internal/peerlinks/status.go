package peerlinks

import (
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/autoscaler"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/reachability"
	"github.com/wallrack/wallrack/internal/statestore"
)

// ProbeResultValidity is how long the outcome of a probe counts as this controller's present reach.
const ProbeResultValidity = 3 * time.Second

const (
	storeTimeout           = 3 * time.Second        // without a response for so long the state service counts as unreachable
	urgentAnnounceInterval = 500 * time.Millisecond // between announcements that others wait for
)

// Status is what this controller says of itself to the others. Other parts set what they
// measured. It is safe for concurrent use.
type Status struct {
	node   string
	store  *statestore.Client
	member *membership.Member
	cloud  *autoscaler.Cloud
	table  *reachability.Table

	startedMs int64

	mu          sync.Mutex
	seq         uint64
	heartbeats  HeartbeatCount
	assignments WorkerAssignments
	probe       probeState
}

// HeartbeatCount is what came from workers within dispatch.HeartbeatWindow.
type HeartbeatCount struct {
	Received int
	Expected float64
	Workers  *reachability.NameSet // nil: all peers are reached and need none
}

// WorkerAssignments are how workers are divided among controllers, and how many fit here.
type WorkerAssignments struct {
	Plan     []reachability.Assignment
	Capacity int
	Workers  int
}

// probeState is the last probe of workers that were suspected to be out of reach.
type probeState struct {
	sample  []string // of the endpoints that peers shall probe too; empty: nothing is suspected
	at      time.Time
	success float64 // share of the probed workers that responded
	urgent  bool    // others wait for this status
}

// Current returns the status as of now, under a new sequence number.
func (s *Status) Current(now time.Time) reachability.NodeStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	status := reachability.NodeStatus{
		Node: s.node, StartedMs: s.startedMs, Seq: s.seq, StoreReachable: s.store.SinceLastSuccess() < storeTimeout && !s.store.UsesRelay(),
		LeaseHeld: s.member.LeaseRemaining() > 0, LeadsShards: len(s.member.LedShards()) > 0, PreferredLeader: preferredLeader(s.member), CloudReachable: s.cloud.Reached(),
		Heartbeats: s.heartbeats.Received, ExpectedHeartbeats: s.heartbeats.Expected, UnreachedPeers: s.table.UnreachedPeers(now),
		ProbeSample: s.probe.sample, Probed: now.Sub(s.probe.at) < ProbeResultValidity,
		HeardWorkers: s.heartbeats.Workers, Assignments: s.assignments.Plan, WorkerCapacity: s.assignments.Capacity, WorkerCount: s.assignments.Workers,
	}
	if status.Probed {
		status.ProbeSuccess = s.probe.success
	}
	return status
}

// SetHeartbeats notes what came from workers.
func (s *Status) SetHeartbeats(count HeartbeatCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeats = count
}

// SetAssignments notes how workers are divided.
func (s *Status) SetAssignments(assignments WorkerAssignments) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assignments = assignments
}

// Suspicion returns how many heartbeats are expected within dispatch.HeartbeatWindow, and
// whether workers are suspected to be out of reach.
func (s *Status) Suspicion() (expected float64, suspected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heartbeats.Expected, len(s.probe.sample) > 0
}

// SetProbeSample sets the endpoints that peers shall probe too; urgent if they are to get it
// at once.
func (s *Status) SetProbeSample(sample []string, urgent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probe.sample, s.probe.urgent = sample, urgent
}

// SinceProbe returns how long ago the last probe ended.
func (s *Status) SinceProbe() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.probe.at)
}

// SetProbeResult notes the share of probed workers that responded. Others wait for it.
func (s *Status) SetProbeResult(success float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probe.at, s.probe.success, s.probe.urgent = time.Now(), success, true
}

// AnnouncementDue reports whether this status is to be announced: after each pause, or at
// once if others wait for it.
func (s *Status) AnnouncementDue(now, last time.Time, pause time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probe.urgent && now.Sub(last) >= urgentAnnounceInterval {
		s.probe.urgent = false
		return true
	}
	return now.Sub(last) >= pause
}
