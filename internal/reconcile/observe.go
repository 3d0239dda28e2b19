package reconcile

import (
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobstate"
)

// ObserveWorker applies a dispatcher's view of a worker to the state. If the view
// repeats the last heartbeat and the state's Mu is held, ObserveWorker does not wait: the view is
// applied later, by ObserveDeferred.
func (r *Reconciler) ObserveWorker(view dispatch.WorkerView) {
	if view.Unchanged {
		if !r.state.Mu.TryLock() {
			r.deferView(view)
			return
		}
	} else {
		r.state.Mu.Lock()
	}
	defer r.state.Mu.Unlock()
	r.ObserveDeferred()
	r.observe(&view)
}

// deferredView is a view that arrived while the state was locked.
type deferredView struct {
	view      dispatch.WorkerView
	arrivedAt time.Time
}

// deferView queues a view that shows nothing new but a heartbeat, because the response to the
// worker must not wait for a scheduling pass.
func (r *Reconciler) deferView(view dispatch.WorkerView) {
	r.deferredMu.Lock()
	defer r.deferredMu.Unlock()
	r.deferred = append(r.deferred, deferredView{view, time.Now()})
}

// ObserveDeferred applies the deferred views, with their ages updated. If a later view of the
// same worker was applied in the meantime, the deferred one is ignored as stale. The caller
// holds the state's Mu.
func (r *Reconciler) ObserveDeferred() {
	r.deferredMu.Lock()
	views := r.deferred
	r.deferred = nil
	r.deferredMu.Unlock()
	for i := range views {
		deferred := &views[i]
		waitedS := time.Since(deferred.arrivedAt).Seconds()
		deferred.view.AgeS += waitedS
		deferred.view.UnansweredS += waitedS
		r.observe(&deferred.view)
	}
}

// observe applies a view: first its data on the worker and then, if this leader's lease has not
// expired, its data on tasks.
func (r *Reconciler) observe(view *dispatch.WorkerView) {
	if len(r.state.Loaded) == 0 || r.deleted.Contains(view.Name) {
		return
	}
	worker := r.state.WorkerOf(view.Name)
	if worker.Removed {
		return
	}
	now := time.Now()
	r.recordRenewal(worker, view, now)
	if r.isStale(worker, view) {
		return
	}
	if last := &worker.View; view.Session == last.Session && view.Seq == last.Seq && view.Dispatcher == last.Dispatcher {
		// The same heartbeat with a changed queue: reconciling it again would only repeat the
		// instructions that changed the queue.
		worker.View, worker.Matrix = *view, view.Matrix
		r.state.ReserveUnreported(worker)
		return
	}
	if worker.View.Zone == "" && view.Zone != "" {
		r.setZone(worker, view.Zone)
	}
	worker.LeaseExpiredUnreported = view.Polled && (worker.LeaseExpiredUnreported || r.leaseExpiredUnreported(worker, view))
	worker.View, worker.ViewAt, worker.Matrix = *view, now, view.Matrix
	recordHeartbeat(worker, now)
	if r.state.Membership.LeaseRemaining() <= 0 {
		// Another leader may have taken over and started tasks that this one does not know. If not,
		// the next heartbeat is reconciled instead.
		return
	}
	r.reconcileTasks(worker, now)
	r.checkResponsive(worker, now)
	r.checkpointBeforeReclaim(worker)
	r.state.ReserveUnreported(worker)
	jobstate.Notify(r.state.PlanSignal)
}

// recordRenewal records the time of the last renewal of the worker's lease. The delay of a view
// makes the same renewal appear slightly later, so differences up to sameRenewalTolerance are
// ignored.
func (r *Reconciler) recordRenewal(worker *jobstate.Worker, view *dispatch.WorkerView, now time.Time) {
	at := now.Add(-config.Seconds(view.UnansweredS))
	if at.Sub(worker.RenewedAt) > config.Seconds(sameRenewalTolerance*r.state.Platform.Params.Workers.ReportS) {
		worker.RecordRenewal(at, view.Session, view.Dispatcher)
	}
}

