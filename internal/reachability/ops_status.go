package reachability

import "time"

// OpsStatus is a controller's view of the links as shown to operators.
type OpsStatus struct {
	Node        string    `json:"node"`
	State       string    `json:"state"`         // see View.StorePath
	Kept        int       `json:"kept"`          // unresponsive workers that were kept by the last verdict
	CancelsAgeS float64   `json:"cancels_age_s"` // age in s of the time up to which all cancels confirmed by any controller are known here
	Cancelled   int       `json:"cancelled"`     // cancelled jobs whose tasks are halted wherever they are reported
	Answers     bool      `json:"answers"`       // this controller may answer workers
	Links       []OpsLink `json:"links"`
	Controllers []OpsNode `json:"controllers"`
}

// OpsLink is a link of the queried controller.
type OpsLink struct {
	To     string  `json:"to"`
	Is     string  `json:"is"` // see Peer.ReachedBy
	SinceS float64 `json:"since_s"`
}

// OpsNode is the queried controller's knowledge of one controller.
type OpsNode struct {
	Node     string   `json:"node"`
	Reached  string   `json:"reached"` // how the queried controller reaches it, see Peer.ReachedBy
	AgeS     float64  `json:"age_s"`   // age of its status in s
	State    bool     `json:"state"`
	Held     bool     `json:"held"`
	Owns     bool     `json:"owns"`
	Cloud    bool     `json:"cloud"`
	Reports  int      `json:"reports"`
	Expected float64  `json:"expected"`
	Lacks    []string `json:"lacks"`
}

// OpsStatus converts the view for operators. relayed is true if requests to the state service go
// through a peer. The caller sets Kept, CancelsAgeS, Cancelled, Answers and Links.
func (v *View) OpsStatus(relayed bool) OpsStatus {
	out := OpsStatus{Node: v.Self.Node, State: v.StorePath(relayed)}
	out.Controllers = append(out.Controllers, v.Self.opsNode(v.Self.Node, "self", 0))
	for i := range v.Peers {
		peer := &v.Peers[i]
		age := peer.Age
		if !peer.Known {
			age = 0
		}
		out.Controllers = append(out.Controllers, peer.Status.opsNode(peer.Name, peer.ReachedBy(), age))
	}
	return out
}

func (s *NodeStatus) opsNode(name, reached string, age time.Duration) OpsNode {
	return OpsNode{
		Node: name, Reached: reached, AgeS: age.Seconds(), State: s.StoreReachable, Held: s.LeaseHeld, Owns: s.LeadsShards,
		Cloud: s.CloudReachable, Reports: s.Heartbeats, Expected: s.ExpectedHeartbeats, Lacks: s.UnreachedPeers,
	}
}

// ReachedBy describes for operators how the peer is reached.
func (p *Peer) ReachedBy() string {
	switch {
	case p.DirectlyReached() && p.OutboundReachable:
		return "up"
	case p.DirectlyReached():
		return "heard, not reached"
	case p.IsFresh():
		return "known by " + p.Path.String()
	case p.Known:
		return "dark"
	}
	return "never heard"
}

// StorePath describes for operators how this controller reaches the state service.
func (v *View) StorePath(relayed bool) string {
	switch {
	case relayed:
		return "by a peer"
	case v.Self.StoreReachable:
		return "straight"
	}
	return "lost"
}
