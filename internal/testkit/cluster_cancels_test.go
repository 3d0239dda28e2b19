package testkit_test

import (
	"context"
	"errors"
	"time"

	"github.com/wallrack/wallrack/internal/scheduler"
)

// tellCancels has a controller and a peer tell each other of cancels.
func (w *cluster) tellCancels(n, to *node) {
	m := n.cancellations.MessageFor(to.name)
	err := to.cancellations.HandleMessage(n.name, &m)
	rep := to.cancellations.MessageFor(n.name)
	if err = errors.Join(err, n.cancellations.HandleMessage(to.name, &rep)); err != nil {
		w.fail("%v", err)
	}
}

// watchCancels does what cmd/wallrack does beside the pings.
func (w *cluster) watchCancels(ctx context.Context, living []*node) {
	const unheard = 2500 * time.Millisecond
	for _, n := range living {
		for _, p := range n.cancellations.StalePeers(unheard) {
			w.mu.Lock()
			to := w.nodes[p]
			ok := w.reach(n, to)
			w.mu.Unlock()
			if ok {
				w.tellCancels(n, to)
			}
		}
		if n.cancellations.NeedsStoreRead(unheard) {
			sent := time.Now()
			if uids, err := scheduler.ReadCancelledJobs(ctx, n.view); err == nil {
				n.cancellations.RecordStoreRead(sent, uids)
			}
		}
		if was := n.entitled; n.member.FencingToken() > 0 {
			n.entitled = n.MayAnswerWorkers()
			if was && !n.entitled {
				w.lapses++
			}
		}
		if on := n.scheduler.UnstoppedWorkers(3 * time.Second); len(on) > 0 && n.MayAnswerWorkers() {
			n.runDuty("cancels", func(ctx context.Context) { n.dispatcher.ChaseCancelledTasks(ctx, on) })
		}
	}
}
