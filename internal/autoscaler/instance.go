package autoscaler

import (
	"time"

	"github.com/wallrack/wallrack/internal/planner"
)

// drainConfirmation is the time from the drain of a worker within which its heartbeats may still show
// it as not draining.
const drainConfirmation = 2 * time.Second

// instance is a machine as the autoscaler knows it.
type instance struct {
	name          string
	offer         offer
	provisionedAt time.Time // estimate if the machine is known only from a list or a heartbeat
	discoveredAt  time.Time // when the autoscaler first learned of the machine
	listedAt      time.Time // when the newest list that contains the machine was requested
	lastHeartbeat time.Time // zero if none was received
	idleSince     time.Time // zero if it runs tasks
	drainingSince time.Time // zero if it is not being drained
	cordoned      bool
	stage         string              // in the cloud's list
	load          *planner.WorkerLoad // nil before the first heartbeat
}

// empty reports whether a machine that is up runs no tasks.
func (i *instance) empty() bool { return i.load != nil && i.load.Placements == 0 }

// updateDraining follows the dispatcher, which decides whether tasks start on a worker: a worker that
// was drained in an earlier term, or by another leader, must be deleted by this one, and one that the
// dispatcher does not drain any more, or that reports to another, counts as capacity again.
func (i *instance) updateDraining(now time.Time) {
	switch {
	case !i.load.Draining && i.lastHeartbeat.Sub(i.drainingSince) > drainConfirmation:
		i.drainingSince = time.Time{}
	case i.load.Draining && i.drainingSince.IsZero():
		i.drainingSince = now
	}
}
