package controller

import (
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/autoscaler"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/reachability"
	"github.com/wallrack/wallrack/internal/statestore"
)

const (
	storeTimeout        = 3 * time.Second        // without a response for so long the state service counts as unreachable
	probeResultFor      = 3 * time.Second        // how long the outcome of a probe counts
	urgentAnnouncePause = 500 * time.Millisecond // between announcements that others wait for
)

// nodeStatus is what this controller says of itself to the others. Other parts set what they
// measured. It is safe for concurrent use.
type nodeStatus struct {
	node   string
	store  *statestore.Client
	member *membership.Member
	cloud  *autoscaler.Cloud
	table  *reachability.Table

	startedMs int64

	mu          sync.Mutex
	seq         uint64
	heartbeats  heartbeatCount
	assignments workerAssignments
	probe       probeState
}

// heartbeatCount is what came from workers within dispatch.HeartbeatWindow.
type heartbeatCount struct {
	received int
	expected float64
	workers  *reachability.NameSet // nil: all peers are reached and need none
}

// workerAssignments are how workers are divided among controllers, and how many fit here.
type workerAssignments struct {
	plan     []reachability.Assignment
	capacity int
	workers  int
}

// probeState is the last probe of workers that were suspected to be out of reach.
type probeState struct {
	sample  []string // of the endpoints that peers shall probe too; empty: nothing is suspected
	at      time.Time
	success float64 // share of the probed workers that responded
	urgent  bool    // others wait for this status
}

// current returns the status as of now, under a new sequence number.
func (s *nodeStatus) current(now time.Time) reachability.NodeStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	status := reachability.NodeStatus{
		Node: s.node, StartedMs: s.startedMs, Seq: s.seq, StoreReachable: s.store.SinceLastSuccess() < storeTimeout && !s.store.UsesRelay(),
		LeaseHeld: s.member.LeaseRemaining() > 0, OwnsJobs: len(s.member.OwnedShards()) > 0, PreferredLeader: preferredLeader(s.member), CloudReachable: s.cloud.Reached(),
		Heartbeats: s.heartbeats.received, ExpectedHeartbeats: s.heartbeats.expected, UnreachedPeers: s.table.UnreachedPeers(now),
		ProbeSample: s.probe.sample, Probed: now.Sub(s.probe.at) < probeResultFor,
		HeardWorkers: s.heartbeats.workers, Assignments: s.assignments.plan, WorkerCapacity: s.assignments.capacity, WorkerCount: s.assignments.workers,
	}
	if status.Probed {
		status.ProbeSuccess = s.probe.success
	}
	return status
}

func (s *nodeStatus) setHeartbeats(count heartbeatCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeats = count
}

func (s *nodeStatus) setAssignments(assignments workerAssignments) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assignments = assignments
}

// suspicion returns how many heartbeats are expected within dispatch.HeartbeatWindow, and
// whether workers are suspected to be out of reach.
func (s *nodeStatus) suspicion() (expected float64, suspected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heartbeats.expected, len(s.probe.sample) > 0
}

// setSuspicion sets the endpoints that peers shall probe too; urgent if they are to get it
// at once.
func (s *nodeStatus) setSuspicion(sample []string, urgent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probe.sample, s.probe.urgent = sample, urgent
}

// sinceProbe returns how long ago the last probe ended.
func (s *nodeStatus) sinceProbe() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.probe.at)
}

// setProbe notes the share of probed workers that responded. Others wait for it.
func (s *nodeStatus) setProbe(success float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probe.at, s.probe.success, s.probe.urgent = time.Now(), success, true
}

// announcementDue reports whether this status is to be announced: after each pause, or at
// once if others wait for it.
func (s *nodeStatus) announcementDue(now, last time.Time, pause time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probe.urgent && now.Sub(last) >= urgentAnnouncePause {
		s.probe.urgent = false
		return true
	}
	return now.Sub(last) >= pause
}
