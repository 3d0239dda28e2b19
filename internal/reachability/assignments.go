package reachability

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// leaderFillShare is the share of its capacity that a leader fills with workers when it assigns
	// some to others, so that it does not plan anew with each worker that joins.
	leaderFillShare = 0.95
	// underloadedShare is the share of the leader's capacity below which the number of all workers
	// must stay for underloadedDuration before the leader takes all of them back.
	underloadedShare    = 0.9
	underloadedDuration = 30 * time.Second
	// planChangeShare is a share of the leader's capacity. Unless the leader is above its capacity,
	// a plan is replaced by one with the same controllers only if their shares differ by more than
	// that in total: each change moves some workers.
	planChangeShare = 0.05
	// A worker that moves is counted at both controllers for a while, so that plans are made from
	// imprecise counts. planChangeIntervals is the number of heartbeat intervals for which a
	// different plan must be better before it is applied. overloadedIntervals is the least number of
	// heartbeat intervals between plans while this controller is above its capacity.
	planChangeIntervals = 5
	overloadedIntervals = 3
)

// Assignment is a controller's share of the workers while one controller has no capacity for all.
type Assignment struct {
	Node  string  `json:"n"`
	Share float64 `json:"s"` // number of workers that should report there
}

// AssignmentPlanner decides, on the controller to which workers should report, how many of them
// report to other controllers because it lacks connections. The zero value is ready for use. It is
// not safe for concurrent use.
type AssignmentPlanner struct {
	assignments      []Assignment
	underloadedSince time.Time // since when all workers have been fewer than underloadedShare of the capacity; zero: they are not
	plannedAt        time.Time // time when assignments last changed
	betterSince      time.Time // since when a different plan has been better; zero: none is
}

// Plan returns the assignments. It returns nil until this controller lacks capacity, and again
// once all workers have been fewer than underloadedShare of the capacity for underloadedDuration.
// On a controller that does not take itself for the leader or has no capacity, it returns nil. count is
// the number of workers that report to this controller, capacity the number that may, and interval
// the pause between a worker's heartbeats.
func (p *AssignmentPlanner) Plan(now time.Time, v *View, count, capacity int, interval time.Duration) []Assignment {
	if v.Self.PreferredLeader != v.Self.Node || capacity <= 0 {
		*p = AssignmentPlanner{}
		return nil
	}
	all, shared := v.countWorkers(count)
	if p.assignments == nil && count <= capacity && (!shared || all <= capacity) {
		return nil
	}
	if p.underloaded(now, all, capacity) {
		*p = AssignmentPlanner{}
		return nil
	}
	next := planAssignments(v, all, capacity)
	switch {
	case !p.differsEnough(next, capacity):
		p.betterSince = time.Time{}
	case p.betterSince.IsZero():
		p.betterSince = now
	}
	first := p.assignments == nil || len(p.assignments) < 2 && len(next) >= 2
	overloaded := count > capacity && now.Sub(p.plannedAt) >= overloadedIntervals*interval
	better := !p.betterSince.IsZero() && now.Sub(p.betterSince) >= planChangeIntervals*interval
	if first || overloaded || better {
		p.assignments, p.plannedAt, p.betterSince = next, now, time.Time{}
	}
	return p.assignments
}

// countWorkers returns the number of workers that report here or to peers. Peers publish their
// counts only while some controller, perhaps this one's predecessor as leader, assigns workers;
// shared is true if any does.
func (v *View) countWorkers(here int) (all int, shared bool) {
	all = here
	for i := range v.Peers {
		if peer := &v.Peers[i]; peer.IsFresh() {
			shared = shared || peer.Status.WorkerCapacity > 0
			all += peer.Status.WorkerCount
		}
	}
	return all, shared
}

// underloaded reports whether all workers have been fewer than underloadedShare of the capacity for
// underloadedDuration.
func (p *AssignmentPlanner) underloaded(now time.Time, all, capacity int) bool {
	switch {
	case float64(all) >= underloadedShare*float64(capacity):
		p.underloadedSince = time.Time{}
	case p.underloadedSince.IsZero():
		p.underloadedSince = now
	case now.Sub(p.underloadedSince) >= underloadedDuration:
		return true
	}
	return false
}

