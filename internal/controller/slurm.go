package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/slurmapi"
)

// Methods of the mesh for Slurm-style clients.
const (
	methodSlurm   = "Desk" // as earlier versions call it: controllers of two versions talk
	methodFacts   = "Facts"
	methodEarlier = "Earlier"
)

type factsMessage struct {
	UID    string `json:"uid,omitempty"`
	Name   string `json:"name,omitempty"`
	User   string `json:"user,omitempty"`
	Number uint64 `json:"number,omitempty"`
}

type factsReply struct {
	Known   bool             `json:"known"`
	Facts   jobspec.JobFacts `json:"facts"`
	Earlier bool             `json:"earlier"`
}

const factsWithin = 700 * time.Millisecond

// slurm switches Slurm-style clients and accounting on. What depends on another
// owner's jobs is asked there even where they are off, for jobs from before.
func (n *node) slurm(set *slurmapi.Settings, catalog slurmapi.Catalog, mux *http.ServeMux) {
	mesh.Handle(n.mesh, methodFacts, func(_ context.Context, m *factsMessage) (*factsReply, error) {
		f, ok := n.owner.LocalFacts(m.UID)
		return &factsReply{Known: ok, Facts: f}, nil
	})
	mesh.Handle(n.mesh, methodEarlier, func(_ context.Context, m *factsMessage) (*factsReply, error) {
		return &factsReply{Earlier: n.owner.HasEarlierLocal(m.Name, m.User, m.Number)}, nil
	})
	if set == nil {
		return
	}
	server := slurmapi.New(set, n.cfg, n.store, n.owner, n.numbers, n, n.intake, catalog, n.log)
	mesh.Handle(n.mesh, methodSlurm, func(ctx context.Context, r *slurmapi.Request) (*slurmapi.Reply, error) {
		rep := server.Serve(ctx, *r)
		return &rep, nil
	})
	server.Register(mux)
}

// Owns reports whether this controller owns shards.
func (n *node) Owns() bool { return n.member.LeaseRemaining() > 0 && len(n.member.OwnedShards()) > 0 }

// AskOwner forwards a Slurm-style client's request to an owner.
func (n *node) AskOwner(ctx context.Context, peer string, r slurmapi.Request) (*slurmapi.Reply, error) {
	return mesh.Call[slurmapi.Request, slurmapi.Reply](ctx, n.mesh, peer, methodSlurm, &r)
}

// JobFacts says how far a job is: its owner knows, or the store how it ended.
func (n *node) JobFacts(ctx context.Context, uid string) (jobspec.JobFacts, error) {
	for _, p := range n.ShardOwners() {
		actx, cancel := context.WithTimeout(ctx, factsWithin)
		rep, err := mesh.Call[factsMessage, factsReply](actx, n.mesh, p, methodFacts, &factsMessage{UID: uid})
		cancel()
		if err == nil && rep.Known {
			return rep.Facts, nil
		}
	}
	return scheduler.StoredFacts(ctx, n.store, uid)
}

// HasEarlier asks the other owners; one that does not answer may have such a job.
func (n *node) HasEarlier(ctx context.Context, name, user string, number uint64) (bool, error) {
	for _, p := range n.ShardOwners() {
		actx, cancel := context.WithTimeout(ctx, factsWithin)
		rep, err := mesh.Call[factsMessage, factsReply](actx, n.mesh, p, methodEarlier, &factsMessage{Name: name, User: user, Number: number})
		cancel()
		if err != nil || rep.Earlier {
			return true, err
		}
	}
	return false, nil
}
