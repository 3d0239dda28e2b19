package reconcile

import (
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	// estimateWeight is the weight of a newly completed task in its class's ratio of run time
	// to estimate, and leastRatio and mostRatio are the bounds of what one task adds to it.
	estimateWeight = 0.08
	leastRatio     = 0.25
	mostRatio      = 4

	// workerDecay and spotDecay are what remains, at each new one, of the counts of recently
	// completed and lost tasks: of a worker, and of all on spot machines.
	workerDecay = 0.98
	spotDecay   = 0.995

	// assignAgain is how long after a placement was sent to a dispatcher it is sent again, if
	// the dispatcher still does not know it.
	assignAgain = 2 * time.Second
	// acceptanceDelay is how long after a failover a job that is not known may still be one
	// that was just accepted.
	acceptanceDelay = 3 * time.Second
	// avoidRefusing is for how long a worker that had no room for a job's task is avoided, and
	// unknownCauseDelay how long a job waits of which a task ended for an unknown cause.
	avoidRefusing     = 2 * time.Second
	unknownCauseDelay = 2 * time.Second
	// A job with freeErrors more errors than completed tasks waits before it is tried again:
	// a second, doubled with each error, up to maxErrorDelay.
	freeErrors    = 3
	maxErrorDelay = 30 * time.Second
	maxDoublings  = 5
)

// observeTask settles what a worker's report says of one task.
func (r *Reconciler) observeTask(worker *jobstate.Worker, ref dispatch.TaskRef, view *dispatch.TaskView) {
	uid, task, err := wire.ParseTask(ref.Task)
	if err != nil {
		return // not a task of ours: the worker's own affair
	}
	job := r.state.Jobs[uid]
	if job == nil {
		if r.surelyEnded(uid) {
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
		return // until its completion is recorded
	}
	if view.State == wire.TaskExited {
		r.taskExited(worker, placement, view)
		return
	}
	if placement.State != jobstate.PlacementReported {
		r.startReported(worker, placement, view)
	} else if placement.SentTo != worker.View.Dispatcher || view.ResourcesUnknown && time.Since(placement.SentAt) > assignAgain {
		// What was sent may have come when the dispatcher had an older report, which did not
		// list the task: it took the worker to be full as long as the task ran, and what was
		// queued there never started.
		r.state.AssignPlacement(placement, true)
	}
	placement.Session = max(placement.Session, worker.View.Session)
	if view.State != wire.TaskFetching && job.Spec.Image != "" {
		r.state.CacheImage(job, worker)
	}
	if (view.State == wire.TaskRunning || view.State == wire.TaskSaving) && placement.RunningSince.IsZero() {
		placement.RunningSince = time.Now().Add(-config.Seconds(view.StateAgeS))
		job.Running++
		job.Started++
		job.RecordBegin(placement.RunningSince)
		job.Constraints.RecordStart(placement.RunningSince)
	}
	if job.Cancelled || placement.Chunk.IsOver(placement.Task) {
		r.state.HaltTask(placement, 0)
	}
}

// placementOn returns the one of a task's placements that is this attempt on the worker, or nil.
func placementOn(worker *jobstate.Worker, placements []*jobstate.Placement, attempt uint64) *jobstate.Placement {
	for _, placement := range placements {
		if placement.Worker == worker && placement.Attempt == attempt {
			return placement
		}
	}
	return nil
}

// startReported settles a placement that the worker reports for the first time.
func (r *Reconciler) startReported(worker *jobstate.Worker, placement *jobstate.Placement, view *dispatch.TaskView) {
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

// surelyEnded reports whether a job that is not among the living ones has ended or was never
// accepted. It may be another leader's, unless all shards are led here.
func (r *Reconciler) surelyEnded(uid string) bool {
	if len(r.state.Loaded) < r.state.Operator.Shards {
		return false
	}
	_, ended := r.state.FinalRecords[uid]
	return ended || time.Since(r.state.LoadedAt) >= acceptanceDelay
}

// endUnknownTask stops or clears a task that has no placement in the state.
func (r *Reconciler) endUnknownTask(worker *jobstate.Worker, ref dispatch.TaskRef, view *dispatch.TaskView) {
	instructions := r.state.InstructionsFor(worker.View.Dispatcher)
	if view.State == wire.TaskExited {
		// The placement is gone, and with it which tokens its start commands carry: a clear
		// whose message was lost is repeated here, and a start that was held up came later.
		instructions.Clear = append(instructions.Clear, dispatch.Clear{TaskRef: ref, Token: max(worker.MaxToken, r.state.PredecessorToken)})
	} else {
		instructions.Halt = append(instructions.Halt, dispatch.Halt{TaskRef: ref})
	}
	jobstate.Notify(r.state.SendSignal)
}

// taskExited settles the end of an attempt: the task is completed, failed for good, or goes
// back to those that wait.
func (r *Reconciler) taskExited(worker *jobstate.Worker, placement *jobstate.Placement, view *dispatch.TaskView) {
	job := placement.Job
	placement.ExitCause = view.Cause
	if view.Cause == wire.CauseDone {
		r.recordSuccess(worker, placement)
		if !job.Spec.Service() && !placement.Chunk.IsOver(placement.Task) {
			placement.Chunk.SetOver(placement.Task)
			job.Done++
			job.RecordBegin(time.Now())
			r.state.FinishTask(placement)
			return
		}
	}
	if outcome := job.FinalOutcome(placement, view); outcome != 0 {
		r.state.FailTask(placement, outcome)
		return
	}
	r.delayRetry(job, worker, view.Cause)
	r.state.ClearTask(placement)
}

// recordSuccess counts an attempt that was done in favour of its worker and its job, and learns
// from its run time.
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
		return // how long it ran is not known
	}
	ranS := time.Since(placement.RunningSince).Seconds()
	job.RunTimes.Add(ranS)
	job.Class.RunTimes.Add(ranS)
	if job.Spec.EstimateS > 0 {
		ratio := min(mostRatio, max(leastRatio, ranS/job.Spec.EstimateS))
		job.Class.EstimateRatio += estimateWeight * (ratio - job.Class.EstimateRatio)
	}
}

// delayRetry notes why an attempt ended without its task being completed, and when and where
// the job is tried again.
func (r *Reconciler) delayRetry(job *jobstate.Job, worker *jobstate.Worker, cause string) {
	switch cause {
	case wire.CauseError:
		r.state.Stats.Errors++
		r.recordFailure(job, worker)
		if job.Errors > freeErrors+job.Done {
			job.NotBefore = time.Now().Add(min(maxErrorDelay, time.Second<<min(job.Errors-freeErrors, maxDoublings)))
		}
	case wire.CauseNoRoom, wire.CauseBusy:
		job.Avoid[worker.Index] = time.Now().Add(avoidRefusing)
	case wire.CauseUnknown:
		job.Errors++
		job.NotBefore = time.Now().Add(unknownCauseDelay)
	}
}

// countLost counts a task that was lost against its worker.
func (r *Reconciler) countLost(placement *jobstate.Placement) {
	r.state.Stats.Lost++
	placement.Worker.RecentLost = placement.Worker.RecentLost*workerDecay + 1
	if placement.Worker.View.Spot {
		r.state.SpotLost = r.state.SpotLost*spotDecay + 1
	}
}
