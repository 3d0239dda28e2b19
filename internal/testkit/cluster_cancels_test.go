package testkit_test

import (
	"context"
	"errors"
	"time"

	"github.com/wallrack/wallrack/internal/scheduler"
)

// exchangeCancels exchanges the known cancels between a controller and a peer.
func (w *cluster) exchangeCancels(n, to *node) {
	m := n.cancellations.MessageFor(to.name)
	err := to.cancellations.HandleMessage(n.name, &m)
	rep := to.cancellations.MessageFor(n.name)
	if err = errors.Join(err, n.cancellations.HandleMessage(to.name, &rep)); err != nil {
		w.fail("%v", err)
	}
}

// maintainCancels does the cancellation work of cmd/wallrack that is not part of its pings: it
// exchanges cancels with peers not heard from lately, reads the recorded cancels if needed, and stops
// cancelled tasks that still run.
func (w *cluster) maintainCancels(ctx context.Context, living []*node) {
	const unheard = 2500 * time.Millisecond
	for _, n := range living {
		for _, p := range n.cancellations.StalePeers(unheard) {
			w.mu.Lock()
			to := w.nodes[p]
			ok := w.reaches(n, to)
			w.mu.Unlock()
			if ok {
				w.exchangeCancels(n, to)
			}
		}
		if n.cancellations.NeedsStoreRead(unheard) {
			sent := time.Now()
			if uids, err := scheduler.ReadCancelledJobs(ctx, n.view); err == nil {
				n.cancellations.RecordStoreRead(sent, uids)
			}
		}
		if was := n.couldAnswerWorkers; n.member.FencingToken() > 0 {
			n.couldAnswerWorkers = n.MayAnswerWorkers()
			if was && !n.couldAnswerWorkers {
				w.stoppedAnswering++
			}
		}
		if on := n.scheduler.UnstoppedWorkers(3 * time.Second); len(on) > 0 && n.MayAnswerWorkers() {
			n.onDuty("cancels", func(ctx context.Context) { n.dispatcher.ChaseCancelledTasks(ctx, on) })
		}
	}
}
