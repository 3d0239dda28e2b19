package reconcile

import (
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobstate"
)

const (
	faultyJobWorkers       = 3 // number of workers on which a job must have failed, without a completed task, to be faulty itself
	unresponsiveHeartbeats = 2 // consecutive heartbeats without an effect of the commands sent
	failureAvoidance       = time.Minute
)

// recordFailure records that a task of the job ended with an error on the worker. A job
// submitted with a mistake fails on every worker: its failures count against no worker, and only
// a few of its tasks are tried at a time until one is done. Otherwise it would make every worker
// it reaches less preferred for all jobs, and cause healthy workers to be deleted.
func (r *Reconciler) recordFailure(job *jobstate.Job, worker *jobstate.Worker) {
	job.Errors++
	job.AvoidUntil[worker.Index] = time.Now().Add(failureAvoidance)
	if job.Faulty {
		return
	}
	worker.Failures[job.Spec.UID]++
	if job.Done > 0 {
		return
	}
	if job.FailedOn == nil {
		job.FailedOn = map[int]bool{}
	}
	job.FailedOn[worker.Index] = true
	if len(job.FailedOn) < faultyJobWorkers {
		return
	}
	job.Faulty, job.FailedOn = true, nil
	for _, known := range r.state.Workers {
		delete(known.Failures, job.Spec.UID)
	}
	r.log.Info("job fails on every worker", "job", job.Spec.UID, "class", job.Spec.Class, "errors", job.Errors)
}

// checkResponsive decides, by the latest heartbeat, whether commands reach the worker. A worker
// whose heartbeats arrive but which no response and no command reaches looks idle: it would be
// assigned one task after another in vain until its lease expires, and again after that. It gets
// no work until it responds to a poll or reports a start. No placement is ended by this check.
func (r *Reconciler) checkResponsive(worker *jobstate.Worker, now time.Time) {
	responsive := worker.CommandObserved || worker.View.Polled
	worker.CommandObserved = false
	if worker.View.Polled {
		worker.RespondedAt = now
	}
	if responsive {
		r.markResponsive(worker)
		return
	}
	timeout := r.responseTimeout()
	since := r.unansweredCommandSince(worker, now.Add(-timeout))
	if since.IsZero() {
		return
	}
	if !worker.UnresponsiveSince.IsZero() {
		return
	}
	if worker.UnresponsiveHeartbeats++; worker.UnresponsiveHeartbeats >= unresponsiveHeartbeats {
		worker.UnresponsiveSince = now.Add(-timeout)
		worker.RecentLost++
		r.log.Info("worker unresponsive to commands", "worker", worker.Name, "controller", worker.View.Dispatcher, "for_s", now.Sub(since).Seconds())
	}
}

// unansweredCommandSince returns the time of the earliest command, among those sent before the
// given time, whose effect the worker's heartbeat should show but does not; zero if there is none.
func (r *Reconciler) unansweredCommandSince(worker *jobstate.Worker, before time.Time) (since time.Time) {
	for placement := range worker.Placements {
		if placement.SeenInView == r.viewCount {
			continue
		}
		var sentAt time.Time
		switch {
		case placement.State == jobstate.PlacementGranted && queuedUnsent(worker.View.Queue, placement.Ref):
			// The grant has not reached the dispatcher, which proves nothing about the worker:
			// otherwise, over a slow link between controllers, working workers are deleted as
			// unresponsive.
			continue
		case placement.State == jobstate.PlacementGranted:
			sentAt = placement.GrantedAt
		case placement.State == jobstate.PlacementUnconfirmed && worker.View.Token <= placement.MaxToken:
			sentAt = placement.CreatedAt
		default:
			continue
		}
		if sentAt.Before(before) && (since.IsZero() || sentAt.Before(since)) {
			since = sentAt
		}
	}
	return since
}

// queuedUnsent reports whether a dispatcher has queued a placement and has sent no start command
// for it.
func queuedUnsent(queue []dispatch.QueueView, ref dispatch.TaskRef) bool {
	for i := range queue {
		if queue[i].Attempt == ref.Attempt && queue[i].TaskRef == ref {
			return queue[i].Unsent
		}
	}
	return false
}

// markResponsive records that a command or response has reached the worker.
func (r *Reconciler) markResponsive(worker *jobstate.Worker) {
	if !worker.UnresponsiveSince.IsZero() {
		r.log.Info("worker reachable again", "worker", worker.Name, "after_s", time.Since(worker.UnresponsiveSince).Seconds())
	}
	worker.UnresponsiveSince, worker.UnresponsiveHeartbeats = time.Time{}, 0
}

// responseTimeout returns how long after a command was sent to a worker a heartbeat of the worker
// must show the effect.
func (r *Reconciler) responseTimeout() time.Duration {
	return config.Seconds(2 + 1.5*r.state.Platform.Params.Workers.ReportS)
}

// WorkerResponded records that a worker responded to a poll by any controller.
func (r *Reconciler) WorkerResponded(name string) {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	if worker := r.state.Workers[name]; worker != nil {
		worker.RespondedAt = time.Now()
		r.markResponsive(worker)
	}
}
