package peerlinks

import (
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/autoscaler"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/reachability"
	"github.com/wallrack/wallrack/internal/statestore"
)

// ProbeResultValidity is the time for which the result of a probe is part of this controller's
// status.
const ProbeResultValidity = 3 * time.Second

const (
	storeTimeout           = 3 * time.Second        // the state service counts as unreachable when it has not responded for this time
	urgentAnnounceInterval = 500 * time.Millisecond // between announcements that other controllers wait for
)

// Status is the status that this controller publishes to the others. Other parts of the controller
// set what they measured. It is safe for concurrent use.
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

// HeartbeatCount describes the heartbeats received within dispatch.HeartbeatWindow.
type HeartbeatCount struct {
	Received int
	Expected float64
	Workers  *reachability.NameSet // workers heard; nil while all peers are reached and don't need the list
}

// WorkerAssignments describes how workers are distributed among the controllers, and this
// controller's capacity and number of workers.
type WorkerAssignments struct {
	Plan     []reachability.Assignment
	Capacity int
	Workers  int
}

// probeState is the last probe of workers that may be unreachable.
type probeState struct {
	sample  []string  // endpoints that peers should probe too; empty: no workers are suspected to be unreachable
	at      time.Time // end of the last probe
	success float64   // share of the probed workers that responded
	urgent  bool      // other controllers wait for this status
}

// Current returns the status as of now, with a new sequence number.
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

// SetHeartbeats sets the received and expected heartbeats.
func (s *Status) SetHeartbeats(count HeartbeatCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeats = count
}

// SetAssignments sets the distribution of the workers.
func (s *Status) SetAssignments(assignments WorkerAssignments) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assignments = assignments
}

// Suspicion returns the number of heartbeats expected within dispatch.HeartbeatWindow, and whether
// workers are suspected to be unreachable.
func (s *Status) Suspicion() (expected float64, suspected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heartbeats.Expected, len(s.probe.sample) > 0
}

// SetProbeSample sets the endpoints that peers should probe too. urgent requests an announcement
// without waiting for the next regular one; false withdraws an earlier request.
func (s *Status) SetProbeSample(sample []string, urgent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probe.sample, s.probe.urgent = sample, urgent
}

// SinceProbe returns the time since the last probe ended.
func (s *Status) SinceProbe() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.probe.at)
}

// SetProbeResult sets the share of probed workers that responded, and requests an urgent
// announcement.
func (s *Status) SetProbeResult(success float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probe.at, s.probe.success, s.probe.urgent = time.Now(), success, true
}

// AnnouncementDue reports whether the status should be announced: once pause has passed since the
// last announcement or, if an urgent one was requested, once urgentAnnounceInterval has passed. In
// the latter case it clears the request.
func (s *Status) AnnouncementDue(now, last time.Time, pause time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probe.urgent && now.Sub(last) >= urgentAnnounceInterval {
		s.probe.urgent = false
		return true
	}
	return now.Sub(last) >= pause
}
