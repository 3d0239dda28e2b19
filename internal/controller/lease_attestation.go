package controller

import (
	"context"
	"log/slog"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/peerlinks"
	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/scheduler"
)

const (
	attestEvery   = 2 * time.Second
	attestTimeout = time.Second // for each peer
	maxAttested   = 500         // workers in one round
)

// attestationQuery is for how long a controller has left workers without a response.
type attestationQuery struct {
	Workers []string `json:"machines"`
}

type attestationReply struct {
	UnansweredS []float64 `json:"unanswered"` // in the order of the query
}

// leaseAttestor finds out without the cloud that workers' leases expired: when every
// controller has left a worker without a response for its full lease, it has ended its tasks.
type leaseAttestor struct {
	cfg        *config.Platform
	scheduler  *scheduler.Scheduler
	dispatcher *dispatch.Dispatcher
	peers      *peerlinks.Caller
	log        *slog.Logger
}

func (a *leaseAttestor) register(m *mesh.Mesh) {
	mesh.Handle(m, methodAttest, func(_ context.Context, q *attestationQuery) (*attestationReply, error) {
		return a.attest(q), nil
	})
}

// attest says how long this controller has left workers without a response.
func (a *leaseAttestor) attest(q *attestationQuery) *attestationReply {
	reply := &attestationReply{}
	for _, worker := range q.Workers {
		reply.UnansweredS = append(reply.UnansweredS, a.dispatcher.UnansweredFor(worker).Seconds())
	}
	return reply
}

func (a *leaseAttestor) run(ctx context.Context) error {
	return periodic.Run(ctx, attestEvery, func() { a.round(ctx) })
}

// round notifies the scheduler of unresponsive workers whose leases expired for certain.
func (a *leaseAttestor) round(ctx context.Context) {
	leaseS := a.cfg.Params.Workers.MaxLeaseS() + 0.5
	q := &attestationQuery{}
	_, unresponsive := a.scheduler.UnresponsiveWorkers(config.Seconds(leaseS))
	for i := range unresponsive {
		if unresponsive[i].Busy && len(q.Workers) < maxAttested {
			q.Workers = append(q.Workers, unresponsive[i].Name)
		}
	}
	if len(q.Workers) == 0 {
		return
	}
	attestation := dispatch.NewAttestation(time.Now(), a.attest(q).UnansweredS)
	for _, peer := range a.cfg.Peers {
		if !a.query(ctx, peer.Node, q, attestation) {
			return
		}
	}
	now := time.Now()
	for i, worker := range q.Workers {
		if attestation.LeaseExpired(i, now, leaseS) {
			a.log.Info("worker lease expired by attestation", "worker", worker)
			a.scheduler.LeaseAttestedExpired(worker, attestation.BegunAt())
		}
	}
}

// query adds a peer's attestation; false without one, and then no lease is known to have expired.
func (a *leaseAttestor) query(ctx context.Context, peer string, q *attestationQuery, attestation *dispatch.Attestation) bool {
	ctx, cancel := context.WithTimeout(ctx, attestTimeout)
	defer cancel()
	reply, err := peerlinks.Call[attestationQuery, attestationReply](ctx, a.peers, peer, methodAttest, q)
	return err == nil && attestation.Add(reply.UnansweredS)
}
