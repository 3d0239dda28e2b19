package reconcile

import (
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	// estimateWeight is the weight of a newly completed task in its class's ratio of run time to
	// estimate; minRatio and maxRatio bound the ratio of a single task.
	estimateWeight = 0.08
	minRatio       = 0.25
	maxRatio       = 4

	// workerDecay is the factor by which a worker's counts of recently completed and lost tasks
	// are multiplied at each new one; spotDecay is the same for the counts of all spot workers
	// together.
	workerDecay = 0.98
	spotDecay   = 0.995

	// assignRetryInterval is the time after which a placement is sent to a dispatcher again if
	// the dispatcher still does not know it.
	assignRetryInterval = 2 * time.Second
	// acceptanceDelay is the time after a failover during which an unknown job may be one that
	// was just accepted.
	acceptanceDelay = 3 * time.Second
	// noRoomAvoidance is the time for which a job avoids a worker that had no room for one of
	// its tasks, and unknownCauseDelay the time for which a job waits after one of its tasks
	// ended for an unknown cause.
	noRoomAvoidance   = 2 * time.Second
	unknownCauseDelay = 2 * time.Second
	// A job with more than freeErrors errors beyond its number of completed tasks is delayed
	// before its next attempt: by a second, doubled with each error, up to maxErrorDelay.
	freeErrors    = 3
	maxErrorDelay = 30 * time.Second
	maxDoublings  = 5
)

// observeTask applies the state of one task in a worker's heartbeat.
func (r *Reconciler) observeTask(worker *jobstate.Worker, ref dispatch.TaskRef, view *dispatch.TaskView) {
	uid, task, err := wire.ParseTask(ref.Task)
	if err != nil {
		return // not a task of this scheduler
	}
	job := r.state.Jobs[uid]
	if job == nil {
		if r.knownEnded(uid) {
			r.endUnknownTask(worker, ref, view)
		}
		return
	}
	placement := placementOn(worker, job.Placements[task], ref.Attempt)
	if placement == nil {
		r.endUnknownTask(worker, ref, view)
		return
	}
	placement.SeenInView = r.viewCount
	if placement.Exited {
		return // waiting for its completion to be recorded
	}
	if view.State == wire.TaskExited {
		r.taskExited(worker, placement, view)
		return
	}
	if placement.State != jobstate.PlacementReported {
		r.recordReported(worker, placement, view)
	} else if placement.SentTo != worker.View.Dispatcher || view.ResourcesUnknown && time.Since(placement.SentAt) > assignRetryInterval {
		// The dispatcher's latest heartbeat may not have listed the task when the assignment
		// arrived. The dispatcher would then consider the worker full as long as the task runs,
		// and tasks queued there would never start.
		r.state.AssignPlacement(placement, true)
	}
	placement.Session = max(placement.Session, worker.View.Session)
	if view.State != wire.TaskFetching && job.Spec.Image != "" {
		r.state.CacheImage(job, worker)
	}
	if (view.State == wire.TaskRunning || view.State == wire.TaskSaving) && placement.RunningSince.IsZero() {
		placement.RunningSince = time.Now().Add(-config.Seconds(view.StateAgeS))
		job.Running++
		job.ObservedStarts++
		job.RecordStarted(placement.RunningSince)
		job.Constraints.RecordStart(placement.RunningSince)
	}
	if job.Cancelled || placement.Chunk.IsOver(placement.Task) {
		r.state.HaltTask(placement, 0)
	}
}

// placementOn returns the placement of this attempt on the worker from a task's placements, or
// nil.
func placementOn(worker *jobstate.Worker, placements []*jobstate.Placement, attempt uint64) *jobstate.Placement {
	for _, placement := range placements {
		if placement.Worker == worker && placement.Attempt == attempt {
			return placement
		}
	}
	return nil
}

// recordReported updates a placement that the worker reports for the first time.
func (r *Reconciler) recordReported(worker *jobstate.Worker, placement *jobstate.Placement, view *dispatch.TaskView) {
	if !placement.MayRun() {
		r.log.Error("task runs without a grant", "task", placement.Ref.Task, "worker", worker.Name, "attempt", placement.Attempt,
			"state", placement.State, "sent_to", placement.SentTo, "age_s", time.Since(placement.CreatedAt).Seconds(),
			"controller", worker.View.Dispatcher, "fencing_token", worker.View.Token, "reported", view.State, "for_s", view.StateAgeS, "halted_at", placement.LastHaltAt)
	}
	unconfirmed := placement.State == jobstate.PlacementUnconfirmed
	if placement.State == jobstate.PlacementGranted {
		worker.CommandObserved, worker.RespondedAt = true, jobstate.Later(worker.RespondedAt, placement.GrantedAt)
	}
	placement.StartObserved = !unconfirmed
	r.state.CountUse(placement, -1)
	placement.State, placement.Session = jobstate.PlacementReported, worker.View.Session
	r.state.CountUse(placement, 1)
	if unconfirmed || placement.SentTo != worker.View.Dispatcher {
		r.state.AssignPlacement(placement, true)
	}
}