// planAssignments assigns the workers beyond leaderFillShare of this controller's capacity to peers,
// in proportion to their capacities and not beyond these.
func planAssignments(v *View, all, capacity int) []Assignment {
	own := leaderFillShare * float64(capacity)
	out := []Assignment{{v.Self.Node, own}}
	total := 0
	for i := range v.Peers {
		if peer := &v.Peers[i]; peer.assignable() {
			total += peer.Status.WorkerCapacity
		}
	}
	if total == 0 {
		return out
	}
	fill := min(1, max(0, float64(all)-own)/float64(total))
	for i := range v.Peers {
		if peer := &v.Peers[i]; peer.assignable() {
			out = append(out, Assignment{peer.Name, math.Round(fill * float64(peer.Status.WorkerCapacity))})
		}
	}
	return out
}

// assignable reports whether workers may be assigned to a peer: it exchanges messages with this
// controller, holds its lease, receives heartbeats and has connections for workers.
func (p *Peer) assignable() bool {
	return p.DirectlyReached() && p.OutboundReachable && p.Status.LeaseHeld && !p.receivesNoHeartbeats() && p.Status.WorkerCapacity > 0
}

// receivesNoHeartbeats reports whether a peer receives no heartbeats although it should. It
// returns false for a peer that still has some workers after most have moved away within the last
// minute.
func (p *Peer) receivesNoHeartbeats() bool {
	return p.Status.InboundLost() && p.Status.WorkerCount == 0
}

// differsEnough reports whether a plan is for other controllers than the present one, or differs
// from it by so much that workers should move.
func (p *AssignmentPlanner) differsEnough(next []Assignment, capacity int) bool {
	if !slices.EqualFunc(next, p.assignments, func(a, b Assignment) bool { return a.Node == b.Node }) {
		return true
	}
	moved := 0.0
	for i := range next {
		moved += math.Abs(next[i].Share - p.assignments[i].Share)
	}
	return moved > max(1, planChangeShare*float64(capacity))
}

// HasAssignments reports whether any known controller assigns workers to others. If so, the other
// controllers publish their capacity.
func (v *View) HasAssignments() bool {
	if v.Self.Assignments != nil {
		return true
	}
	return slices.ContainsFunc(v.Peers, func(p Peer) bool { return p.IsFresh() && p.Status.Assignments != nil })
}

// LeaderFor returns the controller to which a worker should report: the one that the leader's plan
// assigns it to, if that is this one or is known to receive heartbeats, or else the result of Leader.
func (v *View) LeaderFor(worker string) string {
	leader := v.Leader()
	plan := v.Self.Assignments
	if leader != v.Self.Node {
		plan = v.peer(leader).Status.Assignments
	}
	if leader == v.Self.Node && v.Self.PreferredLeader != v.Self.Node || len(plan) < 2 {
		return leader
	}
	assigned := assignedNode(worker, plan)
	switch peer := v.peer(assigned); {
	case assigned == v.Self.Node:
		return assigned
	case peer != nil && peer.IsFresh() && !peer.receivesNoHeartbeats():
		return assigned
	}
	return leader
}

// assignedNode chooses a worker's controller by rendezvous hashing weighted by the shares: when a
// share changes, only about as many workers move as it changes by. It returns "" if no share is positive.
func assignedNode(worker string, plan []Assignment) (node string) {
	earliest := math.Inf(1)
	for _, assignment := range plan {
		if assignment.Share <= 0 {
			continue
		}
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(assignment.Node)) // hashes return no errors
		_, _ = hash.Write([]byte{0})
		_, _ = hash.Write([]byte(worker))
		// Each controller gets an exponentially distributed value, with its share as the rate. The
		// controller with the lowest value is chosen.
		if at := -math.Log(hashToUniform(hash.Sum64())) / assignment.Share; at < earliest {
			node, earliest = assignment.Node, at
		}
	}
	return node
}

// hashToUniform maps a hash to a number above 0 and at most 1. It mixes the bits first, since the
// upper bits of the hash hardly differ between names that differ only in their last digits.
func hashToUniform(h uint64) float64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return (float64(h>>11) + 1) / (1 << 53)
}
