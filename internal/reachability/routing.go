package reachability

import "slices"

// UnreachedPeers names the peers of whom nothing came by the mesh lately, neither
// directly nor through a third: what can be known of them, and they of this
// controller, only the state service can tell.
func (v *View) UnreachedPeers() []string {
	var out []string
	for i := range v.Peers {
		if peer := &v.Peers[i]; !peer.Known || peer.Path == ViaStore || peer.Age >= PeerTimeout {
			out = append(out, peer.Name)
		}
	}
	return out
}

// Leader names the controller to which workers should report: the one that leads the
// jobs, so that grants need no round trip, unless it is known not to hear
// workers. A peer of which only the state service tells is named too: this dispatcher, which the
// leader can't reach then, is of no use to the worker.
func (v *View) Leader() string {
	leader := v.Self.PreferredLeader
	if !v.Self.LeaseHeld {
		// This controller may be the only one that lost the state service.
		for i := range v.Peers {
			status := &v.Peers[i].Status
			if v.Peers[i].IsFresh() && status.LeaseHeld && status.PreferredLeader != "" && status.PreferredLeader != v.Self.Node {
				leader = status.PreferredLeader
				break
			}
		}
	}
	if peer := v.peer(leader); peer != nil && peer.IsFresh() && !peer.Status.InboundLost() {
		return leader
	}
	return v.Self.Node
}

// SeenAsLeaderByPeer reports whether a peer takes this controller for the leader although it leads
// nothing, as far as it knows itself: shards were transferred to it, and its watch of the state
// service is behind.
func (v *View) SeenAsLeaderByPeer() bool {
	if v.Self.LeadsShards || !v.Self.LeaseHeld {
		return false
	}
	return slices.ContainsFunc(v.Peers, func(peer Peer) bool {
		return peer.IsFresh() && peer.Status.LeaseHeld && peer.Status.PreferredLeader == v.Self.Node
	})
}

// Isolated reports whether this controller leads no jobs, or none any more, and knows of
// nobody who could start work: it reaches no peer, nor the state service. Workers that
// it went on answering would only wait here, and their tasks would be settled later by
// whoever leads the jobs.
func (v *View) Isolated() bool {
	if v.Self.LeadsShards || v.Self.StoreReachable {
		return false
	}
	for i := range v.Peers {
		if v.Peers[i].DirectlyReached() {
			return false
		}
	}
	return len(v.Peers) > 0
}

// StoreReachablePeers names the peers that reach the state service and that can be called.
func (v *View) StoreReachablePeers() []string {
	var out []string
	for i := range v.Peers {
		if peer := &v.Peers[i]; peer.DirectlyReached() && peer.OutboundReachable && peer.Status.StoreReachable {
			out = append(out, peer.Name)
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
		if peer := &v.Peers[i]; peer.IsFresh() && peer.Status.StoreReachable {
			return false
		}
	}
	return true
}

// NextHop names the controller to send a message for a peer to: the peer itself, or a
// third that reaches it if this controller does not. Messages are relayed once at most.
func (v *View) NextHop(to string) string {
	peer := v.peer(to)
	if peer == nil || peer.OutboundReachable {
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
