package controller

import (
	"context"

	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/peerlinks"
	"github.com/wallrack/wallrack/internal/slurmapi"
)

// slurmPeers passes the requests of Slurm-style clients to other controllers. It implements
// slurmapi.Peers.
type slurmPeers struct {
	*peerlinks.Leaders
	mesh *mesh.Mesh
}

// QueryLeader makes a peer serve a request from its own jobs.
func (s *slurmPeers) QueryLeader(ctx context.Context, peer string, r slurmapi.Request) (*slurmapi.Reply, error) {
	return mesh.Call[slurmapi.Request, slurmapi.Reply](ctx, s.mesh, peer, methodSlurm, &r)
}

// slurmService serves the requests of Slurm-style clients that peers forward.
type slurmService struct {
	server *slurmapi.Server
}

func (s *slurmService) register(m *mesh.Mesh) {
	mesh.Handle(m, methodSlurm, func(ctx context.Context, r *slurmapi.Request) (*slurmapi.Reply, error) {
		reply := s.server.Serve(ctx, *r)
		return &reply, nil
	})
}
