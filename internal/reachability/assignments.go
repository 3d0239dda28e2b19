package reachability

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// leaderFillShare is how full of workers a leader stays that assigns some to others, so that it does
	// not begin anew with each that joins.
	leaderFillShare = 0.95
	// underloadedShare is the part of its capacity below which all workers must be, for
	// underloadedFor, before a leader takes them back.
	underloadedShare    = 0.9
	underloadedDuration = 30 * time.Second
	// planChangeShare is by how much of its capacity the workers of others must change before
	// the plan does: with each change some workers move.
	planChangeShare = 0.05
	// Plans are made by counts that have a worker which moves at both ends for a while. In
	// times of the pause between heartbeats: for how long another plan must be better before
	// it is taken, and how soon after the last one if this controller is over its capacity.
	planChangeIntervals = 5
	overloadedIntervals = 3
)

// Assignment is a controller's part of the workers while one has no room for them all.
type Assignment struct {
	Node  string  `json:"n"`
	Share float64 `json:"s"` // workers that are to report there
}

// AssignmentPlanner decides, at the controller to which workers should report, which of them
// report to others for want of connections. The zero value is ready for use; it is not
// safe for concurrent use.
type AssignmentPlanner struct {
	assignments      []Assignment
	underloadedSince time.Time // since when all workers would have room here; zero: they don't
	plannedAt        time.Time // when assignments last changed
	betterSince      time.Time // since when another plan would be better; zero: it would not
}

// Plan returns the assignments, nil while one controller has room for all workers. count is how
// many workers report to this controller, capacity how many may, and interval the pause between
// a worker's heartbeats.
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

// countWorkers adds the peers' workers to those here. Peers say how many they have once some
// controller, perhaps this one's predecessor as leader, has assigned workers: shared.
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

// underloaded reports whether all workers would have had room here for long.
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

// planAssignments assigns the workers that have no room here, by the capacity that others have.
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
	part := min(1, max(0, float64(all)-own)/float64(total))
	for i := range v.Peers {
		if peer := &v.Peers[i]; peer.assignable() {
			out = append(out, Assignment{peer.Name, math.Round(part * float64(peer.Status.WorkerCapacity))})
		}
	}
	return out
}

// assignable reports whether workers may be assigned to a peer: it exchanges messages with this
// controller, hears workers and has connections left.
func (p *Peer) assignable() bool {
	return p.DirectlyReached() && p.OutboundReachable && p.Status.LeaseHeld && !p.lostWorkers() && p.Status.WorkerCapacity > 0
}

// lostWorkers reports whether a peer hears none of the workers that it should. One that
// hears some, of many that have left it within the last minute, is well.
func (p *Peer) lostWorkers() bool { return p.Status.InboundLost() && p.Status.WorkerCount == 0 }

// differsEnough reports whether a plan differsEnough by so much that workers are to move for it.
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

// HasAssignments reports whether any controller that is known of assigns workers to others: then
// the others say how many they have room for.
func (v *View) HasAssignments() bool {
	if v.Self.Assignments != nil {
		return true
	}
	return slices.ContainsFunc(v.Peers, func(p Peer) bool { return p.IsFresh() && p.Status.Assignments != nil })
}

// LeaderFor names the controller to which a worker should report: Leader, or the one to which
// that controller's plan assigns the worker, if it can be seen to be there.
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
	case peer != nil && peer.IsFresh() && !peer.lostWorkers():
		return assigned
	}
	return leader
}

// assignedNode chooses a worker's controller by rendezvous hashing, weighted by the shares: when
// a share changes, only as many workers move as it changes by.
func assignedNode(worker string, plan []Assignment) (node string) {
	earliest := math.Inf(1)
	for _, assignment := range plan {
		if assignment.Share <= 0 {
			continue
		}
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(assignment.Node)) // returns no error, as all hashes
		_, _ = hash.Write([]byte{0})
		_, _ = hash.Write([]byte(worker))
		// The first of several exponential clocks whose rates are the shares.
		if at := -math.Log(hashToUniform(hash.Sum64())) / assignment.Share; at < earliest {
			node, earliest = assignment.Node, at
		}
	}
	return node
}

// hashToUniform makes a number above 0, and at most 1, of a hash, whose upper bits names that
// differ in their last digits hardly change.
func hashToUniform(h uint64) float64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return (float64(h>>11) + 1) / (1 << 53)
}
