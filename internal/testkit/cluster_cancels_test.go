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

// maintainCancels does the cancellation work of package controller that is not part of its pings: it
// exchanges cancels with peers not heard from lately, reads the recorded cancels if needed, and stops
// cancelled tasks that still run.
func (w *cluster) maintainCancels(ctx context.Context, living []*node) {
	const staleAfter = 2500 * time.Millisecond
	for _, n := range living {
		for _, p := range n.cancellations.StalePeers(staleAfter) {
			w.mu.Lock()
			to := w.nodes[p]
			reachable := w.reaches(n, to)
			w.mu.Unlock()
			if reachable {
				w.exchangeCancels(n, to)
			}
		}
		if n.cancellations.NeedsStoreRead(staleAfter) {
			sent := time.Now()
			if uids, err := scheduler.ReadCancelledJobs(ctx, n.view); err == nil {
				n.cancellations.RecordStoreRead(sent, uids)
			}
		}
		if couldAnswer := n.couldAnswerWorkers; n.member.FencingToken() > 0 {
			n.couldAnswerWorkers = n.MayAnswerWorkers()
			if couldAnswer && !n.couldAnswerWorkers {
				w.stoppedAnswering++
			}
		}
		if unstopped := n.scheduler.UnstoppedWorkers(3 * time.Second); len(unstopped) > 0 && n.MayAnswerWorkers() {
			n.runDuty("cancels", func(ctx context.Context) { n.dispatcher.PollAndHaltCancelledTasks(ctx, unstopped) })
		}
	}
}
