package reachability

import (
	"fmt"
	"slices"
	"time"
)

const (
	// minWorkersForShares is from how many workers on it can be told whether most are unresponsive, and
	// how many may fail in failureWindow however few there are.
	minWorkersForShares = 8
	failureWindow       = time.Minute
	maxFailureShare     = 0.4 // of the known workers, that may fail within failureWindow

	probeThresholdShare    = 0.6 // of Base: unresponsive for so long, a worker is probed
	probeInterval          = 2 * time.Second
	maxProbesPerEvaluation = 200 // at a time

	degradedDuration      = 10 * time.Second // after a refused connection or a late timer
	degradedTimeoutFactor = 2                // by which the timeout is longer while this process receives poorly
	maxTimerDelay         = 500 * time.Millisecond
	idleTimeoutFactor     = 2.5 // by which the timeout of a worker without tasks is longer
)

// ReceiveHealth is how well this process receives heartbeats just now.
type ReceiveHealth struct {
	RefusedConnections int64         // connections refused for want of sockets, since its start
	TimerDelay         time.Duration // by which its timers fired late lately
}

// UnresponsiveWorker is one whose last heartbeat is older than FailureDetector.Threshold.
type UnresponsiveWorker struct {
	Name                  string
	Endpoint              string        // "" if it is not known here: then peers can only say whether they heard it
	UnheardFor            time.Duration // since the last heartbeat; since the failover, if UnheardSinceFailover
	Busy                  bool          // tasks may be on it
	OutboundLost          bool          // its heartbeats arrive, but commands to it have no effect
	NotHeardSinceFailover bool          // no heartbeat since this leader's failover: the last one is older than SilentFor says
}

// Verdict is what to do about unresponsive workers.
type Verdict struct {
	Failed     map[string]string             // failed workers, to be deleted, with the reason
	Probe      map[string]UnresponsiveWorker // to be probed now, by name; see RecordProbe
	Kept       int                           // unresponsive for as long, but not failed
	KeptReason string                        // of the last one kept
}

// FailureDetector decides which unresponsive workers have failed. To delete a worker that works
// throws away all that runs on it, so that a late heartbeat is weighed against how well this
// controller receives, against what peers receive, against a direct probe, and against a rate
// of failures that no accident has. It only decides: the caller probes and deletes. It is not
// safe for concurrent use.
type FailureDetector struct {
	Timeout           time.Duration // heartbeat timeout of a worker with tasks
	Lease             time.Duration // of workers
	HeartbeatInterval time.Duration // between a worker's heartbeats
	IsolationGrace    time.Duration // for which a controller goes on answering workers when it is cut off from all others

	probes          map[string]probe     // of workers that are unresponsive now
	failedAt        map[string]time.Time // workers that failed within failureWindow
	refused         int64                // ReceiveHealth.RefusedConnections as of the last call
	degradedUntil   time.Time            // this process receives poorly until then
	mutuallyReached map[string]bool      // peers that informed this controller of workers as of the last call
	peerJoinedAt    time.Time            // when a peer last began to
}

// probe is the outcome of probing a worker.
type probe struct {
	pending    bool
	startedAt  time.Time
	finishedAt time.Time // of the last outcome
	failed     bool
}

// Threshold is the time without a heartbeat from which on a worker is to be passed to Evaluate.
func (d *FailureDetector) Threshold() time.Duration {
	return min(d.Timeout, max(time.Duration(probeThresholdShare*float64(d.Timeout)), 3*d.HeartbeatInterval/2))
}

// RecordProbe notes whether a worker of Verdict.Probe responded to this controller or a peer, or
// was heard by a peer.
func (d *FailureDetector) RecordProbe(name string, responded bool, now time.Time) {
	if outcome, ok := d.probes[name]; ok {
		d.probes[name] = probe{startedAt: outcome.startedAt, finishedAt: now, failed: !responded}
	}
}

// Evaluate decides which workers have failed: of a leader that knows so many, those that are
// unresponsive for longer than Threshold. A worker fails only if a probe of it, begun by an
// earlier call, failed; see evaluation.reasonToKeep for what else speaks against it.
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

// updatePeers notes when a peer begins to inform this controller. One that was apart may have
// heard all the while what is unresponsive here: probes from before it could be queried say
// nothing.
func (d *FailureDetector) updatePeers(now time.Time, v *View) {
	for i := range v.Peers {
		peer := &v.Peers[i]
		informs := peer.reachesMutually(v)
		if informs && !d.mutuallyReached[peer.Name] {
			d.peerJoinedAt = now
		}
		d.mutuallyReached[peer.Name] = informs
	}
}

