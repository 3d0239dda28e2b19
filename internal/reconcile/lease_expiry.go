package reconcile

import (
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

// In heartbeat intervals; jobstate.OverdueSlack is added to the first two.
const (
	pollAfterHeartbeats  = 1.25 // time without contact after which a worker is polled
	haltAfterHeartbeats  = 2    // time without contact after which tasks may be stopped; pollAfterHeartbeats if the lease is unknown
	sameRenewalTolerance = 0.25 // maximum difference between two times of the same renewal
)

const (
	haltDeliveryS      = 3.0         // maximum seconds from the decision to stop a task until the command reaches its worker
	lateFactor         = 1.5         // a task is certain not to finish in time if its remaining run exceeds the rest of the lease by this factor
	settleDelay        = time.Second // time after the end of a lease at which its worker is polled, to observe which tasks were lost
	haltingPollS       = 1           // seconds between polls of a worker while one of its tasks is being stopped
	maxUnansweredPolls = 2           // consecutive polls without a response after which a worker is not polled again
	minPollsPerRound   = 6           // minimum number of workers that may be polled in one round
	pollDivisor        = 16          // one in this many overdue workers may be polled in one round, if that is more than minPollsPerRound
	minLeaseLeftS      = 0.1         // minimum remaining time in seconds assumed for a lease that may not have expired
	maxOverdueShare    = 0.5         // maximum share of overdue workers: above it, probably none is at fault, and the others lack resources
)

// expiringTask is a task on a worker whose lease is not being renewed. Times are in seconds.
type expiringTask struct {
	elapsedS        float64 // time that it has run
	remainingS      float64 // estimated time until it ends, including the image fetch
	saveS           float64 // time to save its state; negative if it cannot
	stopUndoesStart bool    // a stop now would undo a start that an objective counts
}

// stopBeforeExpiry decides whether to stop a task now, leftS seconds before its worker kills it.
// A task that can save its state runs on as long as there is time to save. If a task that
// cannot save and is certain not to finish in time runs on until the lease expires, its run and the
// rest of the lease are wasted. Such a task is stopped if it has run for less than the rest of the
// lease: the loss is then at most twice the minimum, whether or not the heartbeats resume. A task
// that may finish in time runs on, because no other task can use its worker.
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

// HandleExpiringLeases stops tasks on workers whose leases are about to expire without renewal,
// and returns the addresses, by name, of the workers to be polled now. It does nothing
// if this leader's own lease has expired. It is to be called several times a second.
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

// pollTargets returns the addresses of the overdue workers to be polled now, and marks them as
// polled. The number of addresses is limited to minPollsPerRound or, if that is more, to the number
// of overdue workers divided by pollDivisor. Workers are polled in the order of their last heartbeat or poll, so that none waits
// indefinitely behind others.
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

// lastHeartbeatOrPoll returns the time of a worker's last heartbeat or poll, whichever is later.
func lastHeartbeatOrPoll(worker *jobstate.Worker) time.Time {
	return jobstate.Later(worker.LastHeartbeat, worker.PolledAt)
}

// leaseExpiring reports whether a worker's heartbeat is overdue, and the latest end of its lease is in
// the future or was less than one heartbeat interval plus settleDelay ago.
func (r *Reconciler) leaseExpiring(worker *jobstate.Worker, now time.Time) bool {
	intervalS := r.state.Platform.Params.Workers.ReportS
	overdue := now.Sub(worker.LastContact()) > config.Seconds(pollAfterHeartbeats*intervalS)+jobstate.OverdueSlack
	return overdue && now.Before(r.state.LatestLeaseEnd(worker).Add(config.Seconds(intervalS)+settleDelay))
}

// pollDue reports whether a worker with an overdue heartbeat is to be polled for it: at the
// interval of pollIntervalS, and additionally shortly before and after both the earliest and the
// latest end of its lease, to observe the tasks that are done and those that are lost. It is false
// once UnansweredPolls has reached maxUnansweredPolls, until the next heartbeat.
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

// pollIntervalS returns the time in seconds after a worker's last heartbeat or poll at which it
// is polled.
func (r *Reconciler) pollIntervalS(worker *jobstate.Worker) float64 {
	intervalS := r.state.Platform.Params.Workers.ReportS
	if !r.state.HeartbeatOverdue(worker, haltAfterHeartbeats) {
		intervalS /= 2 // shorter until it is clear whether the worker is lost
	}
	for placement := range worker.Placements {
		if placement.MayRun() && !placement.FirstHaltAt.IsZero() {
			return min(intervalS, haltingPollS)
		}
	}
	return intervalS
}

// stopExpiringTasks stops the tasks selected by stopBeforeExpiry on a worker whose lease is
// about to expire. Tasks of services are not stopped. Tasks that cannot save their state are
// stopped only if few workers are overdue, they belong to no gang, and their run time is known.
func (r *Reconciler) stopExpiringTasks(worker *jobstate.Worker, now time.Time, fewOverdue bool) {
	stopped := 0
	for placement := range worker.Placements {
		job := placement.Job
		if placement.State != jobstate.PlacementReported || placement.Exited || !placement.FirstHaltAt.IsZero() || job.Cancelled || job.Spec.Service() {
			continue
		}
		saves := job.Spec.CheckpointIntervalS > 0
		if !saves && (!fewOverdue || job.Spec.Gang() || !placement.StartObserved && !placement.RunningSince.IsZero()) {
			continue // a gang's tasks stop together; the run time of a task that a predecessor started is unknown
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

// leaseLeftS returns the rest of the worker's lease in seconds for the decision whether to stop
// a task; 0 or less if the lease is certain to have expired. A task that can save its state has
// to be stopped in time even if the last response to its worker was lost. For any other task,
// the likely end of the lease counts: whether a stop is worthwhile depends on the time until
// then.
func (r *Reconciler) leaseLeftS(worker *jobstate.Worker, task expiringTask, now time.Time) float64 {
	leftS := r.state.LatestLeaseEnd(worker).Sub(now).Seconds()
	if task.saveS < 0 || leftS <= 0 {
		return leftS
	}
	return max(r.state.EarliestLeaseEnd(worker).Sub(now).Seconds(), minLeaseLeftS)
}

// newExpiringTask returns the inputs of stopBeforeExpiry for a placement's task.
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
