package controller

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/failovertiming"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/statestore"
)

// chief is the owner of most shards, as far as this controller knows.
func (n *node) chief() string {
	if owners := n.member.ShardOwners(); len(owners) > 0 {
		return owners[0]
	}
	return ""
}

// LeaderFor names the controller that should hold a worker.
func (n *node) LeaderFor(worker string) string { return n.links.now().LeaderFor(worker) }

// MayAnswerWorkers reports whether this controller may answer workers: it knows of all
// cancels that were confirmed up to a moment ago, by whomever.
func (n *node) MayAnswerWorkers() bool {
	return n.member.FencingToken() != 0 && time.Since(n.cancels.KnownUntil()) < n.grace()
}

// Isolated reports whether this controller can start nothing and knows of nobody who can.
func (n *node) Isolated() bool { return n.links.now().Isolated() && len(n.member.OwnedShards()) == 0 }

// ShardOwners names the other controllers that own shards.
func (n *node) ShardOwners() []string {
	var out []string
	add := func(name string) {
		if name != "" && name != n.cfg.Node && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	if n.member.LeaseRemaining() > 0 {
		for _, o := range n.member.ShardOwners() {
			add(o)
		}
		return out
	}
	v := n.links.now()
	for i := range v.Peers {
		if p := &v.Peers[i]; p.IsFresh() && p.Status.LeaseHeld {
			add(p.Status.PreferredLeader)
		}
	}
	return out
}

// ServingPeers names the other controllers that reach the state service.
func (n *node) ServingPeers() []string { return n.links.now().ServingPeers() }

// Healthy fails only when this controller can't serve and a peer can.
func (n *node) Healthy() bool {
	up := n.member.FencingToken() != 0 && n.links.now().Healthy()
	if up {
		n.times.Mark(failovertiming.Up)
	}
	return up
}

// Ready reports whether a peer can pass requests to the state service on.
func (n *node) Ready() bool { return len(n.links.now().ServingPeers()) > 0 }

// Forward has a peer pass a request to the state service on.
func (n *node) Forward(ctx context.Context, req statestore.RelayedRequest) (*statestore.RelayedResponse, error) {
	by := n.links.now().ServingPeers()
	if len(by) == 0 {
		return nil, fmt.Errorf("%w: no peer reaches it", statestore.ErrUnavailable)
	}
	rep, err := mesh.Call[statestore.RelayedRequest, statestore.RelayedResponse](ctx, n.mesh, by[0], methodStore, &req)
	n.called(by[0], err, false)
	return rep, err // a connection that breaks after the request was sent looks like a refused one
}
