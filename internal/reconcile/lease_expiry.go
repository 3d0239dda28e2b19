package reconcile

import (
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

// In units of a worker's report interval; jobstate.OverdueSlack is added to the first two.
const (
	pollAfterHeartbeats = 1.25 // without an answered report, after which a worker is polled
	haltAfterHeartbeats = 2    // the same, after which tasks on it are stopped, unless its lease may expire at any time
	sameRenewalTolerance      = 0.25 // between two times that are of one renewal, at most
)

const (
	haltDeliveryS       = 3.0 // seconds from the decision to stop a task until its worker has surely got the command
	lateFactor       = 1.5 // by which a task's estimated remaining run exceeds its lease's rest if it is surely not done in time
	settleDelay      = time.Second
	haltingPollS    = 1   // seconds between polls while a task is being stopped
	maxUnansweredPolls    = 2   // polls without a response after which only the rules for unresponsive workers apply
	minPollsPerRound       = 6   // workers polled in one round, at least
	pollDivisor      = 16  // one in so many of those whose report is overdue, if that is more
	minLeaseLeftS  = 0.1 // rest of a lease that may have expired, unless it surely has
	maxOverdueShare = 0.5 // of the workers; if more are overdue the fault is hardly theirs, and there is no room elsewhere
)

// expiringTask is a task on a worker whose lease is not renewed. Times are in seconds.
type expiringTask struct {
	elapsedS     float64 // it has run for
	remainingS   float64 // until it ends, as estimated, its image's fetch included
	saveS        float64 // that it takes to save; negative: it can't
	stopUndoesStart bool    // to stop it now would undo a start that an objective counts
}

// stopBeforeExpiry decides whether to stop a task now, leftS seconds before its worker kills
// it. One that saves runs on as long as it can be saved. Any other that surely will not be done
// in time loses its run if the lease expires, and the rest of the lease too: it is stopped while
// it has run for less than that, so that no more is lost than twice the least possible, whether
// or not the worker's heartbeats come again. What may be done runs on: its worker is of use to
// nobody else.
func stopBeforeExpiry(task expiringTask, leftS float64) bool {
	switch {
	case leftS <= 0 || task.stopUndoesStart:
		return false
	case task.saveS >= 0:
		return leftS <= task.saveS+haltDeliveryS
	default:
		return task.remainingS+jobstate.FinalPollS >= lateFactor*leftS && task.elapsedS < leftS
	}
}

// HandleExpiringLeases stops tasks on workers whose leases are about to expire unrenewed, and
// returns the addresses of those to be polled now, by name. It is to be called several times a
// second.
func (r *Reconciler) HandleExpiringLeases() map[string]string {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	if r.state.Membership.LeaseRemaining() <= 0 {
		return nil
	}
	now := time.Now()
	r.state.Now = now
	var overdue []*jobstate.Worker
	for _, worker := range r.state.Workers {
		if !worker.Removed && len(worker.Placements) > 0 && worker.View.Endpoint != "" && r.leaseExpiring(worker, now) {
			overdue = append(overdue, worker)
		}
	}
	fewOverdue := float64(len(overdue)) <= maxOverdueShare*float64(len(r.state.Workers))
	for _, worker := range overdue {
		if r.state.HeartbeatOverdue(worker, haltAfterHeartbeats) || worker.LeaseUnknown() && r.state.HeartbeatOverdue(worker, pollAfterHeartbeats) {
			r.stopExpiringTasks(worker, now, fewOverdue)
		}
	}
	return r.pollTargets(overdue, now)
}

// pollTargets returns the addresses of those overdue workers that are to be polled now, and
// notes that they are: in turn, so that none waits for ever behind others.
func (r *Reconciler) pollTargets(overdue []*jobstate.Worker, now time.Time) map[string]string {
	slices.SortFunc(overdue, func(a, b *jobstate.Worker) int { return lastHeartbeatOrPoll(a).Compare(lastHeartbeatOrPoll(b)) })
	endpoints := map[string]string{}
	for _, worker := range overdue {
		if len(endpoints) >= max(minPollsPerRound, len(overdue)/pollDivisor) || !r.pollDue(worker, now) {
			continue
		}
		if worker.PolledAt.After(worker.LastHeartbeat) {
			worker.UnansweredPolls++
		} else {
			worker.UnansweredPolls = 0
		}
		worker.PolledAt = now
		endpoints[worker.Name] = worker.View.Endpoint
	}
	return endpoints
}

// lastHeartbeatOrPoll is when a worker's last heartbeat came, or when it was last polled for one.
func lastHeartbeatOrPoll(worker *jobstate.Worker) time.Time {
	return jobstate.Later(worker.LastHeartbeat, worker.PolledAt)
}

// leaseExpiring reports whether a worker's report is overdue, and its lease has not been expired for
// long.
func (r *Reconciler) leaseExpiring(worker *jobstate.Worker, now time.Time) bool {
	report := r.state.Platform.Params.Workers.ReportS
	overdue := now.Sub(worker.LastContact()) > config.Seconds(pollAfterHeartbeats*report)+jobstate.OverdueSlack
	return overdue && now.Before(r.state.LatestLeaseEnd(worker).Add(config.Seconds(report)+settleDelay))
}

// pollDue reports whether a worker whose report is overdue is to be polled for it: as often as
// it would report, shortly before its lease expires for what is done, shortly after it for what
// is lost, at the earliest and at the latest end of the lease, and each second while a task is
// being stopped.
func (r *Reconciler) pollDue(worker *jobstate.Worker, now time.Time) bool {
	if worker.PolledAt.After(worker.LastHeartbeat) && worker.UnansweredPolls >= maxUnansweredPolls {
		return false
	}
	last := lastHeartbeatOrPoll(worker)
	for _, leaseEnd := range []time.Time{r.state.EarliestLeaseEnd(worker), r.state.LatestLeaseEnd(worker)} {
		for _, at := range []time.Time{leaseEnd.Add(-config.Seconds(jobstate.FinalPollS)), leaseEnd.Add(settleDelay)} {
			if last.Before(at) && !now.Before(at) {
				return true
			}
		}
	}
	return now.Sub(last) >= config.Seconds(r.pollIntervalS(worker))
}

// pollIntervalS is how many seconds after a worker was last seen it is polled.
func (r *Reconciler) pollIntervalS(worker *jobstate.Worker) float64 {
	intervalS := r.state.Platform.Params.Workers.ReportS
	if !r.state.HeartbeatOverdue(worker, haltAfterHeartbeats) {
		intervalS /= 2 // whether it is lost is not clear yet
	}
	for placement := range worker.Placements {
		if placement.MayRun() && !placement.FirstHaltAt.IsZero() {
			return min(intervalS, haltingPollS)
		}
	}
	return intervalS
}

// stopExpiringTasks stops what is to be stopped on a worker whose lease is about to expire. Tasks
// that can't save are stopped only if few workers are overdue.
func (r *Reconciler) stopExpiringTasks(worker *jobstate.Worker, now time.Time, fewOverdue bool) {
	stopped := 0
	for placement := range worker.Placements {
		job := placement.Job
		if placement.State != jobstate.PlacementReported || placement.Exited || !placement.FirstHaltAt.IsZero() || job.Cancelled || job.Spec.Service() {
			continue
		}
		saves := job.Spec.CheckpointIntervalS > 0
		if !saves && (!fewOverdue || job.Spec.Gang() || !placement.StartObserved && !placement.RunningSince.IsZero()) {
			continue // a gang's tasks stop together; how long one has run that a predecessor started is not known
		}
		task := r.newExpiringTask(placement, now)
		if stopBeforeExpiry(task, r.leaseLeftS(worker, task, now)) || worker.LeaseUnknown() && task.saveS >= 0 {
			r.state.HaltTask(placement, max(0, task.saveS)+1)
			r.state.Stats.LeaseExpiring++
			stopped++
		}
	}
	if stopped > 0 {
		r.log.Debug("tasks stopped before lease expiry", "worker", worker.Name, "tasks", stopped,
			"left_s", r.state.LatestLeaseEnd(worker).Sub(now).Seconds(), "surely_left_s", r.state.EarliestLeaseEnd(worker).Sub(now).Seconds(),
			"controller", worker.RenewedBy, "renewed_s", now.Sub(worker.RenewedAt).Seconds(), "heartbeat_s", now.Sub(worker.LastUnpolledHeartbeat).Seconds())
	}
}

// leaseLeftS is the rest of the worker's lease in seconds that the stop of a task goes by; 0 or
// less if the lease has surely expired. A task that saves has to be stopped in time even if the
// last response to its worker was lost. For any other the likely end of the lease counts:
// whether it is worth stopping depends on how long it would wait for that end.
func (r *Reconciler) leaseLeftS(worker *jobstate.Worker, task expiringTask, now time.Time) float64 {
	leftS := r.state.LatestLeaseEnd(worker).Sub(now).Seconds()
	if task.saveS < 0 || leftS <= 0 {
		return leftS
	}
	return max(r.state.EarliestLeaseEnd(worker).Sub(now).Seconds(), minLeaseLeftS)
}

// newExpiringTask returns what decides whether a placement's task is stopped.
func (r *Reconciler) newExpiringTask(placement *jobstate.Placement, now time.Time) expiringTask {
	job := placement.Job
	task := expiringTask{remainingS: job.RunEstimate(), saveS: -1}
	if placement.RunningSince.IsZero() {
		task.remainingS += r.state.FetchTime(job, placement.Worker)
	} else {
		task.elapsedS = now.Sub(placement.RunningSince).Seconds()
		task.remainingS = matching.RemainingRun(task.remainingS, task.elapsedS)
		task.stopUndoesStart = len(job.Class.StartObjectives) > 0 && task.elapsedS < jobstate.MinCountedRunS
	}
	if job.Spec.CheckpointIntervalS > 0 {
		task.saveS = job.Spec.CheckpointSaveS
	}
	return task
}