// isStale reports whether a view is older than the known one. After a full lease without a
// heartbeat it is not considered stale: the worker has been restarted and counts its sessions
// from the start again.
func (r *Reconciler) isStale(worker *jobstate.Worker, view *dispatch.WorkerView) bool {
	last := &worker.View
	older := view.Session < last.Session || view.Session == last.Session && view.Seq < last.Seq
	return older && time.Since(worker.LastHeartbeat) < config.Seconds(r.state.Platform.Params.Workers.LeaseS)
}

// leaseExpiredUnreported reports whether the response to a poll proves to a new leader, which
// does not know the worker's lease, that the lease expired while no heartbeat arrived: the
// worker is in a new session, or the tasks that a predecessor had placed on it are gone. Further
// tasks placed on such a worker would be lost, too.
func (r *Reconciler) leaseExpiredUnreported(worker *jobstate.Worker, view *dispatch.WorkerView) bool {
	if !worker.LeaseUnknown() {
		return false
	}
	if known := worker.View.Session; known != 0 {
		return view.Session > known
	}
	recorded := worker.RecordedFailover != 0 && worker.RecordedFailover == r.state.Stats.Failovers
	return recorded && view.Session > 1 && len(view.Tasks) == 0
}

// setZone sets the worker's zone. The use of its placements, so far counted under an unknown
// zone, is counted in that zone afterwards.
func (r *Reconciler) setZone(worker *jobstate.Worker, zone string) {
	for placement := range worker.Placements {
		r.state.CountUse(placement, -1)
	}
	worker.View.Zone = zone
	for placement := range worker.Placements {
		r.state.CountUse(placement, 1)
	}
}

// recordHeartbeat records when the heartbeat in the worker's view arrived, and when the cloud
// reclaims the machine. It subtracts the age of the heartbeat from now: otherwise tasks are
// placed on workers that were deleted long ago.
func recordHeartbeat(worker *jobstate.Worker, now time.Time) {
	view := &worker.View
	worker.LastHeartbeat = now.Add(-config.Seconds(view.AgeS))
	if !view.Polled {
		worker.LastUnpolledHeartbeat = worker.LastHeartbeat
	}
	worker.ReclaimAt = time.Time{}
	if view.NoticeS != nil {
		worker.ReclaimAt = now.Add(config.Seconds(*view.NoticeS))
	}
}

// reconcileTasks compares the tasks and the queue in the worker's view with its placements.
func (r *Reconciler) reconcileTasks(worker *jobstate.Worker, now time.Time) {
	view := &worker.View
	r.viewCount++
	for i := range view.Tasks {
		task := &view.Tasks[i]
		r.observeTask(worker, dispatch.TaskRef{Worker: view.Name, Task: task.Task.Task, Attempt: task.Attempt}, task)
	}
	for placement := range worker.Placements {
		placement.MarkCompared(worker.LastHeartbeat)
		switch {
		case placement.SeenInView == r.viewCount:
		case settledByHeartbeat(worker, placement):
			r.observeMissing(worker, placement)
		case placement.State == jobstate.PlacementGranted:
			r.checkGranted(worker, placement, now)
		}
	}
	for i := range view.Queue {
		r.checkQueued(worker, view.Queue[i].TaskRef)
	}
}

// checkpointBeforeReclaim makes tasks save their state and withdraws ungranted placements if the
// cloud has given notice that it reclaims the worker's machine.
func (r *Reconciler) checkpointBeforeReclaim(worker *jobstate.Worker) {
	if worker.ReclaimAt.IsZero() {
		return
	}
	leftS := time.Until(worker.ReclaimAt).Seconds()
	for placement := range worker.Placements {
		if placement.Exited {
			continue
		}
		if !placement.MayRun() {
			r.state.WithdrawPlacement(placement)
			continue
		}
		spec := placement.Job.Spec
		saves := spec.CheckpointIntervalS > 0 && !placement.RunningSince.IsZero() && placement.FirstHaltAt.IsZero()
		if saves && leftS < spec.CheckpointSaveS+2*r.state.Platform.Params.Workers.ReportS+1 {
			r.state.HaltTask(placement, spec.CheckpointSaveS+1)
		}
	}
}
