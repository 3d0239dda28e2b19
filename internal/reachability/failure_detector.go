package reachability

import (
	"fmt"
	"slices"
	"time"
)

const (
	// minWorkersForShares is the least number of workers at which the share of unresponsive ones is
	// significant. This many may fail within failureWindow even if they exceed maxFailureShare.
	minWorkersForShares = 8
	failureWindow       = time.Minute
	maxFailureShare     = 0.4 // of the known workers may fail within failureWindow

	probeThresholdShare    = 0.6             // of Timeout: a worker is probed once it has been unresponsive for this share
	probeInterval          = 2 * time.Second // between the end of a probe of a worker and the next one
	maxProbesPerEvaluation = 200             // started by one call of Evaluate

	degradedDuration      = 10 * time.Second       // how long reception counts as poor after a refused connection or a late timer
	degradedTimeoutFactor = 2                      // of the timeout while this process receives poorly
	maxTimerDelay         = 500 * time.Millisecond // above which a timer counts as late
	idleTimeoutFactor     = 2.5                    // of the timeout for a worker without tasks
)

// ReceiveHealth describes how well this process can receive heartbeats at present.
type ReceiveHealth struct {
	RefusedConnections int64         // connections refused for lack of sockets since the process started
	TimerDelay         time.Duration // how late timers have recently fired
}

// UnresponsiveWorker is a worker that has sent no heartbeat, or on which commands have had no effect,
// for at least FailureDetector.Threshold. If OutboundLost is set, UnheardFor is the longer of the
// two times.
type UnresponsiveWorker struct {
	Name                  string
	Endpoint              string        // "" if unknown; then only peers can tell whether they receive its heartbeats
	UnheardFor            time.Duration // since the last heartbeat, or since the failover if NotHeardSinceFailover
	Busy                  bool          // it may be running tasks
	OutboundLost          bool          // its heartbeats arrive, but commands to it have no effect
	NotHeardSinceFailover bool          // no heartbeat since this leader's failover; the last one is older than UnheardFor
}

// Verdict is the result of an evaluation of the unresponsive workers.
type Verdict struct {
	Failed     map[string]string             // failed workers, to be deleted, with the reason
	Probe      map[string]UnresponsiveWorker // workers to be probed now, by name; see RecordProbe
	Kept       int                           // workers past the timeout that have not failed
	KeptReason string                        // for the last of the kept workers
}

// FailureDetector decides which unresponsive workers have failed. Deleting a working worker loses
// all its tasks, so missing heartbeats are weighed against this controller's ability to
// receive, the heartbeats that peers receive, a direct probe, and an upper bound of the failure
// rate that accidents cause. It only decides: the caller probes and deletes. It is not safe for
// concurrent use.
type FailureDetector struct {
	Timeout           time.Duration // heartbeat timeout of a worker with tasks
	Lease             time.Duration // of a worker
	HeartbeatInterval time.Duration // between a worker's heartbeats
	IsolationGrace    time.Duration // how long a controller that is cut off from all others still answers workers

	probes          map[string]probe     // of the workers that are unresponsive now
	failedAt        map[string]time.Time // time of failure, for workers that failed within failureWindow
	refused         int64                // ReceiveHealth.RefusedConnections at the last call of Evaluate
	degradedUntil   time.Time            // until when this process counts as receiving poorly
	mutuallyReached map[string]bool      // result of Peer.reachesMutually at the last call of Evaluate, by peer
	peerJoinedAt    time.Time            // when a peer last became mutually reachable
}

// probe is the state of the probes of one worker.
type probe struct {
	pending    bool
	startedAt  time.Time // of the last probe
	finishedAt time.Time // of the last finished probe
	failed     bool      // result of the last finished probe
}

// Threshold returns the least time without a heartbeat after which a worker is to be passed to
// Evaluate.
func (d *FailureDetector) Threshold() time.Duration {
	return min(d.Timeout, max(time.Duration(probeThresholdShare*float64(d.Timeout)), 3*d.HeartbeatInterval/2))
}

// RecordProbe records the result of probing a worker of Verdict.Probe: whether it responded to
// this controller or to a peer, or a peer received its heartbeat. The result is ignored if the
// worker is no longer unresponsive.
func (d *FailureDetector) RecordProbe(name string, responded bool, now time.Time) {
	if outcome, ok := d.probes[name]; ok {
		d.probes[name] = probe{startedAt: outcome.startedAt, finishedAt: now, failed: !responded}
	}
}

