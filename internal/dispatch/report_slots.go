package dispatch

import (
	"context"
	"time"
)

const (
	// maxReportsHandled bounds the reports that are read and handled at the same time. A leader that is short
	// of processor time would otherwise hold a decoded report and a grown stack for every worker, and the
	// garbage collector would take the rest of its time.
	maxReportsHandled = 64
	// reportSlotTimeout is how long a report waits for its turn. Workers wait 4 s for a response.
	reportSlotTimeout = 3 * time.Second
)

// reportSlots are the turns of the reports that are handled at the same time.
type reportSlots chan struct{}

// acquire waits for a turn. It returns false if there is none within reportSlotTimeout, or if ctx ends.
func (s reportSlots) acquire(ctx context.Context) bool {
	select {
	case s <- struct{}{}:
		return true
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, reportSlotTimeout)
	defer cancel()
	return acquireSlot(ctx, s) == nil
}

func (s reportSlots) release() { <-s }

// waitOutside gives the turn up while wait runs: otherwise reports that wait for the state service would
// keep out those that need no wait. Without turns (nil) it only calls wait.
func (s reportSlots) waitOutside(wait func()) {
	if s == nil {
		wait()
		return
	}
	s.release()
	wait()
	s <- struct{}{}
}
