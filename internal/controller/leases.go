package controller

import (
	"context"
	"time"
)

// leasesEvery is the time between looks at workers whose reports are overdue.
const leasesEvery = 250 * time.Millisecond

// watchLeases asks workers whose leases are not renewed for their reports, by requests
// that may reach them although theirs reach no controller, and sends them the commands
// that still help before their leases end. One round of requests is out at a time.
func (n *node) watchLeases(ctx context.Context) error {
	tick := time.NewTicker(leasesEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if !n.MayAnswerWorkers() {
			continue
		}
		if ask := n.owner.HandleExpiringLeases(); len(ask) > 0 {
			n.holder.ChaseCancelledTasks(ctx, ask)
		}
	}
}
