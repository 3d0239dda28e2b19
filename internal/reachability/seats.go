package reachability

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// fillTo is how full of workers a holder stays that hands some on, so that it does
	// not begin anew with each that joins.
	fillTo = 0.95
	// underloadedShare is the part of its room below which all workers must be, for calmFor,
	// before a holder takes them back.
	underloadedShare = 0.9
	underloadedFor   = 30 * time.Second
	// planSlack is by how much of its room the workers to be handed on must change before
	// the plan does: with each change some workers move.
	planSlack = 0.05
	// Plans are made by counts that have a worker which moves at both ends for a while, in
	// times of the pause between reports: for how long another plan must be better before
	// it is taken, and how soon after the last one if this controller is too full.
	settleReports = 5
	fullReports   = 3
)

// Assignment is a controller's part of the workers while one can't hold them all.
type Assignment struct {
	Node  string  `json:"n"`
	Share float64 `json:"s"` // workers that are to be there
}

// AssignmentPlanner is the decision of the controller that should hold the workers which of them
// others are to hold, for want of connections. The zero value is ready for use; it is not
// safe for concurrent use.
type AssignmentPlanner struct {
	assignments      []Assignment
	underloadedSince time.Time // since when all workers would fit here; zero: they don't
	planned          time.Time // when the seats last changed
	better           time.Time // since when another plan would be better; zero: it would not
}

// Plan returns the seats, nil while one controller holds all workers. here is how many
// workers report to this controller, room how many may.
func (p *AssignmentPlanner) Plan(now time.Time, v *View, here, room int, report time.Duration) []Assignment {
	if v.Self.PreferredLeader != v.Self.Node || room <= 0 {
		*p = AssignmentPlanner{}
		return nil
	}
	// Peers say how many workers they hold once some controller, perhaps a predecessor of
	// this one, has shared them out.
	all, shared := here, p.assignments != nil
	for i := range v.Peers {
		if q := &v.Peers[i]; q.IsFresh() {
			shared = shared || q.Status.WorkerCapacity > 0
			all += q.Status.WorkerCount
		}
	}
	if here <= room && (!shared || p.assignments == nil && all <= room) {
		return nil
	}
	if float64(all) >= underloadedShare*float64(room) {
		p.underloadedSince = time.Time{}
	} else if p.underloadedSince.IsZero() {
		p.underloadedSince = now
	} else if now.Sub(p.underloadedSince) >= underloadedFor {
		*p = AssignmentPlanner{}
		return nil
	}
	next := planAssignments(v, all, room)
	switch {
	case !p.differs(next, room):
		p.better = time.Time{}
	case p.better.IsZero():
		p.better = now
	}
	first := len(p.assignments) < 2 && len(next) >= 2
	full := here > room && now.Sub(p.planned) >= fullReports*report
	if p.assignments == nil || first || full || !p.better.IsZero() && now.Sub(p.better) >= settleReports*report {
		p.assignments, p.planned, p.better = next, now, time.Time{}
	}
	return p.assignments
}

// planAssignments shares out the workers that don't fit here, by the room that others have.
func planAssignments(v *View, all, room int) []Assignment {
	own := fillTo * float64(room)
	out := []Assignment{{v.Self.Node, own}}
	total := 0
	for i := range v.Peers {
		if p := &v.Peers[i]; p.assignable() {
			total += p.Status.WorkerCapacity
		}
	}
	if total == 0 {
		return out
	}
	part := min(1, max(0, float64(all)-own)/float64(total))
	for i := range v.Peers {
		if p := &v.Peers[i]; p.assignable() {
			out = append(out, Assignment{p.Name, math.Round(part * float64(p.Status.WorkerCapacity))})
		}
	}
	return out
}

// assignable reports whether workers may be sent to a peer: it exchanges messages with this
// controller, hears workers and has connections left.
func (p *Peer) assignable() bool {
	return p.DirectlyReached() && p.OutboundReachable && p.Status.LeaseHeld && !p.lostWorkers() && p.Status.WorkerCapacity > 0
}

// lostWorkers reports whether a peer hears none of the workers that it should. One that
// hears some, of many that have left it within the last minute, is well.
func (p *Peer) lostWorkers() bool { return p.Status.InboundLost() && p.Status.WorkerCount == 0 }

// differs reports whether a plan differs by so much that workers are to move for it.
func (p *AssignmentPlanner) differs(next []Assignment, room int) bool {
	if !slices.EqualFunc(next, p.assignments, func(a, b Assignment) bool { return a.Node == b.Node }) {
		return true
	}
	moved := 0.0
	for i := range next {
		moved += math.Abs(next[i].Share - p.assignments[i].Share)
	}
	return moved > max(1, planSlack*float64(room))
}

// SharesWorkers reports whether any controller that is known of shares out workers: then the
// others say how many they have room for.
func (v *View) SharesWorkers() bool {
	if v.Self.Assignments != nil {
		return true
	}
	return slices.ContainsFunc(v.Peers, func(p Peer) bool { return p.IsFresh() && p.Status.Assignments != nil })
}

// LeaderFor names the controller that should hold a worker: Foreman, or the one on whose
// seat it is by that controller's plan, if it can be seen to be there.
func (v *View) LeaderFor(worker string) string {
	foreman := v.Leader()
	plan := v.Self.Assignments
	if foreman != v.Self.Node {
		plan = v.peer(foreman).Status.Assignments
	}
	if foreman == v.Self.Node && v.Self.PreferredLeader != v.Self.Node || len(plan) < 2 {
		return foreman
	}
	seat := assignmentOf(worker, plan)
	switch p := v.peer(seat); {
	case seat == v.Self.Node:
		return seat
	case p != nil && p.IsFresh() && !p.lostWorkers():
		return seat
	}
	return foreman
}

// assignmentOf chooses a worker's seat by rendezvous hashing, weighted by the shares: when a
// share changes, only as many workers move as it changes by.
func assignmentOf(worker string, plan []Assignment) (best string) {
	least := math.Inf(1)
	for _, s := range plan {
		if s.Share <= 0 {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(s.Node))
		_, _ = h.Write([]byte{0})
		_, _ = h.Write([]byte(worker))
		// The first of several exponential clocks whose rates are the shares.
		if at := -math.Log(uniform(h.Sum64())) / s.Share; at < least {
			best, least = s.Node, at
		}
	}
	return best
}

// uniform makes a number above 0, and at most 1, of a hash, whose upper bits names that
// differ in their last digits hardly change.
func uniform(h uint64) float64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return (float64(h>>11) + 1) / (1 << 53)
}
