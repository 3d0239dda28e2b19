package controller

import (
	"context"
	"fmt"

	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/peerlinks"
	"github.com/wallrack/wallrack/internal/statestore"
)

// storeRelay relays requests to the state service: this controller's to a peer that reaches the
// service, and peers' to the service. It implements statestore.Relay.
type storeRelay struct {
	store *statestore.Client
	links *peerlinks.View
	peers *peerlinks.Caller
	mesh  *mesh.Mesh
}

func (r *storeRelay) register(m *mesh.Mesh) {
	mesh.Handle(m, methodStore, func(ctx context.Context, req *statestore.RelayedRequest) (*statestore.RelayedResponse, error) {
		return r.store.ServeRelayed(ctx, *req)
	})
}

// Ready reports whether a peer reaches the state service.
func (r *storeRelay) Ready() bool { return len(r.links.Now().StoreReachablePeers()) > 0 }

// Forward makes a peer send a request. The error is statestore.ErrUnavailable if no peer reaches
// the service; after any other error the request may have been applied, since a connection that
// breaks after the request was sent looks like a refused one.
func (r *storeRelay) Forward(ctx context.Context, req statestore.RelayedRequest) (*statestore.RelayedResponse, error) {
	serving := r.links.Now().StoreReachablePeers()
	if len(serving) == 0 {
		return nil, fmt.Errorf("%w: no peer reaches it", statestore.ErrUnavailable)
	}
	rep, err := mesh.Call[statestore.RelayedRequest, statestore.RelayedResponse](ctx, r.mesh, serving[0], methodStore, &req)
	r.peers.RecordResult(serving[0], err, false)
	return rep, err
}
