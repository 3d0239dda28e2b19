package controller

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/peerlinks"
	"github.com/wallrack/wallrack/internal/reachability"
)

const pingInterval = time.Second

// pingMessage carries a controller's status, and the statuses of others that the receiver lacks.
type pingMessage struct {
	Status        reachability.NodeStatus      `json:"row"`
	Cancellations *cancellation.Message        `json:"cancels,omitempty"`
	Relayed       []reachability.RelayedStatus `json:"passed,omitempty"`
}

// pinger exchanges statuses and cancellation updates with the peers: a ping carries those of
// this controller, its response those of the peer.
type pinger struct {
	cfg           *config.Platform
	mesh          *mesh.Mesh
	table         *reachability.Table
	status        *peerlinks.Status
	peers         *peerlinks.Caller
	cancellations *cancellationExchange
	prober        *prober
}

func (p *pinger) register(m *mesh.Mesh) {
	mesh.Handle(m, methodPing, func(_ context.Context, ping *pingMessage) (*pingMessage, error) {
		p.handleMessage(ping.Status.Node, ping)
		p.prober.probe(ping.Status.ProbeSample)
		return p.messageFor(ping.Status.Node, time.Now()), nil
	})
}

func (p *pinger) messageFor(to string, now time.Time) *pingMessage {
	cancellations := p.cancellations.registry.MessageFor(to)
	return &pingMessage{Status: p.status.Current(now), Relayed: p.table.RelayFor(to, now), Cancellations: &cancellations}
}

// handleMessage applies a ping or a response to one. from is the peer that sent it; for a
// response, the peer that was called.
func (p *pinger) handleMessage(from string, ping *pingMessage) {
	now := time.Now()
	p.table.Update(ping.Status, reachability.Direct, 0, now)
	p.table.UpdateRelayed(ping.Relayed, now)
	p.cancellations.handleMessage(from, ping.Cancellations)
}

// run pings each peer from which no ping arrived recently, until ctx ends.
func (p *pinger) run(ctx context.Context) error {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		for _, peer := range p.cfg.Peers {
			if !p.table.ReachedWithin(peer.Node, pingInterval*3/4, time.Now()) {
				go p.ping(ctx, peer.Node)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// pingAll pings all peers now, so that they learn this controller's current status.
func (p *pinger) pingAll(ctx context.Context) {
	for _, peer := range p.cfg.Peers {
		go p.ping(ctx, peer.Node)
	}
}

func (p *pinger) ping(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, pingInterval)
	defer cancel()
	reply, err := mesh.Call[pingMessage, pingMessage](ctx, p.mesh, peer, methodPing, p.messageFor(peer, time.Now()))
	p.peers.RecordResult(peer, err, true)
	if err == nil {
		p.handleMessage(peer, reply)
	}
}
