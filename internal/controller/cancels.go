package controller

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
)

const (
	cancelsEvery = 500 * time.Millisecond
	unheardFor   = 2500 * time.Millisecond // pings bring a peer's word at most so late
	readEvery    = 2500 * time.Millisecond // the state service, while peers' words don't do
	readCost     = 20                      // and at most one part in so many of the time
	chaseAfter   = 3 * time.Second         // for which holders have time to stop a task
	chaseEvery   = 2 * time.Second
)

// recall stops the tasks of jobs that were just found to be cancelled.
func (n *node) recall(uids []string) {
	// The caller may hold the owner's lock, which the holder takes too.
	go n.holder.HaltCancelledTasks()
	n.log.Debug("cancelled", "jobs", uids)
}

// cancelNews has the peers hear of confirmed cancels at once: pings would bring them
// a second later.
func (n *node) cancelNews() {
	select {
	case n.tellCancels <- struct{}{}:
	default:
	}
}

func (n *node) handleCancels() {
	mesh.Handle(n.mesh, methodCancels, func(_ context.Context, m *cancelsMessage) (*cancellation.Message, error) {
		n.tookCancels(m.From, &m.Message)
		rep := n.cancels.MessageFor(m.From)
		return &rep, nil
	})
}

// cancelsMessage is what one controller tells another of cancels outside of pings.
type cancelsMessage struct {
	From string `json:"from"`
	cancellation.Message
}

func (n *node) tookCancels(from string, m *cancellation.Message) {
	if m == nil {
		return
	}
	if err := n.cancels.HandleMessage(from, m); err != nil {
		if last := n.badNews.Load(); last == 0 || time.Since(time.Unix(0, last)) > time.Minute {
			n.badNews.Store(time.Now().UnixNano())
			n.log.Info("malformed news is dropped", "err", err)
		}
	}
}

// exchangeCancels asks a peer for its word on cancels, by a third if need be.
func (n *node) exchangeCancels(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	rep, err := call[cancelsMessage, cancellation.Message](ctx, n, peer, methodCancels, &cancelsMessage{n.cfg.Node, n.cancels.MessageFor(peer)})
	if err == nil {
		n.tookCancels(peer, rep)
	}
}

// watchCancels keeps this controller's knowledge of cancels fresh by every way that
// is open, and stops cancelled tasks that their machines' holders did not stop.
func (n *node) watchCancels(ctx context.Context) error {
	tick := time.NewTicker(cancelsEvery)
	defer tick.Stop()
	go n.readCancels(ctx)
	var chased time.Time
	answers := false
	for {
		peers := n.cancels.StalePeers(unheardFor)
		if now := n.MayAnswerWorkers(); now != answers {
			answers = now
			n.log.Info("workers are answered", "is", now, "cancels_known_s_ago", time.Since(n.cancels.KnownUntil()).Seconds(), "unheard", peers)
		}
		for _, p := range peers {
			go n.exchangeCancels(ctx, p)
		}
		if time.Since(chased) >= chaseEvery && n.MayAnswerWorkers() {
			chased = time.Now()
			if on := n.owner.UnstoppedWorkers(chaseAfter); len(on) > 0 {
				go n.holder.ChaseCancelledTasks(ctx, on)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-n.tellCancels:
			for _, p := range n.cfg.Peers {
				go n.exchangeCancels(ctx, p.Node)
			}
			// What comes in the meantime shares a message.
			select {
			case <-ctx.Done():
			case <-time.After(cancelsEvery / 5):
			}
		}
	}
}

// readCancels reads the living jobs from the state service while peers' words do not
// cover all that may have been confirmed.
func (n *node) readCancels(ctx context.Context) {
	for pause := time.Duration(0); ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(pause, cancelsEvery/2)):
		}
		if !n.cancels.NeedsStoreRead(unheardFor) {
			pause = 0
			continue
		}
		sent := time.Now()
		rctx, cancel := context.WithTimeout(statestore.WithPriority(ctx, statestore.Urgent), 5*time.Second)
		uids, err := scheduler.ReadCancelledJobs(rctx, n.store)
		cancel()
		if err != nil {
			n.log.Debug("cancels not read", "err", err)
			pause = cancelsEvery
			continue
		}
		n.cancels.RecordStoreRead(sent, uids)
		pause = max(readEvery, readCost*time.Since(sent))
	}
}
