package reconcile

import (
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobstate"
)

// ObserveWorker takes a dispatcher's view of a worker and settles what it shows. A view that
// repeats the last report does not wait for the state's Mu: it is observed later.
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

// deferredView is a view that came while the state was locked.
type deferredView struct {
	view   dispatch.WorkerView
	arrivedAt time.Time
}

// deferView has a view observed later that shows nothing but a heartbeat: the response to the
// worker must not wait for a scheduling pass.
func (r *Reconciler) deferView(view dispatch.WorkerView) {
	r.deferredMu.Lock()
	defer r.deferredMu.Unlock()
	r.deferred = append(r.deferred, deferredView{view, time.Now()})
}

// ObserveDeferred takes the deferred views, with their ages as of now. A later view of the same
// worker may have been observed before one of them, which is then ignored as a late copy. The
// caller holds the state's Mu.
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

// observe takes a view: first what it says of the worker, then, while this leader's lease
// holds, what it says of tasks.
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
		// The same report with a changed queue: settling it again would only repeat the
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
		// There may be another leader by now, whose tasks would look unknown here. If there
		// is none, the next report settles all this.
		return
	}
	r.reconcileTasks(worker, now)
	r.checkResponsive(worker, now)
	r.checkpointBeforeReclaim(worker)
	r.state.ReserveUnreported(worker)
	jobstate.Notify(r.state.PlanSignal)
}

// recordRenewal notes when the worker's lease was last renewed. A view takes time to come,
// which makes the same renewal look a little later.
func (r *Reconciler) recordRenewal(worker *jobstate.Worker, view *dispatch.WorkerView, now time.Time) {
	at := now.Add(-config.Seconds(view.UnansweredS))
	if at.Sub(worker.RenewedAt) > config.Seconds(sameRenewalTolerance*r.state.Platform.Params.Workers.ReportS) {
		worker.RecordRenewal(at, view.Session, view.Dispatcher)
	}
}

// isStale reports whether a view is older than the one that is known. After a lease without
// a heartbeat it is not: it is of a worker whose sessions are counted from the beginning again.
func (r *Reconciler) isStale(worker *jobstate.Worker, view *dispatch.WorkerView) bool {
	last := &worker.View
	older := view.Session < last.Session || view.Session == last.Session && view.Seq < last.Seq
	return older && time.Since(worker.LastHeartbeat) < config.Seconds(r.state.Platform.Params.Workers.LeaseS)
}

// leaseExpiredUnreported reports whether the response to a poll shows a new leader, which does not know
// the worker's lease, that it expired while no heartbeat came: the session is a new one, or the
// tasks are gone that a predecessor had there. What such a worker is given it loses again.
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

// setZone moves the use of placements, counted in every zone so far, to the worker's zone.
func (r *Reconciler) setZone(worker *jobstate.Worker, zone string) {
	for placement := range worker.Placements {
		r.state.CountUse(placement, -1)
	}
	worker.View.Zone = zone
	for placement := range worker.Placements {
		r.state.CountUse(placement, 1)
	}
}

// recordHeartbeat notes when the report in the worker's view came, and when the cloud takes
// the worker's machine. The age of the report counts: without it tasks were placed on workers
// that had long been deleted.
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

// checkpointBeforeReclaim has tasks save their progress, and takes back those that did not start,
// if the cloud gave notice that it takes the worker's machine.
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