func (d *FailureDetector) updateHealth(now time.Time, health ReceiveHealth) {
	if health.RefusedConnections > d.refused || health.TimerDelay > maxTimerDelay {
		d.degradedUntil = now.Add(degradedDuration)
	}
	d.refused = health.RefusedConnections
}

// removeStale drops the probes of workers that are responsive again, and old failures.
func (d *FailureDetector) removeStale(now time.Time, unresponsive []UnresponsiveWorker) {
	still := make(map[string]bool, len(unresponsive))
	for i := range unresponsive {
		still[unresponsive[i].Name] = true
	}
	for name := range d.probes {
		if !still[name] {
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
	inboundLost  bool          // this controller receives next to no heartbeats
	timeout      time.Duration // heartbeat timeout of workers with tasks
	failuresLeft int           // within failureWindow
	verdict      Verdict
}

// assessAll judges this controller by all workers together.
func (e *evaluation) assessAll(known int, unresponsive []UnresponsiveWorker) {
	responsive, late, long := known-len(unresponsive), 0, 0
	for i := range unresponsive {
		switch unheardFor := unresponsive[i].UnheardFor; {
		case unheardFor >= 2*e.Lease+e.Timeout:
			long++ // that says nothing of now
		case unheardFor >= e.Timeout:
			late++
		}
	}
	recent := known - long
	// A controller that receives next to nothing can't tell; what the cloud lists as
	// failed goes without this judgement.
	e.inboundLost = known > 1 && responsive == 0 ||
		recent >= minWorkersForShares && (e.view.Self.InboundLost() || float64(responsive) < inboundLostShare*float64(recent))
	e.timeout = e.Timeout
	if recent >= minWorkersForShares && 2*late > recent {
		// Most became unresponsive together: it is likelier that they are not heard than
		// that they failed.
		e.timeout = max(e.timeout, e.Lease+e.Lease/500+time.Second)
	}
	if e.now.Before(e.degradedUntil) {
		e.timeout *= degradedTimeoutFactor
	}
	e.failuresLeft = max(minWorkersForShares, int(maxFailureShare*float64(known))) - len(e.failedAt)
}

// evaluateWorker adds one worker to the verdict.
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

// probe has the worker probed, if it is time, and returns the state of its probe.
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

// reasonToKeep says why a worker past its timeout has not failed, or "".
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

// failureReason describes the failureReason of a worker. The texts travel between controllers and stand in the
// runbook.
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

// reachesMutually reports whether the peer and this controller hear and reach each other, so that each
// learns directly which workers the other hears.
func (p *Peer) reachesMutually(v *View) bool {
	return p.DirectlyReached() && !slices.Contains(p.Status.UnreachedPeers, v.Self.Node) && !slices.Contains(v.Self.UnreachedPeers, p.Name)
}

// mayBeHeardByPeer says why a peer may hear the worker without being able to
// say so here, or "".
func (d *FailureDetector) mayBeHeardByPeer(v *View, worker *UnresponsiveWorker) string {
	if worker.OutboundLost {
		return "" // that it is heard is not enough: all peers were queried
	}
	for i := range v.Peers {
		peer := &v.Peers[i]
		switch {
		case peer.reachesMutually(v):
			// It would have said so, by itself or when queried.
		case !peer.Known && !worker.NotHeardSinceFailover:
			// It has never been there, and the worker was heard without it.
		case peer.IsFresh():
			if peer.Status.HeardWorkers.Has(worker.Name) {
				return peer.Name + " receives its heartbeats, and can't say so directly"
			}
		case peer.Age < d.IsolationGrace+d.Lease && d.lostTogether(worker, peer.Age):
			// Both may be cut off together: then the peer goes on
			// answering the worker for so long. Of a worker without a heartbeat since the
			// failover it is known that the last one is older than that.
			return "lost together with " + peer.Name
		}
	}
	return ""
}

// lostTogether reports whether a worker was last heard when a peer was whose status is so old.
// How long a worker was unresponsive before this leader's failover is not known: a new leader
// that judged by its own time alone deleted the workers of a whole zone, which was cut
// off together with a controller long before, and which the leader before it had kept.
func (d *FailureDetector) lostTogether(worker *UnresponsiveWorker, statusAge time.Duration) bool {
	apart := 2*d.HeartbeatInterval + PeerTimeout
	if worker.NotHeardSinceFailover {
		return worker.UnheardFor < statusAge+apart
	}
	return (worker.UnheardFor - statusAge).Abs() < apart
}