// Evaluate decides which workers have failed. known is the number of workers that the leader
// knows, and unresponsive are those among them that have been so for at least Threshold. A worker fails
// only if a probe started by an earlier call failed; see evaluation.reasonToKeep for the other
// conditions.
func (d *FailureDetector) Evaluate(now time.Time, v *View, health ReceiveHealth, known int, unresponsive []UnresponsiveWorker) Verdict {
	if d.probes == nil {
		d.probes, d.failedAt, d.mutuallyReached = map[string]probe{}, map[string]time.Time{}, map[string]bool{}
	}
	d.updatePeers(now, v)
	d.updateHealth(now, health)
	d.removeStale(now, unresponsive)
	e := evaluation{
		FailureDetector: d, now: now, view: v,
		verdict: Verdict{Failed: map[string]string{}, Probe: map[string]UnresponsiveWorker{}},
	}
	e.assessAll(known, unresponsive)
	for i := range unresponsive {
		e.evaluateWorker(&unresponsive[i])
	}
	return e.verdict
}

// updatePeers records when a peer becomes mutually reachable. Until then the peer may have
// received heartbeats of workers that are unresponsive here, and probes could not include it:
// those probes don't count.
func (d *FailureDetector) updatePeers(now time.Time, v *View) {
	for i := range v.Peers {
		peer := &v.Peers[i]
		reachable := peer.reachesMutually(v)
		if reachable && !d.mutuallyReached[peer.Name] {
			d.peerJoinedAt = now
		}
		d.mutuallyReached[peer.Name] = reachable
	}
}

func (d *FailureDetector) updateHealth(now time.Time, health ReceiveHealth) {
	if health.RefusedConnections > d.refused || health.TimerDelay > maxTimerDelay {
		d.degradedUntil = now.Add(degradedDuration)
	}
	d.refused = health.RefusedConnections
}

// removeStale removes the probes of workers that are responsive again, and failures older than
// failureWindow.
func (d *FailureDetector) removeStale(now time.Time, unresponsive []UnresponsiveWorker) {
	isUnresponsive := make(map[string]bool, len(unresponsive))
	for i := range unresponsive {
		isUnresponsive[unresponsive[i].Name] = true
	}
	for name := range d.probes {
		if !isUnresponsive[name] {
			delete(d.probes, name)
		}
	}
	for name, at := range d.failedAt {
		if now.Sub(at) > failureWindow {
			delete(d.failedAt, name)
		}
	}
}

// evaluation is one call of FailureDetector.Evaluate.
type evaluation struct {
	*FailureDetector
	now          time.Time
	view         *View
	inboundLost  bool          // this controller receives almost no heartbeats
	timeout      time.Duration // heartbeat timeout of workers with tasks, adjusted to the situation
	failuresLeft int           // workers that may still fail within failureWindow
	verdict      Verdict
}

// assessAll assesses this controller's reception and sets the timeout and the number of
// workers that may still fail, from the state of all workers together.
func (e *evaluation) assessAll(known int, unresponsive []UnresponsiveWorker) {
	responsive, late, longUnheard := known-len(unresponsive), 0, 0
	for i := range unresponsive {
		switch unheardFor := unresponsive[i].UnheardFor; {
		case unheardFor >= 2*e.Lease+e.Timeout:
			longUnheard++ // says nothing about the present
		case unheardFor >= e.Timeout:
			late++
		}
	}
	recent := known - longUnheard
	// A controller that receives almost no heartbeats can't tell failed workers from lost links.
	// Workers that the cloud lists as failed are handled without this check.
	e.inboundLost = known > 1 && responsive == 0 ||
		recent >= minWorkersForShares && (e.view.Self.InboundLost() || float64(responsive) < inboundLostShare*float64(recent))
	e.timeout = e.Timeout
	if recent >= minWorkersForShares && 2*late > recent {
		// Most workers became unresponsive at the same time: lost heartbeats are more likely than that
		// many failures.
		e.timeout = max(e.timeout, e.Lease+e.Lease/500+time.Second)
	}
	if e.now.Before(e.degradedUntil) {
		e.timeout *= degradedTimeoutFactor
	}
	e.failuresLeft = max(minWorkersForShares, int(maxFailureShare*float64(known))) - len(e.failedAt)
}

