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
	stalePeerAfter       = 2500 * time.Millisecond // pings bring a peer's message at most so late
	stopRetryAfter       = 3 * time.Second         // for which dispatchers have time to stop a task
	stopRetryInterval    = 2 * time.Second
	malformedLogInterval = time.Minute // between log lines about malformed messages
)

// cancellationMessage is what one controller sends another of cancels outside of pings.
type cancellationMessage struct {
	From string `json:"from"`
	cancellation.Message
}

// cancellationExchange keeps this controller's knowledge of cancels fresh by the peers, and
// stops cancelled tasks that their workers' dispatchers did not stop.
type cancellationExchange struct {
	cfg        *config.Platform
	registry   *cancellation.Registry
	updates    <-chan struct{} // there are updates for the peers
	scheduler  *scheduler.Scheduler
	dispatcher *dispatch.Dispatcher
	router     *workerRouter
	peers      *peerlinks.Caller
	reader     cancellationReader
	log        *slog.Logger

	malformedLoggedAt atomic.Int64 // when a malformed message was last logged, by time of day, ns

	// Of run alone.
	answering      bool
	stopsRetriedAt time.Time
}

func (e *cancellationExchange) register(m *mesh.Mesh) {
	mesh.Handle(m, methodCancellations, func(_ context.Context, msg *cancellationMessage) (*cancellation.Message, error) {
		e.handleMessage(msg.From, &msg.Message)
		reply := e.registry.MessageFor(msg.From)
		return &reply, nil
	})
}

// handleMessage takes what a peer says of cancels; nil if it says nothing.
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

// exchange queries a peer for what it knows of cancels, by way of a third if need be.
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
		e.logAnswering(stale)
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

// logAnswering logs when this controller begins and ceases to respond to workers.
func (e *cancellationExchange) logAnswering(stale []string) {
	if now := e.router.MayAnswerWorkers(); now != e.answering {
		e.answering = now
		e.log.Info("answering workers", "is", now, "cancels_known_s", time.Since(e.registry.KnownUntil()).Seconds(), "stale_peers", stale)
	}
}

// retryStops has the workers polled on which cancelled tasks go on.
func (e *cancellationExchange) retryStops(ctx context.Context) {
	if time.Since(e.stopsRetriedAt) < stopRetryInterval || !e.router.MayAnswerWorkers() {
		return
	}
	e.stopsRetriedAt = time.Now()
	if workers := e.scheduler.UnstoppedWorkers(stopRetryAfter); len(workers) > 0 {
		go e.dispatcher.ChaseCancelledTasks(ctx, workers)
	}
}

// sendUpdates sends confirmed cancels to the peers at once: pings would bring them a second
// later. What comes in the meantime shares a message.
func (e *cancellationExchange) sendUpdates(ctx context.Context) {
	for _, peer := range e.cfg.Peers {
		go e.exchange(ctx, peer.Node)
	}
	select {
	case <-ctx.Done():
	case <-time.After(exchangeInterval / 5):
	}
}
