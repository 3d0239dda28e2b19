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
	attestInterval     = 2 * time.Second
	attestTimeout      = time.Second // per peer
	maxAttestedWorkers = 500         // workers in one round
)

// attestationQuery asks a controller how long ago it last responded to each of the workers.
type attestationQuery struct {
	Workers []string `json:"machines"`
}

type attestationReply struct {
	UnansweredS []float64 `json:"unanswered"` // seconds since the last response, in the order of the query
}

// leaseAttestor detects expired worker leases without the cloud's list: if no controller has
// responded to a worker for its full lease, the worker has ended its tasks.
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

// attest returns how long ago this controller last responded to each of the workers.
func (a *leaseAttestor) attest(q *attestationQuery) *attestationReply {
	reply := &attestationReply{}
	for _, worker := range q.Workers {
		reply.UnansweredS = append(reply.UnansweredS, a.dispatcher.UnansweredFor(worker).Seconds())
	}
	return reply
}

func (a *leaseAttestor) run(ctx context.Context) error {
	return periodic.Run(ctx, attestInterval, func() { a.attestUnresponsive(ctx) })
}

// attestUnresponsive notifies the scheduler of the unresponsive workers whose leases have
// expired according to all controllers.
func (a *leaseAttestor) attestUnresponsive(ctx context.Context) {
	leaseS := a.cfg.Params.Workers.MaxLeaseS() + 0.5
	q := &attestationQuery{}
	_, unresponsive := a.scheduler.UnresponsiveWorkers(config.Seconds(leaseS))
	for i := range unresponsive {
		if unresponsive[i].Busy && len(q.Workers) < maxAttestedWorkers {
			q.Workers = append(q.Workers, unresponsive[i].Name)
		}
	}
	if len(q.Workers) == 0 {
		return
	}
	attestation := dispatch.NewAttestation(time.Now(), a.attest(q).UnansweredS)
	for _, peer := range a.cfg.Peers {
		if !a.queryPeer(ctx, peer.Node, q, attestation) {
			return
		}
	}
	now := time.Now()
	for i, worker := range q.Workers {
		if attestation.LeaseExpired(i, now, leaseS) {
			a.log.Info("worker lease expired by attestation", "worker", worker)
			a.scheduler.LeaseAttestedExpired(worker, attestation.StartedAt())
		}
	}
}

// queryPeer adds a peer's attestation. It returns false if the peer did not provide one; then no
// lease is known to have expired.
func (a *leaseAttestor) queryPeer(ctx context.Context, peer string, q *attestationQuery, attestation *dispatch.Attestation) bool {
	ctx, cancel := context.WithTimeout(ctx, attestTimeout)
	defer cancel()
	reply, err := peerlinks.Call[attestationQuery, attestationReply](ctx, a.peers, peer, methodAttest, q)
	return err == nil && attestation.Add(reply.UnansweredS)
}