// evaluateWorker adds the decision on one worker to the verdict.
func (e *evaluation) evaluateWorker(worker *UnresponsiveWorker) {
	outcome := e.probe(worker)
	timeout := e.timeout
	if !worker.Busy {
		timeout = time.Duration(idleTimeoutFactor * float64(timeout))
	}
	if worker.UnheardFor < timeout {
		if worker.UnheardFor >= e.Timeout && worker.Busy {
			e.recordKept("most workers are unresponsive, or this controller receives poorly")
		}
		return
	}
	if reason := e.reasonToKeep(worker, outcome); reason != "" {
		e.recordKept(reason)
		return
	}
	if _, failed := e.failedAt[worker.Name]; !failed {
		e.failuresLeft--
		e.failedAt[worker.Name] = e.now
	}
	e.verdict.Failed[worker.Name] = worker.failureReason()
}

// probe requests a probe of the worker if one is due, and returns the state of its probes.
func (e *evaluation) probe(worker *UnresponsiveWorker) probe {
	current := e.probes[worker.Name]
	if !current.pending && e.now.Sub(current.finishedAt) >= probeInterval && len(e.verdict.Probe) < maxProbesPerEvaluation {
		e.verdict.Probe[worker.Name] = *worker
		current.pending, current.startedAt = true, e.now
		e.probes[worker.Name] = current
	}
	return current
}

func (e *evaluation) recordKept(reason string) {
	e.verdict.Kept++
	e.verdict.KeptReason = reason
}

// reasonToKeep returns the reason why a worker past its timeout has not failed, or "" if it has.
func (e *evaluation) reasonToKeep(worker *UnresponsiveWorker, outcome probe) string {
	if e.inboundLost {
		return "this controller receives next to no heartbeats"
	}
	if reason := e.mayBeHeardByPeer(e.view, worker); reason != "" {
		return reason
	}
	if outcome.pending || !outcome.failed || outcome.startedAt.Before(e.peerJoinedAt) {
		return "probe pending"
	}
	if _, failed := e.failedAt[worker.Name]; !failed && e.failuresLeft <= 0 {
		return "too many workers failed within a minute"
	}
	return ""
}

// failureReason describes the failure of a worker. Controllers exchange these texts, and the
// runbook lists them.
func (w *UnresponsiveWorker) failureReason() string {
	reason := fmt.Sprintf("silent for %.0f s", w.UnheardFor.Seconds())
	if w.OutboundLost {
		reason = fmt.Sprintf("nothing reaches it for %.0f s", w.UnheardFor.Seconds())
	}
	if w.Busy {
		reason += " with tasks on it"
	}
	return reason
}

// reachesMutually reports whether the peer and this controller receive each other's messages, so
// that each learns directly which workers the other hears.
func (p *Peer) reachesMutually(v *View) bool {
	return p.DirectlyReached() && !slices.Contains(p.Status.UnreachedPeers, v.Self.Node) && !slices.Contains(v.Self.UnreachedPeers, p.Name)
}

// mayBeHeardByPeer returns the reason why a peer may be receiving the worker's heartbeats without
// being able to tell this controller, or "".
func (d *FailureDetector) mayBeHeardByPeer(v *View, worker *UnresponsiveWorker) string {
	if worker.OutboundLost {
		return "" // commands have no effect on this worker, so a peer's receiving its heartbeats is no reason to keep it
	}
	for i := range v.Peers {
		peer := &v.Peers[i]
		switch {
		case peer.reachesMutually(v):
		// The peer has sent no status since this controller started, but the worker was heard here, so
		// they were not lost together.
		case !peer.Known && !worker.NotHeardSinceFailover:
		// The peer would have reported the worker by itself or when queried.
		case peer.IsFresh():
			if peer.Status.HeardWorkers.Has(worker.Name) {
				return peer.Name + " receives its heartbeats, and can't say so directly"
			}
		case peer.Age < d.IsolationGrace+d.Lease && d.lostTogether(worker, peer.Age):
			// The peer and the worker may be cut off together, in which case the peer still answers the
			// worker for this time. For a worker without a heartbeat since the failover, only a lower
			// bound of the time since its last heartbeat is known.
			return "lost together with " + peer.Name
		}
	}
	return ""
}

// lostTogether reports whether a worker was last heard at about the time of a peer's last status,
// which is statusAge old. For a worker not heard since this leader's failover, the last
// heartbeat is older than UnheardFor by an unknown time. So lostTogether also returns true if
// UnheardFor is shorter than statusAge. Otherwise the workers of a zone that was cut off together with a controller long before the
// failover would be deleted, although the previous leader had kept them.
func (d *FailureDetector) lostTogether(worker *UnresponsiveWorker, statusAge time.Duration) bool {
	tolerance := 2*d.HeartbeatInterval + PeerTimeout
	if worker.NotHeardSinceFailover {
		return worker.UnheardFor < statusAge+tolerance
	}
	return (worker.UnheardFor - statusAge).Abs() < tolerance
}
