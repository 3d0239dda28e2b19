package dispatch

import (
	"math"
	"time"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	unknownRemainingS  = 3   // assumed remaining time of a task whose queue entry has not arrived from its leader
	minRemainingFetchS = 0.5 // least remaining time assumed for an image fetch, also when it takes longer than expected
	neverFitsWaitS     = 1e6 // wait published for a task that exceeds its worker's capacity
)

// capacityOf returns the worker's total resources, or false if its machine type is unknown.
func (d *Dispatcher) capacityOf(worker *workerState) (matching.Resources, bool) {
	machineType, ok := d.types.Type(worker.report.Type)
	return matching.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}, ok
}

// allocatedLocked lists the allocations on a worker: reported tasks that have not exited, and
// queued tasks whose start is granted or in flight. The result is valid until the next call.
func (d *Dispatcher) allocatedLocked(worker *workerState, total matching.Resources, now time.Time) []matching.Allocation {
	allocations := d.allocations[:0]
	for _, task := range worker.tasks {
		switch {
		case task.state == wire.TaskExited:
		case task.entry == nil:
			// The task's resources are not known yet: allocate the whole worker.
			allocations = append(allocations, matching.Allocation{Resources: total, RemainingS: unknownRemainingS})
		default:
			allocations = append(allocations, matching.Allocation{Resources: task.entry.Resources, RemainingS: task.remainingS(now)})
		}
	}
	for _, queued := range worker.queue {
		if queued.allocated() {
			allocations = append(allocations, matching.Allocation{Resources: queued.Resources, RemainingS: queued.FetchS + queued.RunS})
		}
	}
	d.allocations = allocations
	return allocations
}

// remainingS returns the expected time in seconds until a task with a queue entry exits.
func (t *reportedTask) remainingS(now time.Time) float64 {
	elapsedS := now.Sub(t.since).Seconds()
	if t.state == wire.TaskFetching {
		return t.entry.RunS + math.Max(minRemainingFetchS, t.entry.FetchS-elapsedS)
	}
	return matching.RemainingRun(t.entry.RunS, elapsedS)
}

// viewLocked returns the view of a worker that has reported at least once.
func (d *Dispatcher) viewLocked(worker *workerState) WorkerView {
	now := time.Now()
	report := &worker.report
	view := WorkerView{
		Name: report.Machine, Type: report.Type, Zone: report.Zone, Spot: report.Spot,
		Session: report.Session, Seq: report.Seq, Token: report.Token, Dispatcher: d.name, Endpoint: report.Endpoint,
		AgeS: now.Sub(worker.reportedAt).Seconds(), UnansweredS: d.unansweredLocked(report.Machine).Seconds(),
		NoticeS: report.NoticeS, Draining: worker.draining, Polled: worker.polled,
		Tasks: worker.taskViews(now),
	}
	total, known := d.capacityOf(worker)
	if !known {
		return view
	}
	view.Matrix = matching.NewWaitMatrix(total, d.allocatedLocked(worker, total, now), nil)
	view.setQueue(worker.queue)
	return view
}

func (w *workerState) taskViews(now time.Time) []TaskView {
	views := make([]TaskView, 0, len(w.report.Tasks))
	for _, reported := range w.report.Tasks {
		task := w.tasks[TaskRef{w.report.Machine, reported.Task, reported.Attempt}]
		views = append(views, TaskView{
			Task: reported, StateAgeS: now.Sub(task.since).Seconds(),
			ResourcesUnknown: task.entry == nil && task.state != wire.TaskExited,
		})
	}
	return views
}

// setQueue adds the queued tasks to the view and reserves their resources in the matrix.
func (v *WorkerView) setQueue(queue []*queuedTask) {
	for _, queued := range queue {
		if queued.allocated() {
			v.Queue = append(v.Queue, QueueView{TaskRef: queued.TaskRef, Unsent: !queued.startSent})
			continue
		}
		durationS := queued.FetchS + queued.RunS
		waitS := v.Matrix.Wait(queued.Resources, durationS)
		if math.IsInf(waitS, 1) {
			waitS = neverFitsWaitS
		} else {
			v.Matrix = v.Matrix.Reserve(queued.Resources, waitS, durationS)
		}
		v.Queue = append(v.Queue, QueueView{TaskRef: queued.TaskRef, WaitS: waitS, Unsent: !queued.startSent})
	}
}

// ChangedViews returns the views of the workers that changed since the last call, and the names of
// the workers removed since then.
func (d *Dispatcher) ChangedViews() (changed []WorkerView, removed []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.lastExpiry) > time.Minute {
		d.removeExpiredWorkersLocked()
	}
	for name := range d.changed {
		switch worker := d.workers[name]; {
		case worker == nil:
			removed = append(removed, name)
		case worker.report.Machine != "":
			changed = append(changed, d.viewLocked(worker))
		}
	}
	clear(d.changed)
	return changed, removed
}

// WorkerViews returns the views of all workers that reported within a lease.
func (d *Dispatcher) WorkerViews() []WorkerView {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeExpiredWorkersLocked()
	var out []WorkerView
	for _, worker := range d.workers {
		if d.recentlyReported(worker) {
			out = append(out, d.viewLocked(worker))
		}
	}
	return out
}
