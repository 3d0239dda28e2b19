package reconcile

import (
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/reachability"
)

// WorkerGone settles every place on a machine that the cloud has deleted.
func (r *Reconciler) WorkerGone(name string) {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	r.deleted.ContainsOrAdd(name, struct{}{})
	worker := r.state.Workers[name]
	if worker == nil {
		return
	}
	worker.Gone = true
	r.settleLost(worker, time.Now())
	// The name never comes back; the index stays taken.
	r.state.WorkersByIndex[worker.Index] = nil
	delete(r.state.Workers, name)
}

// LeaseAttestedExpired settles what was on a machine when all controllers vouched that
// none has answered it for a full lease: its worker has killed every task.
func (r *Reconciler) LeaseAttestedExpired(name string, asked time.Time) {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	if worker := r.state.Workers[name]; worker != nil && worker.ViewAt.Before(asked) {
		r.settleLost(worker, asked)
	}
}

func (r *Reconciler) settleLost(worker *jobstate.Worker, before time.Time) {
	for placement := range worker.Placements {
		if placement.CreatedAt.After(before) {
			continue
		}
		if placement.State == jobstate.PlacementReported || placement.State == jobstate.PlacementGranted {
			r.countLost(placement)
		}
		if !placement.Exited {
			r.state.EndPlacement(placement)
		}
	}
}

// maxGone is how many returned machines are remembered.
const maxGone = 4096

// UnresponsiveWorkers returns how many machines there are, and those that were not heard for
// longer than from, or on which what was sent had no effect for so long.
func (r *Reconciler) UnresponsiveWorkers(from time.Duration) (known int, silent []reachability.UnresponsiveWorker) {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	now := time.Now()
	unreached, reached := 0, 0
	for _, worker := range r.state.Workers {
		if !worker.UnresponsiveSince.IsZero() {
			unreached++
		} else if now.Sub(worker.RespondedAt) < r.responseTimeout() {
			reached++
		}
	}
	for name, worker := range r.state.Workers {
		// If nothing reaches most of those that were sent something, the way there is
		// bad, and not they.
		s, deaf := now.Sub(jobstate.Later(worker.LastHeartbeat, worker.KnownSince)), !worker.UnresponsiveSince.IsZero() && unreached <= reached
		if deaf {
			s = max(s, now.Sub(worker.UnresponsiveSince))
		}
		if s >= from {
			silent = append(silent, reachability.UnresponsiveWorker{Name: name, Endpoint: worker.View.Endpoint, SilentFor: s, Busy: len(worker.Placements) > 0, OutboundLost: deaf, UnheardSinceFailover: worker.LastHeartbeat.Before(worker.KnownSince)})
		}
	}
	return len(r.state.Workers), silent
}

// RemoteWorkers returns the addresses of machines that another controller heard last.
func (r *Reconciler) RemoteWorkers() map[string]string {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	out := map[string]string{}
	for name, worker := range r.state.Workers {
		if worker.View.Endpoint != "" && worker.View.Holder != r.state.Platform.Node {
			out[name] = worker.View.Endpoint
		}
	}
	return out
}

// StuckWorkers returns machines with a cancelled task that can't be stopped in time: the
// task goes with its machine.
func (r *Reconciler) StuckWorkers() map[string]string {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	out := map[string]string{}
	for _, worker := range r.workersWithUnstopped(config.Seconds(r.state.Platform.Params.Workers.CancelS / 3)) {
		out[worker.Name] = "a cancelled task can't be stopped"
	}
	return out
}

// goingOn lists the machines, some more than once, on which cancelled tasks may be that
// were first told to stop longer ago than this.
func (r *Reconciler) workersWithUnstopped(after time.Duration) (ms []*jobstate.Worker) {
	now := time.Now()
	for _, job := range r.state.JobOrder {
		if !job.Cancelled {
			continue
		}
		for _, ps := range job.Placements {
			for _, placement := range ps {
				if placement.MayRun() && !placement.HaltedAt.IsZero() && now.Sub(placement.HaltedAt) > after {
					ms = append(ms, placement.Worker)
				}
			}
		}
	}
	return ms
}

// UnstoppedWorkers names the machines, with their addresses, on which cancelled tasks still
// may be that were told to stop so long ago, as far as this owner remembers: its
// lease need not hold.
func (r *Reconciler) UnstoppedWorkers(after time.Duration) map[string]string {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	out := map[string]string{}
	for _, worker := range r.workersWithUnstopped(after) {
		if worker.View.Endpoint != "" && !worker.Gone {
			out[worker.Name] = worker.View.Endpoint
		}
	}
	return out
}
