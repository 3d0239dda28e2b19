package controller

import (
	"log/slog"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/peerlinks"
	"github.com/wallrack/wallrack/internal/reachability"
)

const (
	probeTimeout     = 500 * time.Millisecond
	minProbeInterval = peerlinks.ProbeResultFor / 2 // between probes that peers requested
)

// prober finds out whether this controller reaches workers when it, or a peer, suspects that
// it lost them.
type prober struct {
	node       string
	member     *membership.Member
	table      *reachability.Table
	status     *peerlinks.Status
	links      *peerlinks.View
	dispatcher *dispatch.Dispatcher
	lifetime   lifetime
	log        *slog.Logger
}

// probe tries some workers' endpoints, unless that was just done. It waits for the outcome.
func (p *prober) probe(sample []string) {
	if len(sample) == 0 || p.status.SinceProbe() < minProbeInterval {
		return
	}
	success := p.dispatcher.ProbeEndpoints(p.lifetime.ctx, sample[:min(len(sample), reachability.SampleSize)], probeTimeout)
	p.status.SetProbe(success)
	p.links.Invalidate()
}

// handleAnnouncement takes a status that a controller wrote to the state service.
func (p *prober) handleAnnouncement(value json.RawMessage) {
	var status reachability.NodeStatus
	if err := json.Unmarshal(value, &status); err != nil {
		p.log.Debug("unreadable node status", "err", err)
		return
	}
	p.table.Update(status, reachability.ViaStore, 0, time.Now())
	if status.Node != p.node && len(status.ProbeSample) > 0 {
		go p.probe(status.ProbeSample)
	}
}

// updateSuspicion looks whether this leader has come to suspect that it lost the workers, as
// none reports any more, or ceased to. If it has, it probes some and returns true: the peers
// are to probe them too. timerDelay is by how much timers are late here.
func (p *prober) updateSuspicion(timerDelay time.Duration) bool {
	expected, before := p.status.Suspicion()
	perSecond := expected / dispatch.HeartbeatWindow.Seconds()
	suspected := len(p.member.LedShards()) > 0 && reachability.ShouldProbe(perSecond, p.dispatcher.SinceLastHeartbeat()) && timerDelay < linkCheckInterval
	if suspected == before {
		return false
	}
	var sample []string
	if suspected {
		sample = p.dispatcher.SampleEndpoints(reachability.SampleSize)
	}
	p.status.SetSuspicion(sample, suspected)
	p.links.Invalidate()
	if suspected {
		go p.probe(sample)
	}
	return suspected
}
