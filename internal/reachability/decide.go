package reachability

import (
	"slices"
	"time"
)

// peer returns the view's row of a peer, or nil.
func (v *View) peer(name string) *Peer {
	for i := range v.Peers {
		if v.Peers[i].Name == name {
			return &v.Peers[i]
		}
	}
	return nil
}

// UnreachedPeers names the peers of whom nothing came by the mesh lately, neither
// directly nor through a third: what can be known of them, and they of this
// controller, only the state service can tell.
func (v *View) UnreachedPeers() []string {
	var out []string
	for i := range v.Peers {
		if p := &v.Peers[i]; !p.Known || p.Path == ViaStore || p.Age >= PeerTimeout {
			out = append(out, p.Name)
		}
	}
	return out
}

// Leader names the controller that should hold workers: the one that owns the
// jobs, so that grants need no round trip, unless it is known not to hear
// workers. A peer that the mesh does not reach is named too: a holder that the
// owner can't reach is of no use to the worker.
func (v *View) Leader() string {
	chief := v.Self.PreferredLeader
	if !v.Self.LeaseHeld {
		// This controller may be the only one that lost the state service.
		for i := range v.Peers {
			if p := &v.Peers[i]; p.IsFresh() && p.Status.LeaseHeld && p.Status.PreferredLeader != "" && p.Status.PreferredLeader != v.Self.Node {
				chief = p.Status.PreferredLeader
				break
			}
		}
	}
	if p := v.peer(chief); p != nil && p.IsFresh() && !p.Status.InboundLost() {
		return chief
	}
	return v.Self.Node
}

// Isolated reports whether this controller owns no jobs, or none any more, and knows of
// nobody who could start work: it hears no peer, nor the state service. Workers that
// it went on answering would only wait here, and their tasks would be settled later by
// whoever owns the jobs.
func (v *View) Isolated() bool {
	if v.Self.OwnsJobs || v.Self.StoreReachable {
		return false
	}
	for i := range v.Peers {
		if v.Peers[i].DirectlyReached() {
			return false
		}
	}
	return len(v.Peers) > 0
}

// ServingPeers names the peers that reach the state service and that can be asked.
func (v *View) ServingPeers() []string {
	var out []string
	for i := range v.Peers {
		if p := &v.Peers[i]; p.DirectlyReached() && p.OutboundReachable && p.Status.StoreReachable {
			out = append(out, p.Name)
		}
	}
	return out
}

// Healthy reports whether this controller should take users. It should not if, and
// only if, it lost the state service and a peer did not.
func (v *View) Healthy() bool {
	if v.Self.StoreReachable {
		return true
	}
	for i := range v.Peers {
		if p := &v.Peers[i]; p.IsFresh() && p.Status.StoreReachable {
			return false
		}
	}
	return true
}

// NextHop names the controller to send a message for a peer to: the peer itself, or a
// third that reaches it if this controller does not. Messages take one such way
// round at most.
func (v *View) NextHop(to string) string {
	p := v.peer(to)
	if p == nil || p.OutboundReachable {
		return to
	}
	for i := range v.Peers {
		third := &v.Peers[i]
		if third.Name != to && third.DirectlyReached() && third.OutboundReachable && !slices.Contains(third.Status.UnreachedPeers, to) {
			return third.Name
		}
	}
	return to
}

const (
	leastShare = 0.1  // of the reports expected, that a peer must hear to take over
	clearly    = 3    // how many times as many reports as the owner a peer must hear
	reaches    = 0.75 // share of tried machines, from which on they count as reached
	misses     = 0.25 // below which they do not
	settle     = 15 * time.Second
)

const (
	agree      = time.Second            // for which looks must agree on what is heard
	agreeTried = 200 * time.Millisecond // and on what was tried
)

// TransferWindow is the time over which hand-overs are counted; see Settle.
const TransferWindow = 5 * time.Minute

// TransferDelay is how long an owner waits before it gives its jobs away, after so many
// hand-overs within the Window: it leaves its workers time to find it, and a
// flapping link moves the jobs less and less.
func TransferDelay(moves int) time.Duration { return settle << min(moves, 4) }

// TransferMonitor looks at what controllers hear, to find an owner that hears its workers no
// more and a peer that does. The zero value is ready for use.
type TransferMonitor struct {
	since       time.Time // since when this controller owns jobs; zero if it does not
	inboundLost time.Time // since when looks found that another should own them
}

// Check is called at least once a second, with the hand-overs within the Window that
// are on record. It returns the peer that should own the jobs, or "". One look is
// not trusted: a process that stood still hears nothing for a moment either.
func (w *TransferMonitor) Check(now time.Time, v *View, moves int) string {
	if !v.Self.OwnsJobs {
		w.since, w.inboundLost = time.Time{}, time.Time{}
		return ""
	}
	if w.since.IsZero() {
		w.since = now
	}
	to, long := "", agree
	// The first hand-over of a window may come after the plain settling time; of
	// those before this owner's time each doubles it.
	if now.Sub(w.since) >= TransferDelay(max(0, moves-1)) {
		most := max(clearly*v.Self.Heartbeats, int(leastShare*v.Self.ExpectedHeartbeats))
		// Workers take seconds to give this controller up: what others reach when
		// they try says it sooner than what they hear.
		cut := v.Self.Probed && v.Self.ProbeSuccess <= misses
		tried := 0.0
		for i := range v.Peers {
			p := &v.Peers[i]
			switch {
			case !p.IsFresh() || !p.Status.StoreReachable || !p.Status.LeaseHeld:
			case v.Self.InboundLost() && p.Status.Heartbeats > most:
				to, most, tried, long = p.Name, p.Status.Heartbeats, 1, agree
			case cut && p.Status.Probed && p.Status.ProbeSuccess >= reaches && p.Status.ProbeSuccess > tried:
				to, tried, long = p.Name, p.Status.ProbeSuccess, agreeTried
			}
		}
	}
	switch {
	case to == "":
		w.inboundLost = time.Time{}
	case w.inboundLost.IsZero():
		w.inboundLost = now
	case now.Sub(w.inboundLost) >= long:
		w.inboundLost = time.Time{}
		return to
	}
	return ""
}
