package dispatch

import (
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// queuedTask is an entry in a worker's queue.
type queuedTask struct {
	QueueEntry
	grantRequested bool // and not yet replied to
	granted        bool
	grantToken     uint64 // that the grant was given for
	grantSession   uint64 // of the worker, likewise
	startSent      bool   // a start command may have left this process
	startSentSeq   uint64 // of the worker's newest report then
	startNotReported    bool   // a newer report does not show the task
}

// allocated reports whether the task counts as using the worker: its start was granted, or a start
// command is under way. Counted for good, a start that was lost would look as if it were about
// to run behind whatever took its room, and its leader would place it nowhere else.
func (q *queuedTask) allocated() bool { return q.granted || q.startSent && !q.startNotReported }

// reportedTask is a task that the worker reported.
type reportedTask struct {
	state string
	since time.Time
	entry *QueueEntry // nil until its leader sent it
}

// workerState is what is known of a worker, guarded by Dispatcher.mu.
type workerState struct {
	report       wire.Report // the newest, polled or not
	reportedAt   time.Time   // when report came
	polled       bool        // report responded to a poll or to commands
	heartbeatAt  time.Time   // when any heartbeat came, whatever was answered
	answeredAt   time.Time   // when a heartbeat last came and was answered here
	queue        []*queuedTask
	tasks        map[TaskRef]*reportedTask
	halts        map[TaskRef]float64 // grace periods in s
	clears       map[TaskRef]bool
	draining     bool
	pushInFlight bool // direct commands are under way
	pushPending  bool // push again when they return
	// unknownOutcome is the highest token of direct commands that may still arrive; 0: none.
	unknownOutcome uint64

	noRedirectUntil          time.Time // not redirected until then
	redirectedAt       time.Time
	redirectedWhileIsolated bool // keptUntil and redirectedAt are of a time when this controller was isolated

	newestHeartbeat   reportVersion // whatever was answered
	newestHeartbeatAt time.Time
	rejectedHeartbeat reportVersion // the last one that was not newer than the newest
}

func newWorkerState() *workerState {
	return &workerState{tasks: map[TaskRef]*reportedTask{}, halts: map[TaskRef]float64{}, clears: map[TaskRef]bool{}}
}

// reportVersion orders a worker's reports.
type reportVersion struct{ session, seq uint64 }

func versionOf(rep *wire.Report) reportVersion { return reportVersion{rep.Session, rep.Seq} }

func (v reportVersion) newer(than reportVersion) bool {
	return v.session > than.session || v.session == than.session && v.seq > than.seq
}

// idle reports whether no task is queued or runs.
func (w *workerState) idle() bool {
	if len(w.queue) > 0 {
		return false
	}
	for _, task := range w.tasks {
		if task.state != wire.TaskExited {
			return false
		}
	}
	return true
}

// unchanged reports whether a heartbeat tells nothing but that the worker was heard.
func (w *workerState) unchanged(rep *wire.Report, sameTasks bool) bool {
	old := &w.report
	return sameTasks && len(w.queue) == 0 &&
		old.Machine == rep.Machine && old.Endpoint == rep.Endpoint && old.Session == rep.Session && old.Token == rep.Token &&
		old.NoticeS == nil && rep.NoticeS == nil && old.Zone == rep.Zone && old.Type == rep.Type && old.Spot == rep.Spot
}

// setTasks replaces the reported tasks; a task whose state is as before keeps its age.
func (w *workerState) setTasks(rep *wire.Report, now time.Time) {
	tasks := make(map[TaskRef]*reportedTask, len(rep.Tasks))
	for _, reported := range rep.Tasks {
		ref := TaskRef{rep.Machine, reported.Task, reported.Attempt}
		task := w.tasks[ref]
		if task == nil {
			task = &reportedTask{}
		}
		if task.state != reported.State {
			task.state, task.since = reported.State, now
		}
		tasks[ref] = task
	}
	w.tasks = tasks
}

// reconcile drops what the newest report shows to be done: queued tasks that run, halts and
// clears that had their effect, and commands that can no longer arrive.
func (w *workerState) reconcile() {
	kept := w.queue[:0]
	for _, queued := range w.queue {
		if task := w.tasks[queued.TaskRef]; task != nil {
			task.entry = &queued.QueueEntry
			continue
		}
		if queued.startSent && (w.report.Session > queued.grantSession || w.report.Seq > queued.startSentSeq) {
			// The start command did not arrive, or not yet: it may be
			// repeated, but only under a new grant.
			queued.granted, queued.startNotReported = false, true
		}
		kept = append(kept, queued)
	}
	clear(w.queue[len(kept):])
	w.queue = kept
	for ref := range w.clears {
		if w.tasks[ref] == nil {
			delete(w.clears, ref)
		}
	}
	for ref := range w.halts {
		if task := w.tasks[ref]; task == nil || task.state == wire.TaskExited {
			delete(w.halts, ref)
		}
	}
	if w.report.Token > w.unknownOutcome {
		w.unknownOutcome = 0
	}
}

// dequeue removes a task from the queue and returns it, nil if it is not there.
func (w *workerState) dequeue(ref TaskRef) *queuedTask {
	for i, queued := range w.queue {
		if queued.TaskRef == ref {
			w.queue = slices.Delete(w.queue, i, i+1)
			return queued
		}
	}
	return nil
}

// updateQueued sets the leader of a queued task and reports whether it is queued.
func (w *workerState) updateQueued(entry *QueueEntry) bool {
	for _, queued := range w.queue {
		if queued.TaskRef == entry.TaskRef {
			queued.Leader = entry.Leader
			return true
		}
	}
	return false
}
