package controller

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/peerlinks"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
)

// factsTimeout bounds the query to each leader for facts of jobs.
const factsTimeout = 700 * time.Millisecond

// factsQuery asks for the facts of the job UID, or whether there is an unfinished job of the
// name and user with a number below Number.
type factsQuery struct {
	UID    string `json:"uid,omitempty"`
	Name   string `json:"name,omitempty"`
	User   string `json:"user,omitempty"`
	Number uint64 `json:"number,omitempty"`
}

type factsReply struct {
	Known      bool             `json:"known"`
	Facts      jobspec.JobFacts `json:"facts"`
	HasEarlier bool             `json:"earlier"`
}

// remoteJobs queries other leaders for the jobs on which local jobs depend. It implements
// scheduler.RemoteJobs.
type remoteJobs struct {
	store   *statestore.Client
	mesh    *mesh.Mesh
	leaders *peerlinks.Leaders
}

// JobFacts returns the facts of a job from its leader, or from the state service if no leader
// knows the job any more.
func (r *remoteJobs) JobFacts(ctx context.Context, uid string) (jobspec.JobFacts, error) {
	for _, leader := range r.leaders.ShardLeaders() {
		if reply, err := r.queryLeader(ctx, leader, methodFacts, &factsQuery{UID: uid}); err == nil && reply.Known {
			return reply.Facts, nil
		}
	}
	return scheduler.ReadStoredFacts(ctx, r.store, uid)
}

// HasEarlier reports whether another leader has an unfinished job of the name and user with a
// lower number. It returns true if a leader does not respond, since that one may have such a job.
func (r *remoteJobs) HasEarlier(ctx context.Context, name, user string, number uint64) (bool, error) {
	for _, leader := range r.leaders.ShardLeaders() {
		reply, err := r.queryLeader(ctx, leader, methodEarlier, &factsQuery{Name: name, User: user, Number: number})
		if err != nil || reply.HasEarlier {
			return true, err
		}
	}
	return false, nil
}

func (r *remoteJobs) queryLeader(ctx context.Context, leader, method string, q *factsQuery) (*factsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, factsTimeout)
	defer cancel()
	return mesh.Call[factsQuery, factsReply](ctx, r.mesh, leader, method, q)
}

// jobFactsService responds to other leaders' queries for the jobs that this controller leads.
// It runs also where Slurm-style clients are off, for jobs that were accepted while they were on.
type jobFactsService struct {
	scheduler *scheduler.Scheduler
}

func (j *jobFactsService) register(m *mesh.Mesh) {
	mesh.Handle(m, methodFacts, func(_ context.Context, q *factsQuery) (*factsReply, error) {
		facts, known := j.scheduler.LocalFacts(q.UID)
		return &factsReply{Known: known, Facts: facts}, nil
	})
	mesh.Handle(m, methodEarlier, func(_ context.Context, q *factsQuery) (*factsReply, error) {
		return &factsReply{HasEarlier: j.scheduler.HasEarlierLocal(q.Name, q.User, q.Number)}, nil
	})
}
