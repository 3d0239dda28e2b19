package reachability

import "slices"

// UnreachedPeers returns the peers without a recent status received over the mesh, directly or
// relayed. Statuses can be exchanged with them only through the state service.
func (v *View) UnreachedPeers() []string {
	var out []string
	for i := range v.Peers {
		if peer := &v.Peers[i]; !peer.Known || peer.Path == ViaStore || peer.Age >= PeerTimeout {
			out = append(out, peer.Name)
		}
	}
	return out
}

// Leader returns the controller to which workers should report: the one that leads most shards, so
// that grants need no round trip. It returns this controller if no such leader is known, or if
// the leader's status is not fresh or says that its inbound links are lost (see InboundLost). A
// status that is known only from the state service suffices: a worker gains nothing from reporting
// to a controller that the leader can't reach.
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

// SeenAsLeaderByPeer reports whether a peer regards this controller as the leader although this one,
// which holds its lease, leads no shards as far as it knows: shards were transferred to it, and its watch of the state
// service lags behind.
func (v *View) SeenAsLeaderByPeer() bool {
	if v.Self.LeadsShards || !v.Self.LeaseHeld {
		return false
	}
	return slices.ContainsFunc(v.Peers, func(peer Peer) bool {
		return peer.IsFresh() && peer.Status.LeaseHeld && peer.Status.PreferredLeader == v.Self.Node
	})
}

// Isolated reports whether this controller leads no shards and knows of no controller that could
// start tasks: it has peers, reaches none of them directly, and does not reach the state service.
// If it continued to answer workers, they would receive no tasks, and the leader would learn of
// the tasks that they run only later.
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

// StoreReachablePeers returns the peers that can be called and reach the state service.
func (v *View) StoreReachablePeers() []string {
	var out []string
	for i := range v.Peers {
		if peer := &v.Peers[i]; peer.DirectlyReached() && peer.OutboundReachable && peer.Status.StoreReachable {
			out = append(out, peer.Name)
		}
	}
	return out
}

// Healthy reports whether this controller should serve clients: it reaches the state service, or
// no peer with a fresh status does.
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

// NextHop returns the controller to which a message for a peer is to be sent. This is a third
// controller if this one can't call the peer and the third one reaches it, and otherwise the peer
// itself. A message is relayed at most once.
func (v *View) NextHop(to string) string {
	peer := v.peer(to)
	if peer == nil || peer.OutboundReachable {
		return to
	}
	for i := range v.Peers {
		relay := &v.Peers[i]
		if relay.Name != to && relay.DirectlyReached() && relay.OutboundReachable && !slices.Contains(relay.Status.UnreachedPeers, to) {
			return relay.Name
		}
	}
	return to
}
