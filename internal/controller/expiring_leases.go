package controller

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/scheduler"
)

// expiringLeasesInterval is the time between checks for workers whose reports are overdue.
const expiringLeasesInterval = 250 * time.Millisecond

// expiringLeases requests reports from workers whose leases are about to expire: a worker may
// receive requests although its own reports reach no controller. It also sends the commands that
// still take effect before the leases end. At most one round of requests is in flight.
type expiringLeases struct {
	scheduler  *scheduler.Scheduler
	dispatcher *dispatch.Dispatcher
	router     *workerRouter
}

func (e *expiringLeases) run(ctx context.Context) error {
	return periodic.Run(ctx, expiringLeasesInterval, func() {
		if !e.router.MayAnswerWorkers() {
			return
		}
		if workers := e.scheduler.HandleExpiringLeases(); len(workers) > 0 {
			e.dispatcher.PollAndHaltCancelledTasks(ctx, workers)
		}
	})
}