// knownEnded reports whether a job that is not live here is certain to have ended or never to
// have been accepted. Unless this controller leads all shards, another leader may have the job.
func (r *Reconciler) knownEnded(uid string) bool {
	if len(r.state.Loaded) < r.state.Operator.Shards {
		return false
	}
	_, ended := r.state.FinalRecords[uid]
	return ended || time.Since(r.state.LoadedAt) >= acceptanceDelay
}

// endUnknownTask stops a task without a placement in the state, or has it forgotten if it has exited.
func (r *Reconciler) endUnknownTask(worker *jobstate.Worker, ref dispatch.TaskRef, view *dispatch.TaskView) {
	instructions := r.state.InstructionsFor(worker.View.Dispatcher)
	if view.State == wire.TaskExited {
		// The placement is gone, so the tokens of its start commands are unknown: the bound is one
		// for all starts on the worker. An earlier instruction may have been lost.
		instructions.Forget = append(instructions.Forget, dispatch.Forget{TaskRef: ref, MaxStartToken: max(worker.MaxToken, r.state.PredecessorToken)})
	} else {
		instructions.Halt = append(instructions.Halt, dispatch.Halt{TaskRef: ref})
	}
	jobstate.Notify(r.state.SendSignal)
}

// taskExited applies the end of an attempt: the task is completed, has failed for good, or
// becomes pending again.
func (r *Reconciler) taskExited(worker *jobstate.Worker, placement *jobstate.Placement, view *dispatch.TaskView) {
	job := placement.Job
	placement.ExitCause = view.Cause
	if view.Cause == wire.CauseDone {
		r.recordSuccess(worker, placement)
		if !job.Spec.Service() && !placement.Chunk.IsOver(placement.Task) {
			placement.Chunk.SetOver(placement.Task)
			job.Done++
			job.RecordStarted(time.Now())
			r.state.FinishTask(placement)
			return
		}
	}
	if outcome := job.FinalOutcome(placement, view); outcome != 0 {
		r.state.FailTask(placement, outcome)
		return
	}
	r.delayRetry(job, worker, view.Cause)
	r.state.ForgetTask(placement)
}

// recordSuccess counts a completed attempt in favor of its worker and its job, and updates the
// run time estimates.
func (r *Reconciler) recordSuccess(worker *jobstate.Worker, placement *jobstate.Placement) {
	job := placement.Job
	r.state.Stats.Done++
	worker.RecentDone = worker.RecentDone*workerDecay + 1
	clear(worker.Failures)
	job.Faulty, job.FailedOn = false, nil
	if worker.View.Spot {
		r.state.SpotDone = r.state.SpotDone*spotDecay + 1
	}
	r.state.CacheImage(job, worker)
	if !placement.StartObserved || placement.RunningSince.IsZero() || job.Cancelled {
		return // the run time is unknown
	}
	runS := time.Since(placement.RunningSince).Seconds()
	job.RunTimes.Add(runS)
	job.Class.RunTimes.Add(runS)
	if job.Spec.EstimateS > 0 {
		ratio := min(maxRatio, max(minRatio, runS/job.Spec.EstimateS))
		job.Class.EstimateRatio += estimateWeight * (ratio - job.Class.EstimateRatio)
	}
}

// delayRetry counts an attempt that ended without completing its task, and restricts when and
// where the job is retried, depending on the cause.
func (r *Reconciler) delayRetry(job *jobstate.Job, worker *jobstate.Worker, cause string) {
	switch cause {
	case wire.CauseError:
		r.state.Stats.Errors++
		r.recordFailure(job, worker)
		if job.Errors > freeErrors+job.Done {
			job.NotBefore = time.Now().Add(min(maxErrorDelay, time.Second<<min(job.Errors-freeErrors, maxDoublings)))
		}
	case wire.CauseNoRoom, wire.CauseBusy:
		job.AvoidUntil[worker.Index] = time.Now().Add(noRoomAvoidance)
	case wire.CauseUnknown:
		job.Errors++
		job.NotBefore = time.Now().Add(unknownCauseDelay)
	}
}

// countLost counts a lost task against its worker.
func (r *Reconciler) countLost(placement *jobstate.Placement) {
	r.state.Stats.Lost++
	placement.Worker.RecentLost = placement.Worker.RecentLost*workerDecay + 1
	if placement.Worker.View.Spot {
		r.state.SpotLost = r.state.SpotLost*spotDecay + 1
	}
}
