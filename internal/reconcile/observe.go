package reconcile

import (
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

// learning is the weight of a newly finished task in its class's ratio.
const learning = 0.08

// tellAgain is how long a holder that was told what a listed task takes may not know it.
const tellAgain = 2 * time.Second

// grantedLong is how long a granted start may neither show nor go before a newer token
// tells which it was.
const grantedLong = 10 * time.Second

// ObserveWorker takes a holder's view of a machine and settles what it shows.
func (r *Reconciler) ObserveWorker(v dispatch.WorkerView) {
	if v.Same {
		if !r.state.Mu.TryLock() {
			r.deferView(v)
			return
		}
	} else {
		r.state.Mu.Lock()
	}
	defer r.state.Mu.Unlock()
	r.ObserveDeferred()
	r.observe(v)
}

// deferredView is a view that came while this owner was busy.
type deferredView struct {
	view dispatch.WorkerView
	at   time.Time
}

// keep has a view observed later that tells nothing but that its machine was heard: the
// worker's answer must not wait for a pass.
func (r *Reconciler) deferView(v dispatch.WorkerView) {
	r.deferredMu.Lock()
	defer r.deferredMu.Unlock()
	r.deferred = append(r.deferred, deferredView{v, time.Now()})
}

// observeKept takes the views that were kept, with their ages as of now. A later view of
// the same machine may have come before one of them, which is then a late copy.
func (r *Reconciler) ObserveDeferred() {
	r.deferredMu.Lock()
	kept := r.deferred
	r.deferred = nil
	r.deferredMu.Unlock()
	for _, k := range kept {
		since := time.Since(k.at).Seconds()
		k.view.AgeS += since
		k.view.UnansweredS += since
		r.observe(k.view)
	}
}

func (r *Reconciler) observe(v dispatch.WorkerView) {
	if len(r.state.Loaded) == 0 || r.deleted.Contains(v.Name) {
		return
	}
	worker := r.state.WorkerOf(v.Name)
	old := &worker.View
	if worker.Gone {
		return
	}
	// A view takes time to come, which makes the same renewal look a little later.
	if at := time.Now().Add(-config.Seconds(v.UnansweredS)); at.Sub(worker.RenewedAt) > config.Seconds(sameRenewal*r.state.Platform.Params.Workers.ReportS) {
		worker.RenewedAt, worker.RenewedSession = at, v.Session
	}
	if (v.Session < old.Session || v.Session == old.Session && v.Seq < old.Seq) && time.Since(worker.LastHeartbeat) < config.Seconds(r.state.Platform.Params.Workers.LeaseS) {
		return // a late copy; after a lease without any other, a worker that counts anew
	}
	if v.Session == old.Session && v.Seq == old.Seq && v.Holder == old.Holder {
		// The same report with a changed queue: settling it again would only
		// repeat the directions that changed the queue.
		worker.View, worker.Matrix = v, v.Matrix
		r.state.ReserveUnreported(worker)
		return
	}
	if old.Zone == "" && v.Zone != "" {
		// Places counted in every zone move to the right one.
		for placement := range worker.Placements {
			r.state.CountUse(placement, -1)
		}
		worker.View.Zone = v.Zone
		for placement := range worker.Placements {
			r.state.CountUse(placement, 1)
		}
	}
	now := time.Now()
	worker.View, worker.ViewAt, worker.Matrix = v, now, v.Matrix
	// What a holder heard some time ago says nothing of the time since: places
	// were made on machines that were long gone.
	worker.LastHeartbeat = now.Add(-config.Seconds(v.AgeS))
	if !v.Asked {
		worker.LastReport = worker.LastHeartbeat
	}
	worker.NoticeAt = time.Time{}
	if v.NoticeS != nil {
		worker.NoticeAt = now.Add(time.Duration(*v.NoticeS * float64(time.Second)))
	}
	if r.state.Member.LeaseRemaining() <= 0 {
		// There may be another owner by now, whose tasks would look like
		// strays here. If there is none, the next report settles all this.
		return
	}
	r.viewCount++
	for i := range v.Tasks {
		t := &v.Tasks[i]
		r.observeTask(worker, dispatch.TaskRef{Machine: v.Name, Task: t.Task.Task, Attempt: t.Attempt}, t)
	}
	for placement := range worker.Placements {
		// What a predecessor had queued, or was seen to run, is settled by the worker's
		// word alone: its holder may go on asking that predecessor for ever, or have
		// it queued still from before it ran, as another holder heard, and was lost.
		switch {
		case placement.SeenInView == r.viewCount:
		case placement.State == jobstate.PlacementUnconfirmed || placement.State == jobstate.PlacementReported || !jobstate.Queued(v.Queue, placement.Ref):
			r.observeAbsent(worker, placement)
		case placement.State == jobstate.PlacementGranted:
			r.checkGranted(worker, placement, now)
		}
	}
	for i := range v.Queue {
		r.checkQueued(worker, v.Queue[i].TaskRef)
	}
	r.checkResponsive(worker, now)
	r.drainNotice(worker)
	r.state.ReserveUnreported(worker)
	jobstate.Notify(r.state.PlanSignal)
}

// unsent reports whether a holder has a place queued and has sent no start command for it.
func unsent(queue []dispatch.QueueView, ref dispatch.TaskRef) bool {
	for i := range queue {
		if queue[i].Attempt == ref.Attempt && queue[i].TaskRef == ref {
			return queue[i].Unsent
		}
	}
	return false
}

// shown handles a task that the worker reported.
func (r *Reconciler) observeTask(worker *jobstate.Worker, ref dispatch.TaskRef, t *dispatch.TaskView) {
	uid, n, err := wire.ParseTask(ref.Task)
	if err != nil {
		return
	}
	job := r.state.Jobs[uid]
	if job == nil {
		if r.surelyEnded(uid) {
			r.unknownTask(worker, ref, t)
		}
		return
	}
	var placement *jobstate.Placement
	for _, x := range job.Placements[n] {
		if x.Worker == worker && x.Attempt == ref.Attempt {
			placement = x
		}
	}
	if placement == nil {
		r.unknownTask(worker, ref, t)
		return
	}
	placement.SeenInView = r.viewCount
	if placement.Exited {
		return // until its completion is recorded
	}
	if t.State == wire.TaskExited {
		r.taskExited(worker, placement, t)
		return
	}
	if placement.State != jobstate.PlacementReported {
		if !placement.MayRun() {
			r.log.Error("a task runs without a grant", "task", ref.Task, "machine", worker.Name, "attempt", ref.Attempt, "state", placement.State,
				"told", placement.SentTo, "age", time.Since(placement.CreatedAt), "holder", worker.View.Holder, "token", worker.View.Token, "reported", t.State, "for", t.ForS, "halted", placement.LastHaltAt)
		}
		unsettled := placement.State == jobstate.PlacementUnconfirmed
		worker.CommandObserved = worker.CommandObserved || placement.State == jobstate.PlacementGranted
		placement.StartObserved = !unsettled
		r.state.CountUse(placement, -1)
		placement.State, placement.Session = jobstate.PlacementReported, worker.View.Session
		r.state.CountUse(placement, 1)
		if unsettled || placement.SentTo != worker.View.Holder {
			r.state.AssignPlacement(placement, true)
		}
	} else if placement.SentTo != worker.View.Holder || t.Unknown && time.Since(placement.SentAt) > tellAgain {
		// What it was told may have come when it had an older report, in which the task was
		// not listed: it took the machine for full as long as the task ran, and what was
		// queued there never started.
		r.state.AssignPlacement(placement, true)
	}
	placement.Session = max(placement.Session, worker.View.Session)
	if t.State != wire.TaskFetching && job.Spec.Image != "" {
		r.state.CacheImage(job, worker)
	}
	if (t.State == wire.TaskRunning || t.State == wire.TaskSaving) && placement.RunningSince.IsZero() {
		placement.RunningSince = time.Now().Add(-time.Duration(t.ForS * float64(time.Second)))
		job.Running++
		job.Started++
		job.RecordBegin(placement.RunningSince)
		job.Constraints.RecordStart(placement.RunningSince)
	}
	if job.Cancelled || placement.Chunk.IsDone(placement.Task) {
		r.state.HaltTask(placement, 0)
	}
}

// checkQueued takes an entry that has no place in the books out of its machine's
// queue. Nobody would ever grant it, but it would keep its room.
func (r *Reconciler) checkQueued(worker *jobstate.Worker, ref dispatch.TaskRef) {
	for placement := range worker.Placements {
		if placement.Attempt == ref.Attempt && placement.Ref == ref {
			return
		}
	}
	uid, _, err := wire.ParseTask(ref.Task)
	if err != nil || r.state.Jobs[uid] == nil && !r.surelyEnded(uid) {
		return
	}
	d := r.state.InstructionsFor(worker.View.Holder)
	d.Halt = append(d.Halt, dispatch.Halt{TaskRef: ref})
	jobstate.Notify(r.state.SendSignal)
}

// ended reports whether a job that is not among the living was, surely, this
// owner's to know: it ended, or was never accepted.
func (r *Reconciler) surelyEnded(uid string) bool {
	if len(r.state.Loaded) < r.state.Operator.Shards {
		return false // another owner's, perhaps
	}
	_, over := r.state.Final[uid]
	return over || time.Since(r.state.LoadedAt) >= 3*time.Second // else just accepted, perhaps
}

// stray handles a task that has no place in the books: a leftover.
func (r *Reconciler) unknownTask(worker *jobstate.Worker, ref dispatch.TaskRef, t *dispatch.TaskView) {
	d := r.state.InstructionsFor(worker.View.Holder)
	if t.State == wire.TaskExited {
		// Its place is gone, and with it what its starts may carry: a clear whose
		// message was lost is repeated here, and a start that was held up came later.
		d.Clear = append(d.Clear, dispatch.Clear{TaskRef: ref, Token: max(worker.MaxToken, r.state.PredecessorToken)})
	} else {
		d.Halt = append(d.Halt, dispatch.Halt{TaskRef: ref})
	}
	jobstate.Notify(r.state.SendSignal)
}

// exited handles the end of an attempt.
func (o *Reconciler) taskExited(worker *jobstate.Worker, placement *jobstate.Placement, t *dispatch.TaskView) {
	job := placement.Job
	placement.ExitCause = t.Cause
	if t.Cause == wire.CauseDone {
		o.state.Stats.Done++
		worker.RecentDone = worker.RecentDone*0.98 + 1
		clear(worker.Failures)
		job.Faulty, job.FailedOn = false, nil
		if worker.View.Spot {
			o.state.SpotDone = o.state.SpotDone*0.995 + 1
		}
		o.state.CacheImage(job, worker)
		if placement.StartObserved && !placement.RunningSince.IsZero() && !job.Cancelled {
			ran := time.Since(placement.RunningSince).Seconds()
			job.RunTimes.Add(ran)
			job.Class.RunTimes.Add(ran)
			if job.Spec.Estimate > 0 {
				r := min(4, max(0.25, ran/job.Spec.Estimate))
				job.Class.EstimateRatio += learning * (r - job.Class.EstimateRatio)
			}
		}
		if !job.Spec.Service() && !placement.Chunk.IsDone(placement.Task) {
			placement.Chunk.SetDone(placement.Task)
			job.Done++
			job.RecordBegin(time.Now())
			o.state.FinishTask(placement)
			return
		}
	}
	if how := job.FinalOutcome(placement, t); how != 0 {
		o.state.FailTask(placement, how)
		return
	}
	switch t.Cause {
	case wire.CauseError:
		o.state.Stats.Errors++
		o.recordFailure(job, worker)
		if job.Errors > 3+job.Done {
			job.NotBefore = time.Now().Add(min(30*time.Second, time.Second<<min(job.Errors-3, 5)))
		}
	case wire.CauseNoRoom, wire.CauseBusy:
		job.Avoid[worker.Index] = time.Now().Add(2 * time.Second)
	case wire.CauseUnknown:
		job.Errors++
		job.NotBefore = time.Now().Add(2 * time.Second)
	}
	o.state.ClearTask(placement)
}

// granted handles a place whose start was granted and does not show, while its machine's
// queue still has it. One that surely came to nothing waits for its turn: it may look
// elsewhere, like all that waits. One that is not sure for long is asked about by a newer
// token: its start may be lost, and the room taken by what another holder started. Both
// stood for ever behind tasks that ran for long, beside idle machines.
//
// An attempt is started in one session of its worker only. It may have run, and ended, in a
// session of which no report came; a report of that session that comes late, to the next
// leader too, would be taken for what became of the attempt in the session after it.
func (r *Reconciler) checkGranted(worker *jobstate.Worker, placement *jobstate.Placement, now time.Time) {
	switch {
	case worker.View.Session > placement.Session:
		r.state.WithdrawPlacement(placement)
	case off(worker, placement):
		r.state.CountUse(placement, -1)
		placement.State, placement.GrantedAt = jobstate.PlacementRecorded, time.Time{}
		r.state.CountUse(placement, 1)
	case now.Sub(placement.GrantedAt) > grantedLong && worker.View.Holder != "":
		d := r.state.InstructionsFor(worker.View.Holder)
		d.RaiseTokenAbove = max(d.RaiseTokenAbove, placement.MaxToken)
		jobstate.Notify(r.state.SendSignal)
	}
}

// off reports whether a place that the worker's report does not show is surely off that
// machine: the report is newer than any start command for this attempt can be.
func off(worker *jobstate.Worker, placement *jobstate.Placement) bool {
	return worker.View.Token > placement.MaxToken || placement.State != jobstate.PlacementUnconfirmed && worker.View.Session > placement.Session
}

// absent handles a place that the worker's report does not show.
func (r *Reconciler) observeAbsent(worker *jobstate.Worker, placement *jobstate.Placement) {
	switch {
	case placement.Exited: // goes when its completion is recorded
	case !placement.MayRun():
		if placement.State == jobstate.PlacementRecorded && (placement.SentTo != worker.View.Holder || time.Since(placement.SentAt) > 2*time.Second) {
			r.state.AssignPlacement(placement, false)
		}
	case off(worker, placement):
		if placement.State == jobstate.PlacementReported {
			r.countLost(placement)
		}
		r.state.EndPlacement(placement)
	case placement.State == jobstate.PlacementGranted && !placement.Job.Cancelled && placement.LastHaltAt.IsZero():
		if placement.SentTo != worker.View.Holder || time.Since(placement.SentAt) > 2*time.Second {
			r.state.AssignPlacement(placement, false)
		}
	default:
		// Perhaps a late command: a newer token settles it. Only what is to stop is halted:
		// the report may be older than the start, and a halt would end a task that a
		// predecessor started after it.
		d := r.state.InstructionsFor(worker.View.Holder)
		d.RaiseTokenAbove = max(d.RaiseTokenAbove, placement.MaxToken)
		if (placement.Job.Cancelled || !placement.LastHaltAt.IsZero()) && time.Since(placement.LastHaltAt) > time.Second {
			placement.LastHaltAt = time.Now()
			d.Halt = append(d.Halt, dispatch.Halt{TaskRef: placement.Ref})
		}
		jobstate.Notify(r.state.SendSignal)
	}
}

func (r *Reconciler) countLost(placement *jobstate.Placement) {
	r.state.Stats.Lost++
	placement.Worker.RecentLost = placement.Worker.RecentLost*0.98 + 1
	if placement.Worker.View.Spot {
		r.state.SpotLost = r.state.SpotLost*0.995 + 1
	}
}

// drainNotice saves what can be saved before the cloud takes a machine.
func (r *Reconciler) drainNotice(worker *jobstate.Worker) {
	if worker.NoticeAt.IsZero() {
		return
	}
	left := time.Until(worker.NoticeAt).Seconds()
	for placement := range worker.Placements {
		if placement.Exited {
			continue
		}
		if !placement.MayRun() {
			r.state.WithdrawPlacement(placement)
			continue
		}
		s := placement.Job.Spec
		if s.MarkS > 0 && !placement.RunningSince.IsZero() && placement.HaltedAt.IsZero() && left < s.SaveS+2*r.state.Platform.Params.Workers.ReportS+1 {
			r.state.HaltTask(placement, s.SaveS+1)
		}
	}
}

var Seconds = config.Seconds
