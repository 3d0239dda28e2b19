package reconcile

import (
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/reachability"
)

// unstoppedReason is why a worker with a cancelled task that can't be stopped is deleted.
const unstoppedReason = "a cancelled task can't be stopped"

// UnresponsiveWorkers returns how many workers there are, and those without a heartbeat, or on
// which what was sent had no effect, for atLeast or longer.
func (r *Reconciler) UnresponsiveWorkers(atLeast time.Duration) (known int, unresponsive []reachability.UnresponsiveWorker) {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	now := time.Now()
	reach := r.newCommandReachability(now)
	for name, worker := range r.state.Workers {
		unseenFor := now.Sub(jobstate.Later(worker.LastHeartbeat, worker.KnownSince))
		outboundLost := !worker.UnresponsiveSince.IsZero() && reach.mostRespondedSince(worker.UnresponsiveSince)
		if outboundLost {
			unseenFor = max(unseenFor, now.Sub(worker.UnresponsiveSince))
		}
		if unseenFor >= atLeast {
			unresponsive = append(unresponsive, reachability.UnresponsiveWorker{
				Name: name, Endpoint: worker.View.Endpoint, UnheardFor: unseenFor, Busy: len(worker.Placements) > 0,
				OutboundLost: outboundLost, NotHeardSinceFailover: worker.LastHeartbeat.Before(worker.KnownSince),
			})
		}
	}
	return len(r.state.Workers), unresponsive
}

// commandReachability is which workers commands reach.
type commandReachability struct {
	unreached   int         // workers that are unresponsive
	respondedAt []time.Time // of the others that were sent something lately, in order
}

func (r *Reconciler) newCommandReachability(now time.Time) (reach commandReachability) {
	for _, worker := range r.state.Workers {
		if !worker.UnresponsiveSince.IsZero() {
			reach.unreached++
		} else if now.Sub(worker.RespondedAt) < r.responseTimeout() {
			reach.respondedAt = append(reach.respondedAt, worker.RespondedAt)
		}
	}
	slices.SortFunc(reach.respondedAt, time.Time.Compare)
	return reach
}

// mostRespondedSince reports whether no more workers are unresponsive than responded to something sent
// after a time, since which one is unresponsive. Else the way there is bad, and not that worker:
// what was sent before, and showed later, says nothing of that.
func (c *commandReachability) mostRespondedSince(since time.Time) bool {
	first, _ := slices.BinarySearchFunc(c.respondedAt, since, time.Time.Compare)
	return c.unreached <= len(c.respondedAt)-first
}

// RemoteWorkers returns the addresses of workers whose dispatcher is another controller, by name.
func (r *Reconciler) RemoteWorkers() map[string]string {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	endpoints := map[string]string{}
	for name, worker := range r.state.Workers {
		if worker.View.Endpoint != "" && worker.View.Dispatcher != r.state.Platform.Node {
			endpoints[name] = worker.View.Endpoint
		}
	}
	return endpoints
}

// StuckWorkers returns workers with a cancelled task that can't be stopped in time, by name,
// and why they are to be deleted: the task goes with its worker.
func (r *Reconciler) StuckWorkers() map[string]string {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	reasons := map[string]string{}
	for _, worker := range r.workersWithUnstopped(config.Seconds(r.state.Platform.Params.Workers.CancelS / 3)) {
		reasons[worker.Name] = unstoppedReason
	}
	return reasons
}

// UnstoppedWorkers returns the addresses of workers, by name, on which cancelled tasks may
// still run that were first halted longer ago than after, as far as this controller knows: its
// lease need not hold.
func (r *Reconciler) UnstoppedWorkers(after time.Duration) map[string]string {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	endpoints := map[string]string{}
	for _, worker := range r.workersWithUnstopped(after) {
		if worker.View.Endpoint != "" && !worker.Removed {
			endpoints[worker.Name] = worker.View.Endpoint
		}
	}
	return endpoints
}

// workersWithUnstopped lists the workers, some more than once, on which cancelled tasks may
// still run that were first halted longer ago than after.
func (r *Reconciler) workersWithUnstopped(after time.Duration) (workers []*jobstate.Worker) {
	now := time.Now()
	for _, job := range r.state.JobOrder {
		if !job.Cancelled {
			continue
		}
		for _, placements := range job.Placements {
			for _, placement := range placements {
				if placement.MayRun() && !placement.FirstHaltAt.IsZero() && now.Sub(placement.FirstHaltAt) > after {
					workers = append(workers, placement.Worker)
				}
			}
		}
	}
	return workers
}
