package controller

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/peerlinks"
	"github.com/wallrack/wallrack/internal/reachability"
	"github.com/wallrack/wallrack/internal/scheduler"
)

// peerProbeTimeout bounds a peer's probe of an unresponsive worker.
const peerProbeTimeout = 2 * time.Second

// receiveHealth returns how well this process can receive messages at present.
type receiveHealth func() reachability.ReceiveHealth

// probeQuery asks a controller whether it reaches a worker.
type probeQuery struct {
	Worker       string `json:"machine"`
	Endpoint     string `json:"endpoint"`
	OutboundLost bool   `json:"deaf,omitempty"` // its heartbeats arrive; the query is whether it responds to requests
}

type probeReply struct {
	Responsive bool `json:"lives"` // it sent a heartbeat recently, or responds to requests
}

// unresponsiveWorkers decides which of the workers without recent heartbeats at this leader have
// failed. It is safe for concurrent use.
type unresponsiveWorkers struct {
	cfg        *config.Platform
	operator   *config.Operator
	scheduler  *scheduler.Scheduler
	dispatcher *dispatch.Dispatcher
	links      *peerlinks.View
	peers      *peerlinks.Caller
	health     receiveHealth
	lifetime   lifetime
	log        *slog.Logger

	mu       sync.Mutex
	detector reachability.FailureDetector
	kept     int // unresponsive workers that the last evaluation did not count as failed
}

func newFailureDetector(w config.Workers, op *config.Operator) reachability.FailureDetector {
	return reachability.FailureDetector{
		Timeout: config.Seconds(op.HeartbeatTimeoutS), Lease: config.Seconds(w.LeaseS), HeartbeatInterval: config.Seconds(w.ReportS), IsolationGrace: responseGrace(w),
	}
}

func (u *unresponsiveWorkers) register(m *mesh.Mesh) {
	mesh.Handle(m, methodProbe, func(ctx context.Context, q *probeQuery) (*probeReply, error) {
		return &probeReply{u.reachable(ctx, q)}, nil
	})
}

// reachable reports whether this controller reaches a worker.
func (u *unresponsiveWorkers) reachable(ctx context.Context, q *probeQuery) bool {
	if !q.OutboundLost && u.dispatcher.SinceWorkerHeartbeat(q.Worker).Seconds() < u.operator.HeartbeatTimeoutS {
		return true
	}
	return q.Endpoint != "" && u.dispatcher.PollWorker(ctx, q.Worker, q.Endpoint)
}

// failedWorkers returns the workers that this leader treats as failed, with the reasons. It
// starts probes of the workers whose state is uncertain; the next call uses their results.
func (u *unresponsiveWorkers) failedWorkers() map[string]string {
	failed := u.scheduler.StuckWorkers()
	known, unresponsive := u.scheduler.UnresponsiveWorkers(u.detector.Threshold())
	verdict := u.evaluate(known, unresponsive)
	for name, reason := range verdict.Failed {
		failed[name] = reason
	}
	for name, worker := range verdict.Probe {
		go u.probe(name, worker)
	}
	return failed
}

func (u *unresponsiveWorkers) evaluate(known int, unresponsive []reachability.UnresponsiveWorker) reachability.Verdict {
	view := u.links.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	verdict := u.detector.Evaluate(time.Now(), view, u.health(), known, unresponsive)
	if (verdict.Kept > 0) != (u.kept > 0) {
		u.log.Info("unresponsive workers kept", "workers", verdict.Kept, "known", known, "reason", verdict.KeptReason)
	}
	u.kept = verdict.Kept
	return verdict
}

// keptCount returns how many unresponsive workers the last evaluation did not count as failed.
func (u *unresponsiveWorkers) keptCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.kept
}

func (u *unresponsiveWorkers) probe(name string, worker reachability.UnresponsiveWorker) {
	responsive := u.respondsToAny(worker)
	if responsive && worker.OutboundLost {
		u.scheduler.WorkerResponded(name)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.detector.RecordProbe(name, responsive, time.Now())
}

// respondsToAny probes a worker from here and from all peers, and reports whether it responds to
// any of them.
func (u *unresponsiveWorkers) respondsToAny(worker reachability.UnresponsiveWorker) bool {
	responses := make(chan bool, 1+len(u.cfg.Peers))
	go func() {
		responses <- worker.Endpoint != "" && u.dispatcher.PollWorker(u.lifetime.ctx, worker.Name, worker.Endpoint)
	}()
	for _, peer := range u.cfg.Peers {
		go func() { responses <- u.respondsToPeer(peer.Node, worker) }()
	}
	for range cap(responses) {
		if <-responses {
			return true
		}
	}
	return false
}

func (u *unresponsiveWorkers) respondsToPeer(peer string, worker reachability.UnresponsiveWorker) bool {
	ctx, cancel := context.WithTimeout(u.lifetime.ctx, peerProbeTimeout)
	defer cancel()
	reply, err := peerlinks.Call[probeQuery, probeReply](ctx, u.peers, peer, methodProbe, &probeQuery{worker.Name, worker.Endpoint, worker.OutboundLost})
	return err == nil && reply.Responsive
}
