package dispatch

import (
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// queuedTask is an entry in a worker's queue.
type queuedTask struct {
	QueueEntry
	grantRequested   bool // a grant request has no reply yet
	granted          bool
	grantToken       uint64 // fencing token for which the start was granted
	grantSession     uint64 // session of the worker for which the start was granted
	startSent        bool   // a start command may have left this process
	startSentSeq     uint64 // sequence number of the worker's newest report when the start command was last sent
	startToken       uint64 // fencing token of the start command that was last sent
	startNotReported bool   // a report newer than the start command does not list the task
}

// allocated reports whether the task's resources count as used: its start is granted, or a start
// command is in flight. A lost start command does not count: the task would appear about to run
// although running tasks have taken its resources, and its leader would not place it elsewhere.
func (q *queuedTask) allocated() bool { return q.granted || q.startSent && !q.startNotReported }

// reportedTask is a task that the worker reported.
type reportedTask struct {
	state      string
	since      time.Time
	entry      *QueueEntry // nil until its leader has sent it
	startToken uint64      // highest fencing token of the start commands sent from here; 0 if none is known
}

// workerState is the state of one worker, guarded by Dispatcher.mu.
type workerState struct {
	report       wire.Report // the newest, polled or not
	reportedAt   time.Time   // time at which report arrived
	polled       bool        // report answered a poll or a push
	heartbeatAt  time.Time   // time of the last heartbeat, answered or not
	answeredAt   time.Time   // time of the last heartbeat that was answered
	queue        []*queuedTask
	tasks        map[TaskRef]*reportedTask
	halts        map[TaskRef]float64 // tasks to stop, with their grace periods in s
	forgets      map[TaskRef]uint64  // exited tasks to forget, with the highest token that a start command may carry
	draining     bool
	pushInFlight bool // a push was sent, and its result is not known yet
	pushPending  bool // another push follows after the one in flight

	noRedirectUntil         time.Time // the worker is not redirected before this time
	redirectedAt            time.Time // time of the last redirect; zero after the worker has returned from it
	redirectedWhileIsolated bool      // the last redirect was made because this controller was isolated

	newestHeartbeat   reportVersion // answered or not
	newestHeartbeatAt time.Time
	rejectedHeartbeat reportVersion // the last one that was not newer than newestHeartbeat
}

func newWorkerState() *workerState {
	return &workerState{tasks: map[TaskRef]*reportedTask{}, halts: map[TaskRef]float64{}, forgets: map[TaskRef]uint64{}}
}

// reportVersion orders the reports of a worker.
type reportVersion struct{ session, seq uint64 }

func versionOf(rep *wire.Report) reportVersion { return reportVersion{rep.Session, rep.Seq} }

func (v reportVersion) newer(than reportVersion) bool {
	return v.session > than.session || v.session == than.session && v.seq > than.seq
}

// idle reports whether no task is queued and all reported tasks have exited.
func (w *workerState) idle() bool { return len(w.queue) == 0 && w.allExited() }

// allExited reports whether all reported tasks have exited.
func (w *workerState) allExited() bool {
	for _, task := range w.tasks {
		if task.state != wire.TaskExited {
			return false
		}
	}
	return true
}

// countExited returns the number of reported tasks that have exited.
func (w *workerState) countExited() (exited int) {
	for _, task := range w.tasks {
		if task.state == wire.TaskExited {
			exited++
		}
	}
	return exited
}

// unchanged reports whether a heartbeat differs from the stored report only in its sequence number.
// It returns false while tasks are queued or if either report has a preemption notice.
func (w *workerState) unchanged(rep *wire.Report, sameTasks bool) bool {
	old := &w.report
	return sameTasks && len(w.queue) == 0 &&
		old.Machine == rep.Machine && old.Endpoint == rep.Endpoint && old.Session == rep.Session && old.Token == rep.Token &&
		old.NoticeS == nil && rep.NoticeS == nil && old.Zone == rep.Zone && old.Type == rep.Type && old.Spot == rep.Spot
}

// setTasks replaces the reported tasks. The since time of a task whose state is unchanged is retained.
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

// reconcile removes what the newest report shows to be completed: queued tasks that are now
// reported, and halts and forgets that took effect.
func (w *workerState) reconcile() {
	kept := w.queue[:0]
	for _, queued := range w.queue {
		if task := w.tasks[queued.TaskRef]; task != nil {
			task.entry, task.startToken = &queued.QueueEntry, queued.startToken
			continue
		}
		if queued.startSent && (w.report.Session > queued.grantSession || w.report.Seq > queued.startSentSeq) {
			// The start command has not arrived. It may be sent again, but only under a new grant.
			queued.granted, queued.startNotReported = false, true
		}
		kept = append(kept, queued)
	}
	clear(w.queue[len(kept):])
	w.queue = kept
	for ref := range w.forgets {
		if w.tasks[ref] == nil {
			delete(w.forgets, ref)
		}
	}
	for ref := range w.halts {
		if task := w.tasks[ref]; task == nil || task.state == wire.TaskExited {
			delete(w.halts, ref)
		}
	}
}

// dequeue removes a task from the queue and returns it, or nil if it is not queued.
func (w *workerState) dequeue(ref TaskRef) *queuedTask {
	for i, queued := range w.queue {
		if queued.TaskRef == ref {
			w.queue = slices.Delete(w.queue, i, i+1)
			return queued
		}
	}
	return nil
}

// updateQueued updates the leader of a queued task. It returns false if the task is not queued.
func (w *workerState) updateQueued(entry *QueueEntry) bool {
	for _, queued := range w.queue {
		if queued.TaskRef == entry.TaskRef {
			queued.Leader = entry.Leader
			return true
		}
	}
	return false
}
