package controller

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/reachability"
)

// try finds out whether this controller reaches machines that another one, or this
// one, is in doubt about.
func (n *node) try(sample []string) {
	s := &n.links
	s.mu.Lock()
	if len(sample) == 0 || time.Since(s.tried) < triedFor/2 {
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	share := n.holder.ProbeEndpoints(n.ctx, sample[:min(len(sample), reachability.SampleSize)], tryWithin)
	s.mu.Lock()
	s.tried, s.reaches, s.urgent = time.Now(), share, true
	s.mu.Unlock()
	s.changed()
}

// doubt looks whether this owner still reaches the workers when none reports any
// more, and has its peers look too.
func (n *node) doubt(ctx context.Context) {
	s := &n.links
	s.mu.Lock()
	perSecond := s.expects / dispatch.HeartbeatWindow.Seconds()
	was := len(s.sample) > 0
	s.mu.Unlock()
	in := len(n.member.OwnedShards()) > 0 && reachability.ShouldProbe(perSecond, n.holder.SinceLastHeartbeat()) && s.ears().TimerDelay < lookEvery
	if in == was {
		return
	}
	var sample []string
	if in {
		sample = n.holder.SampleEndpoints(reachability.SampleSize)
	}
	s.mu.Lock()
	s.sample, s.urgent = sample, in
	s.mu.Unlock()
	s.changed()
	if !in {
		return
	}
	go n.try(sample)
	for _, p := range n.cfg.Peers {
		go n.pingPeer(ctx, p.Node)
	}
}

// lost names the machines that this owner gives up, and why.
func (n *node) lost() map[string]string {
	s := &n.links
	out := n.owner.StuckWorkers()
	known, silent := n.owner.UnresponsiveWorkers(s.silence.Threshold())
	v := n.links.now()
	s.mu.Lock()
	verdict := s.silence.Evaluate(time.Now(), v, s.ears(), known, silent)
	if (verdict.Kept > 0) != (s.kept > 0) {
		n.log.Info("silent machines are kept", "machines", verdict.Kept, "known", known, "why", verdict.KeptReason)
	}
	s.kept = verdict.Kept
	s.mu.Unlock()
	for name, why := range verdict.Return {
		out[name] = why
	}
	for name, m := range verdict.Probe {
		go func() {
			ok := n.lives(m)
			if ok && m.OutboundLost {
				n.owner.WorkerAnswered(name)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.silence.RecordProbe(name, ok, time.Now())
		}()
	}
	return out
}

// lives asks a machine, and has all peers ask it, whether it lives.
func (n *node) lives(m reachability.UnresponsiveWorker) bool {
	name, endpoint := m.Name, m.Endpoint
	answers := make(chan bool, 1+len(n.cfg.Peers))
	go func() { answers <- endpoint != "" && n.holder.FetchReport(n.ctx, name, endpoint) }()
	for _, p := range n.cfg.Peers {
		go func() {
			ctx, cancel := context.WithTimeout(n.ctx, askWithin)
			defer cancel()
			rep, err := call[seenMessage, seenReply](ctx, n, p.Node, methodSeen, &seenMessage{name, endpoint, m.OutboundLost})
			answers <- err == nil && rep.Lives
		}()
	}
	for range 1 + len(n.cfg.Peers) {
		if <-answers {
			return true
		}
	}
	return false
}

// listen counts what is heard here.
func (n *node) listen() {
	heard, machines := n.holder.RecentHeartbeats()
	var names *reachability.NameSet
	if now := time.Now(); len(n.links.table.UnreachedPeers(now)) > 0 || n.links.table.UnreachedByPeers(now) {
		names = reachability.NewNameSet(n.holder.WorkersHeardWithin(config.Seconds(n.cfg.Params.Workers.LeaseS)), int(n.cfg.Params.State.ValueKB*namesPart*1024))
	}
	s := &n.links
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports, s.names = heard, names
	s.expects = float64(machines) / n.cfg.Params.Workers.ReportS * dispatch.HeartbeatWindow.Seconds()
}
