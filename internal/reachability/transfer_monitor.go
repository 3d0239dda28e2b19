package reachability

import "time"

const (
	minCandidateHeartbeatShare = 0.1  // of the heartbeats expected, that a peer must receive to take the shards
	candidateHeartbeatFactor   = 3    // how many times as many heartbeats as the leader a peer must receive
	reachedProbeSuccess        = 0.75 // share of probed workers, from which on they count as reached
	lostProbeSuccess           = 0.25 // up to which they do not
	baseTransferDelay          = 15 * time.Second
	maxDelayDoublings          = 4 // of settleTime

	heartbeatConfirmTime = time.Second            // for which checks must agree on what is received
	probeConfirmTime     = 200 * time.Millisecond // and on what was probed
)

// TransferWindow is the time over which transfers are counted; see TransferDelay.
const TransferWindow = 5 * time.Minute

// TransferDelay is how long a leader waits before it transfers its shards, after so many
// transfers within the TransferWindow: it leaves its workers time to find it, and a
// flapping link moves the shards less and less.
func TransferDelay(transfers int) time.Duration {
	return baseTransferDelay << min(transfers, maxDelayDoublings)
}

// TransferMonitor finds out when a leader receives its workers' heartbeats no more and a peer
// does. The zero value is ready for use; it is not safe for concurrent use.
type TransferMonitor struct {
	leadingSince time.Time // zero if this controller leads no shards
	lostSince    time.Time // since when checks found that a peer should lead them
}

// Check is called at least once a second, with the transfers within the TransferWindow that
// are on record. It returns the peer that should lead the shards, or "". One check is
// not trusted: a process that stood still receives nothing for a moment either.
func (m *TransferMonitor) Check(now time.Time, v *View, transfers int) string {
	if !v.Self.LeadsShards {
		m.leadingSince, m.lostSince = time.Time{}, time.Time{}
		return ""
	}
	if m.leadingSince.IsZero() {
		m.leadingSince = now
	}
	to, confirmTime := "", heartbeatConfirmTime
	// The first transfer of a window may come after the plain settling time; of
	// those before this leader's time each doubles it.
	if now.Sub(m.leadingSince) >= TransferDelay(max(0, transfers-1)) {
		to, confirmTime = v.transferCandidate()
	}
	switch {
	case to == "":
		m.lostSince = time.Time{}
	case m.lostSince.IsZero():
		m.lostSince = now
	case now.Sub(m.lostSince) >= confirmTime:
		m.lostSince = time.Time{}
		return to
	}
	return ""
}

// transferCandidate returns the peer that reaches the workers best, "" if this controller does,
// or no peer does, and for how long checks must agree on that.
func (v *View) transferCandidate() (name string, confirmTime time.Duration) {
	confirmTime = heartbeatConfirmTime
	mostHeartbeats := max(candidateHeartbeatFactor*v.Self.Heartbeats, int(minCandidateHeartbeatShare*v.Self.ExpectedHeartbeats))
	// Workers take seconds to look for another controller: what peers reach when
	// they probe says it sooner than what they receive.
	outboundLost := v.Self.Probed && v.Self.ProbeSuccess <= lostProbeSuccess
	bestProbes := 0.0
	for i := range v.Peers {
		peer := &v.Peers[i]
		status := &peer.Status
		switch {
		case !peer.IsFresh() || !status.StoreReachable || !status.LeaseHeld:
		case v.Self.InboundLost() && status.Heartbeats > mostHeartbeats:
			name, mostHeartbeats, bestProbes, confirmTime = peer.Name, status.Heartbeats, 1, heartbeatConfirmTime
		case outboundLost && status.Probed && status.ProbeSuccess >= reachedProbeSuccess && status.ProbeSuccess > bestProbes:
			name, bestProbes, confirmTime = peer.Name, status.ProbeSuccess, probeConfirmTime
		}
	}
	return name, confirmTime
}
