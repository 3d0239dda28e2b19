package peerlinks

import (
	"slices"

	"github.com/wallrack/wallrack/internal/membership"
)

// Leaders tells which controllers lead shards. While this controller does not hold its lease, its
// membership records may be outdated, and the statuses of the peers are used instead. It is safe
// for concurrent use.
type Leaders struct {
	node   string
	member *membership.Member
	view   *View
}

// preferredLeader returns the controller that leads most shards as far as this controller knows,
// or "".
func preferredLeader(member *membership.Member) string {
	if leaders := member.ShardLeaders(); len(leaders) > 0 {
		return leaders[0]
	}
	return ""
}

// Leads reports whether this controller leads shards.
func (l *Leaders) Leads() bool {
	return l.member.LeaseRemaining() > 0 && len(l.member.LedShards()) > 0
}

// ShardLeaders returns the names of the other controllers that lead shards. While this controller
// does not hold its lease, these are the preferred leaders of the peers that hold theirs.
func (l *Leaders) ShardLeaders() []string {
	var out []string
	add := func(name string) {
		if name != "" && name != l.node && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	if l.member.LeaseRemaining() > 0 {
		for _, leader := range l.member.ShardLeaders() {
			add(leader)
		}
		return out
	}
	view := l.view.Now()
	for i := range view.Peers {
		if peer := &view.Peers[i]; peer.IsFresh() && peer.Status.LeaseHeld {
			add(peer.Status.PreferredLeader)
		}
	}
	return out
}
