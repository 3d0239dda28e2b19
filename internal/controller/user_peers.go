package controller

import (
	"context"

	"github.com/wallrack/wallrack/internal/failovertiming"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/peerlinks"
	"github.com/wallrack/wallrack/internal/submission"
)

// userPeers passes users' requests to the other controllers. It implements submission.Peers.
type userPeers struct {
	*peerlinks.Leaders
	member   *membership.Member
	links    *peerlinks.View
	peers    *peerlinks.Caller
	timeline *failovertiming.Timeline
}

// ServingPeers returns the names of the other controllers that reach the state service.
func (u *userPeers) ServingPeers() []string { return u.links.Now().StoreReachablePeers() }

// Healthy reports whether users' requests should be sent to this controller. It is false before the
// controller has a fencing token, and while it can't reach the state service but a peer with a fresh status can.
func (u *userPeers) Healthy() bool {
	healthy := u.member.FencingToken() != 0 && u.links.Now().Healthy()
	if healthy {
		u.timeline.Mark(failovertiming.Up)
	}
	return healthy
}

// QueryPeer makes a peer serve a user's request.
func (u *userPeers) QueryPeer(ctx context.Context, peer string, r submission.Request) (*submission.Reply, error) {
	return peerlinks.Call[submission.Request, submission.Reply](ctx, u.peers, peer, methodUser, &r)
}

// userService serves the users' requests that peers forward.
type userService struct {
	submissions *submission.Service
}

func (u *userService) register(m *mesh.Mesh) {
	mesh.Handle(m, methodUser, func(ctx context.Context, r *submission.Request) (*submission.Reply, error) {
		reply := u.submissions.Serve(ctx, *r)
		return &reply, nil
	})
}
