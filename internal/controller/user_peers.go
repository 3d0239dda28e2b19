package controller

import (
	"context"
	"log/slog"
	"sync"

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
	log      *slog.Logger

	mu     sync.Mutex
	reason unhealthyReason // of the last health check
}

// unhealthyReason is why a controller should receive no users' requests; empty if it should.
type unhealthyReason string

// The reasons.
const (
	noFencingToken    unhealthyReason = "no_fencing_token"
	peerReachesStore  unhealthyReason = "peer_reaches_state_service" // and this controller does not
	healthyController unhealthyReason = ""
)

// ServingPeers returns the names of the other controllers that reach the state service.
func (u *userPeers) ServingPeers() []string { return u.links.Now().StoreReachablePeers() }

// Healthy reports whether users' requests should be sent to this controller. It is false before the
// controller has a fencing token, and while it can't reach the state service but a peer with a fresh status can.
func (u *userPeers) Healthy() bool {
	reason := u.unhealthyReason()
	if reason == healthyController {
		u.timeline.Mark(failovertiming.Up)
	}
	u.logChange(reason)
	return reason == healthyController
}

func (u *userPeers) unhealthyReason() unhealthyReason {
	switch {
	case u.member.FencingToken() == 0:
		return noFencingToken
	case !u.links.Now().Healthy():
		return peerReachesStore
	}
	return healthyController
}

// logChange logs a change of the answer to health checks.
func (u *userPeers) logChange(reason unhealthyReason) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if reason == u.reason {
		return
	}
	u.reason = reason
	u.log.Info("health changed", "healthy", reason == healthyController, "reason", string(reason))
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
