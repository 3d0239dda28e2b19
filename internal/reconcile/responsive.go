package reconcile

import (
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobstate"
)

const (
	faultyOn    = 3 // machines on which a job must have failed, and none done, to be at fault itself
	deafReports = 2 // reports in a row that show that nothing sent has had an effect
)

// failed notes that a task of the job ended with an error on the machine. A job that
// was submitted with a mistake fails wherever it is tried: it blames no machine, and
// only a few of its tasks are tried at a time, until one is done. Before this, each such
// job put every machine that it touched back for all others, and had sound ones returned.
func (r *Reconciler) recordFailure(job *jobstate.Job, worker *jobstate.Worker) {
	job.Errors++
	job.Avoid[worker.Index] = time.Now().Add(time.Minute)
	if job.Faulty {
		return
	}
	worker.Failures[job.Spec.UID]++
	if job.Done > 0 {
		return
	}
	if job.FailedOn == nil {
		job.FailedOn = map[int]bool{}
	}
	job.FailedOn[worker.Index] = true
	if len(job.FailedOn) < faultyOn {
		return
	}
	job.Faulty, job.FailedOn = true, nil
	for _, x := range r.state.Workers {
		delete(x.Failures, job.Spec.UID)
	}
	r.log.Info("a job fails wherever it is tried", "job", job.Spec.UID, "class", job.Spec.Class, "errors", job.Errors)
}

// heeds looks whether what is sent to a machine comes through, by what its newest
// report shows: a machine whose reports arrive, and which no answer and no command
// reaches, looks idle, and would take one task after the other for nothing until its
// lease ends, and again. It gets no work until it answers a request, or shows a
// start. Nothing on it is settled by this.
func (r *Reconciler) checkResponsive(worker *jobstate.Worker, now time.Time) {
	heeded := worker.CommandObserved || worker.View.Asked
	worker.CommandObserved = false
	if heeded {
		r.markResponsive(worker)
		return
	}
	wait := r.responseTimeout()
	var since time.Time
	for placement := range worker.Placements {
		if placement.SeenInView == r.viewCount {
			continue
		}
		var sent time.Time
		switch {
		case placement.State == jobstate.PlacementGranted && unsent(worker.View.Queue, placement.Ref):
			// The grant has not reached the holder, which says nothing of the machine: over a
			// slow link between controllers, machines that worked were returned as deaf.
			continue
		case placement.State == jobstate.PlacementGranted:
			sent = placement.GrantedAt
		case placement.State == jobstate.PlacementUnconfirmed && worker.View.Token <= placement.MaxToken:
			sent = placement.CreatedAt
		default:
			continue
		}
		if now.Sub(sent) > wait && (since.IsZero() || sent.Before(since)) {
			since = sent
		}
	}
	if since.IsZero() {
		return
	}
	if worker.UnresponsiveReports++; worker.UnresponsiveReports >= deafReports && worker.UnresponsiveSince.IsZero() {
		worker.UnresponsiveSince = now.Add(-wait)
		worker.RecentLost++
		r.log.Info("a machine reports, and nothing sent to it has an effect", "machine", worker.Name, "holder", worker.View.Holder, "for_s", now.Sub(since).Seconds())
	}
}

// hears notes that something that was sent to the machine came through.
func (r *Reconciler) markResponsive(worker *jobstate.Worker) {
	if !worker.UnresponsiveSince.IsZero() {
		r.log.Info("what is sent to the machine has an effect again", "machine", worker.Name, "after_s", time.Since(worker.UnresponsiveSince).Seconds())
	}
	worker.UnresponsiveSince, worker.UnresponsiveReports, worker.RespondedAt = time.Time{}, 0, time.Now()
}

// heedWait is the time after which a report shows what was sent.
func (r *Reconciler) responseTimeout() time.Duration {
	return config.Seconds(2 + 1.5*r.state.Platform.Params.Workers.ReportS)
}

// WorkerAnswered notes that a machine answered a request, by whichever controller.
func (r *Reconciler) WorkerAnswered(name string) {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	if worker := r.state.Workers[name]; worker != nil {
		r.markResponsive(worker)
	}
}
