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
	minProbeInterval = peerlinks.ProbeResultValidity / 2 // between probes that peers requested
)

// prober checks whether this controller reaches workers when it, or a peer, suspects that it
// has lost the connection to them.
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

// probe calls the endpoints of some workers and waits for the result. It does nothing within
// minProbeInterval of the last probe.
func (p *prober) probe(sample []string) {
	if len(sample) == 0 || p.status.SinceProbe() < minProbeInterval {
		return
	}
	success := p.dispatcher.ProbeEndpoints(p.lifetime.ctx, sample[:min(len(sample), reachability.SampleSize)], probeTimeout)
	p.status.SetProbeResult(success)
	p.links.Invalidate()
}

// handleAnnouncement applies a status that a controller wrote to the state service.
func (p *prober) handleAnnouncement(value json.RawMessage) {
	var status reachability.NodeStatus
	if err := json.Unmarshal(value, &status); err != nil {
		p.log.Debug("malformed node status", "err", err)
		return
	}
	p.table.Update(status, reachability.ViaStore, 0, time.Now())
	if status.Node != p.node && len(status.ProbeSample) > 0 {
		go p.probe(status.ProbeSample)
	}
}

// updateSuspicion updates whether this leader suspects that it has lost its connections to the
// workers, since none reports any more. If the suspicion is new, it probes some workers and returns
// true: the caller must then ping the peers, so that they probe the same workers. timerDelay is the current delay of
// timers in this process.
func (p *prober) updateSuspicion(timerDelay time.Duration) bool {
	expected, before := p.status.Suspicion()
	perSecond := expected / dispatch.HeartbeatWindow.Seconds()
	suspected := len(p.member.LedShards()) > 0 && reachability.ShouldProbe(perSecond, p.dispatcher.SinceAnyHeartbeat()) && timerDelay < linkCheckInterval
	if suspected == before {
		return false
	}
	var sample []string
	if suspected {
		sample = p.dispatcher.SampleEndpoints(reachability.SampleSize)
	}
	p.status.SetProbeSample(sample, suspected)
	p.links.Invalidate()
	if suspected {
		go p.probe(sample)
	}
	return suspected
}
