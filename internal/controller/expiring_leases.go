package controller

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/scheduler"
)

// expiringLeasesInterval is the time between looks at workers whose reports are overdue.
const expiringLeasesInterval = 250 * time.Millisecond

// expiringLeases polls workers whose leases are not renewed for their reports, by requests
// that may reach them although theirs reach no controller, and sends them the commands
// that still help before their leases end. One round of requests is out at a time.
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
			e.dispatcher.ChaseCancelledTasks(ctx, workers)
		}
	})
}
