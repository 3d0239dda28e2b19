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
	"github.com/wallrack/wallrack/internal/scheduler"
)

// removedBatchDelay is the time over which removed workers are collected into one message.
const removedBatchDelay = 300 * time.Millisecond

// removedMessage names workers whose machines were deleted.
type removedMessage struct {
	Workers []string `json:"machines"`
}

// removedWorkers notifies every controller of workers whose machines were deleted. Otherwise a
// later leader would expect their heartbeats and treat them as unresponsive. It is safe for
// concurrent use.
type removedWorkers struct {
	cfg        *config.Platform
	scheduler  *scheduler.Scheduler
	dispatcher *dispatch.Dispatcher
	peers      *peerlinks.Caller
	lifetime   lifetime
	log        *slog.Logger

	mu      sync.Mutex
	pending []string // not sent yet
}

func (r *removedWorkers) register(m *mesh.Mesh) {
	mesh.Handle(m, methodRemoved, func(_ context.Context, msg *removedMessage) (*empty, error) {
		for _, name := range msg.Workers {
			r.dispatcher.RemoveWorker(name)
			r.scheduler.WorkerDeleted(name)
		}
		return &empty{}, nil
	})
}

func (r *removedWorkers) add(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending = append(r.pending, name); len(r.pending) == 1 {
		time.AfterFunc(removedBatchDelay, r.send)
	}
}

func (r *removedWorkers) send() {
	r.mu.Lock()
	msg := &removedMessage{r.pending}
	r.pending = nil
	r.mu.Unlock()
	for _, peer := range r.cfg.Peers {
		go r.sendTo(peer.Node, msg)
	}
}

func (r *removedWorkers) sendTo(peer string, msg *removedMessage) {
	ctx, cancel := context.WithTimeout(r.lifetime.ctx, peerQueryTimeout)
	defer cancel()
	if _, err := peerlinks.Call[removedMessage, empty](ctx, r.peers, peer, methodRemoved, msg); err != nil {
		r.log.Debug("reporting removed workers failed", "peer", peer, "workers", len(msg.Workers), "err", err)
	}
}
