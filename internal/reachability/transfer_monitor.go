package reachability

import "time"

const (
	minCandidateHeartbeatShare = 0.1              // least share of the leader's expected heartbeats that its successor must receive
	candidateHeartbeatFactor   = 3                // a peer must receive more than this multiple of the leader's heartbeats
	reachedProbeSuccess        = 0.75             // least share of responses to probes with which the workers count as reached
	lostProbeSuccess           = 0.25             // greatest share with which they count as not reached
	baseTransferDelay          = 15 * time.Second // TransferDelay without earlier transfers; each one doubles it
	maxDelayDoublings          = 4                // of baseTransferDelay

	heartbeatConfirmTime = time.Second            // how long checks by heartbeats must have the same result
	probeConfirmTime     = 200 * time.Millisecond // how long checks by probes must have the same result
)

// TransferWindow is the period over which transfers are counted; see TransferDelay.
const TransferWindow = 5 * time.Minute

// TransferDelay returns how long a leader waits before it transfers its shards, given the number
// of transfers within TransferWindow. The delay gives workers time to find the new leader, and its
// growth limits transfers caused by a flapping link.
func TransferDelay(transfers int) time.Duration {
	return baseTransferDelay << min(transfers, maxDelayDoublings)
}

// TransferMonitor detects, by received heartbeats or by probes, that a leader has lost its links
// to the workers while a peer still has them. The zero value is ready for use. It is not safe for
// concurrent use.
type TransferMonitor struct {
	leadingSince time.Time // zero if this controller leads no shards
	lostSince    time.Time // since when checks have found that a peer should lead the shards
}

// Check is to be called at least once a second, with the number of recorded transfers within
// TransferWindow. It returns the peer that should lead the shards, or "" if there is none, if
// this controller leads no shards, or if it has led them for less than TransferDelay. Several
// checks must find a peer before it is returned, since a process that was paused receives nothing for a moment either.
func (m *TransferMonitor) Check(now time.Time, v *View, transfers int) string {
	if !v.Self.LeadsShards {
		m.leadingSince, m.lostSince = time.Time{}, time.Time{}
		return ""
	}
	if m.leadingSince.IsZero() {
		m.leadingSince = now
	}
	to, confirmTime := "", heartbeatConfirmTime
	// Each transfer within TransferWindow doubles the delay, except for the one that made this
	// controller the leader.
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

// transferCandidate returns the peer that reaches the workers best, or "" if this controller
// reaches them or no peer does, and for how long checks must confirm the result.
func (v *View) transferCandidate() (name string, confirmTime time.Duration) {
	confirmTime = heartbeatConfirmTime
	mostHeartbeats := max(candidateHeartbeatFactor*v.Self.Heartbeats, int(minCandidateHeartbeatShare*v.Self.ExpectedHeartbeats))
	// Workers take seconds to switch to another controller, so a peer's heartbeat count shows late
	// whether the peer reaches the workers. Its probes show it sooner.
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
