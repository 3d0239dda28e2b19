package controller

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/peerlinks"
	"github.com/wallrack/wallrack/internal/scheduler"
)

const (
	exchangeInterval     = 500 * time.Millisecond
	exchangeTimeout      = time.Second
	stalePeerAfter       = 2500 * time.Millisecond // age from which a peer's cancellation updates are stale; pings deliver them sooner
	stopRetryAfter       = 3 * time.Second         // time that a dispatcher has to stop a cancelled task before it is halted here
	stopRetryInterval    = 2 * time.Second
	malformedLogInterval = time.Minute // between log lines about malformed messages
)

// cancellationMessage carries a controller's cancellation updates to a peer outside of pings.
type cancellationMessage struct {
	From string `json:"from"`
	cancellation.Message
}

// cancellationExchange exchanges cancellation updates with the peers, and halts tasks of
// cancelled jobs that their workers' dispatchers did not stop.
type cancellationExchange struct {
	cfg        *config.Platform
	registry   *cancellation.Registry
	updates    <-chan struct{} // signals that there are updates for the peers
	scheduler  *scheduler.Scheduler
	dispatcher *dispatch.Dispatcher
	router     *workerRouter
	peers      *peerlinks.Caller
	reader     cancellationReader
	log        *slog.Logger

	malformedLoggedAt atomic.Int64 // time of the last log line about a malformed message, Unix ns; 0 if none

	// Accessed by run only.
	mayAnswer      bool
	stopsRetriedAt time.Time
}

func (e *cancellationExchange) register(m *mesh.Mesh) {
	mesh.Handle(m, methodCancellations, func(_ context.Context, msg *cancellationMessage) (*cancellation.Message, error) {
		e.handleMessage(msg.From, &msg.Message)
		reply := e.registry.MessageFor(msg.From)
		return &reply, nil
	})
}

// handleMessage applies a peer's cancellation updates; msg may be nil.
func (e *cancellationExchange) handleMessage(from string, msg *cancellation.Message) {
	if msg == nil {
		return
	}
	if err := e.registry.HandleMessage(from, msg); err != nil {
		if last := e.malformedLoggedAt.Load(); last == 0 || time.Since(time.Unix(0, last)) > malformedLogInterval {
			e.malformedLoggedAt.Store(time.Now().UnixNano())
			e.log.Info("malformed cancellation updates dropped", "err", err)
		}
	}
}

// exchange sends this controller's cancellation updates to a peer and applies the peer's, via
// another peer if there is no direct link.
func (e *cancellationExchange) exchange(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	msg := &cancellationMessage{e.cfg.Node, e.registry.MessageFor(peer)}
	reply, err := peerlinks.Call[cancellationMessage, cancellation.Message](ctx, e.peers, peer, methodCancellations, msg)
	if err == nil {
		e.handleMessage(peer, reply)
	}
}

func (e *cancellationExchange) run(ctx context.Context) error {
	tick := time.NewTicker(exchangeInterval)
	defer tick.Stop()
	go e.reader.run(ctx)
	for {
		stale := e.registry.StalePeers(stalePeerAfter)
		e.logMayAnswer(stale)
		for _, peer := range stale {
			go e.exchange(ctx, peer)
		}
		e.retryStops(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-e.updates:
			e.sendUpdates(ctx)
		}
	}
}

// logMayAnswer logs when this controller starts or stops to respond to workers.
func (e *cancellationExchange) logMayAnswer(stale []string) {
	if now := e.router.MayAnswerWorkers(); now != e.mayAnswer {
		e.mayAnswer = now
		e.log.Info("answering workers", "is", now, "cancels_known_s", time.Since(e.registry.KnownUntil()).Seconds(), "stale_peers", stale)
	}
}

// retryStops polls the workers that may still run tasks of cancelled jobs, and halts those tasks.
func (e *cancellationExchange) retryStops(ctx context.Context) {
	if time.Since(e.stopsRetriedAt) < stopRetryInterval || !e.router.MayAnswerWorkers() {
		return
	}
	e.stopsRetriedAt = time.Now()
	if workers := e.scheduler.UnstoppedWorkers(stopRetryAfter); len(workers) > 0 {
		go e.dispatcher.PollAndHaltCancelledTasks(ctx, workers)
	}
}

// sendUpdates sends confirmed cancels to the peers at once; pings would delay them by up to a
// second. Updates that arrive during the pause at the end are sent together.
func (e *cancellationExchange) sendUpdates(ctx context.Context) {
	for _, peer := range e.cfg.Peers {
		go e.exchange(ctx, peer.Node)
	}
	select {
	case <-ctx.Done():
	case <-time.After(exchangeInterval / 5):
	}
}
