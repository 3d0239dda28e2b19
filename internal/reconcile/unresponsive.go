package reconcile

import (
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/reachability"
)

// deletionReason is the reason for the deletion of a worker with a cancelled task that cannot
// be stopped.
const deletionReason = "a cancelled task can't be stopped"

// UnresponsiveWorkers returns the number of known workers, and the workers that have sent no
// heartbeat, or on which commands have had no effect, for at least atLeast.
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

// commandReachability summarizes which workers are reached by commands.
type commandReachability struct {
	unresponsive int         // number of unresponsive workers
	respondedAt  []time.Time // RespondedAt of the responsive workers that responded lately, ascending
}

func (r *Reconciler) newCommandReachability(now time.Time) (reach commandReachability) {
	for _, worker := range r.state.Workers {
		if !worker.UnresponsiveSince.IsZero() {
			reach.unresponsive++
		} else if now.Sub(worker.RespondedAt) < r.responseTimeout() {
			reach.respondedAt = append(reach.respondedAt, worker.RespondedAt)
		}
	}
	slices.SortFunc(reach.respondedAt, time.Time.Compare)
	return reach
}

// mostRespondedSince reports whether the number of workers that responded to commands sent after
// the given time, when a worker became unresponsive, is at least the number of unresponsive
// workers. If it is not, the network is at fault and not that worker. Responses to earlier
// commands prove nothing about the network since then, even if they were observed later.
func (c *commandReachability) mostRespondedSince(since time.Time) bool {
	first, _ := slices.BinarySearchFunc(c.respondedAt, since, time.Time.Compare)
	return c.unresponsive <= len(c.respondedAt)-first
}

// RemoteWorkers returns the addresses, by name, of the workers whose dispatcher is another
// controller.
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

// StuckWorkers returns the workers on which a task of a cancelled job may still be running although
// its first halt was sent more than a third of Workers.CancelS ago, as a map from the worker's name
// to the reason for deleting it. Deleting the worker ends the task.
func (r *Reconciler) StuckWorkers() map[string]string {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	reasons := map[string]string{}
	for _, worker := range r.workersWithUnstopped(config.Seconds(r.state.Platform.Params.Workers.CancelS / 3)) {
		reasons[worker.Name] = deletionReason
	}
	return reasons
}

// UnstoppedWorkers returns the addresses, by name, of the workers on which a cancelled task may
// still be running although its first halt was sent more than after ago. The result may be out of
// date, because this controller's lease is not checked.
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

// workersWithUnstopped returns the workers, possibly repeated, on which a cancelled task may
// still be running although its first halt was sent more than after ago.
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
