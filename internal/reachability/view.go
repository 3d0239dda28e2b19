// Package reachability is a controller's view of the links between the nodes: which
// controller reaches the state service, the workers, the cloud and which peers,
// as far as any controller could say, by what way and how long ago.
//
// A Table keeps the newest status of every peer. What is decided by it is decided here, by pure
// functions of a View and small state machines: to which controller workers report (routing.go,
// assignments.go), when shards are transferred (transfer_monitor.go), and when a worker counts
// as failed (failure_detector.go). The package sends nothing and acts on no decision.
package reachability

import "time"

// Path is how a status came here, the best first.
type Path int

// The paths.
const (
	Direct   Path = iota // from the controller itself
	ViaPeer              // passed on by a peer
	ViaStore             // read from the state service
)

var paths = [...]string{"direct", "third", "state"}

// String names the path for operators.
func (p Path) String() string { return paths[p] }

// Peer is a peer in a View.
type Peer struct {
	Name              string
	Status            NodeStatus
	Known             bool          // a status of it ever came
	Path              Path          // by which the status came
	Age               time.Duration // of the status; without one, of this process
	SinceHeard        time.Duration // since it was last heard directly
	OutboundReachable bool          // calls to it work, as far as is known
}

// DirectlyReached reports whether the peer exchanges messages with this controller directly.
func (p *Peer) DirectlyReached() bool { return p.Known && p.SinceHeard < PeerTimeout }

// IsFresh reports whether what the peer said is new enough to act by.
func (p *Peer) IsFresh() bool {
	if !p.Known {
		return false
	}
	if p.Path == ViaStore {
		return p.Age < storeStatusTimeout
	}
	return p.Age < PeerTimeout
}

// View is the links as this controller sees them at one moment.
type View struct {
	Self  NodeStatus
	Peers []Peer // in the order of the settings
}

// peer returns a peer of the view, or nil.
func (v *View) peer(name string) *Peer {
	for i := range v.Peers {
		if v.Peers[i].Name == name {
			return &v.Peers[i]
		}
	}
	return nil
}
