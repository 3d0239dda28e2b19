// Package reachability maintains a controller's view of the links between the nodes: which
// controller reaches the state service, the workers, the cloud and which peers, and the path and
// age of each status on which this view is based.
//
// A Table holds the newest status of every peer. Pure functions of a View and small state machines
// decide to which controller workers report (routing.go, assignments.go), when shards are
// transferred (transfer_monitor.go), and when a worker counts as failed (failure_detector.go). The
// package sends no messages and does not carry out its decisions.
package reachability

import "time"

// Path is how a status reached this controller, the most direct first.
type Path int

// The possible paths.
const (
	Direct   Path = iota // from the controller itself
	ViaPeer              // relayed by a peer
	ViaStore             // read from the state service
)

var paths = [...]string{"direct", "third", "state"}

// String returns the name shown to operators.
func (p Path) String() string { return paths[p] }

// Peer is a peer in a View.
type Peer struct {
	Name              string
	Status            NodeStatus
	Known             bool          // a status was received from it, on any path
	Path              Path          // of the newest status
	Age               time.Duration // of the status, or of this process if there is none
	SinceHeard        time.Duration // since a message last arrived from it directly
	OutboundReachable bool          // calls to it succeed, as far as is known
}

// DirectlyReached reports whether the peer's status is known and a message arrived from it directly
// within PeerTimeout.
func (p *Peer) DirectlyReached() bool { return p.Known && p.SinceHeard < PeerTimeout }

// IsFresh reports whether the peer's status is recent enough for decisions.
func (p *Peer) IsFresh() bool {
	if !p.Known {
		return false
	}
	if p.Path == ViaStore {
		return p.Age < storeStatusTimeout
	}
	return p.Age < PeerTimeout
}

// View is this controller's view of the links at one moment.
type View struct {
	Self  NodeStatus
	Peers []Peer // in the order of the configuration
}

// peer returns a peer by name, or nil.
func (v *View) peer(name string) *Peer {
	for i := range v.Peers {
		if v.Peers[i].Name == name {
			return &v.Peers[i]
		}
	}
	return nil
}
