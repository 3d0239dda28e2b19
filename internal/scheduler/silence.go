package scheduler

import (
	"time"

	"github.com/wallrack/wallrack/internal/reachability"
)

// WorkerGone settles every place on a machine that the cloud has deleted.
func (o *Scheduler) WorkerGone(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.returned.Add(name)
	m := o.machines[name]
	if m == nil {
		return
	}
	m.Gone = true
	o.settleLost(m, time.Now())
	// The name never comes back; the index stays taken.
	o.byIndex[m.Index] = nil
	delete(o.machines, name)
}

// LeaseAttestedExpired settles what was on a machine when all controllers vouched that
// none has answered it for a full lease: its worker has killed every task.
func (o *Scheduler) LeaseAttestedExpired(name string, asked time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if m := o.machines[name]; m != nil && m.ViewAt.Before(asked) {
		o.settleLost(m, asked)
	}
}

func (o *Scheduler) settleLost(m *Worker, before time.Time) {
	for p := range m.Placements {
		if p.CreatedAt.After(before) {
			continue
		}
		if p.State == PlacementReported || p.State == PlacementGranted {
			o.lose(p)
		}
		if !p.Exited {
			o.detach(p)
		}
	}
}

// maxGone is how many returned machines are remembered.
const maxGone = 4096

// UnresponsiveWorkers returns how many machines there are, and those that were not heard for
// longer than from, or on which what was sent had no effect for so long.
func (o *Scheduler) UnresponsiveWorkers(from time.Duration) (known int, silent []reachability.UnresponsiveWorker) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	unreached, reached := 0, 0
	for _, m := range o.machines {
		if !m.UnresponsiveSince.IsZero() {
			unreached++
		} else if now.Sub(m.RespondedAt) < o.heedWait() {
			reached++
		}
	}
	for name, m := range o.machines {
		// If nothing reaches most of those that were sent something, the way there is
		// bad, and not they.
		s, deaf := now.Sub(later(m.LastHeartbeat, m.KnownSince)), !m.UnresponsiveSince.IsZero() && unreached <= reached
		if deaf {
			s = max(s, now.Sub(m.UnresponsiveSince))
		}
		if s >= from {
			silent = append(silent, reachability.UnresponsiveWorker{Name: name, Endpoint: m.View.Endpoint, SilentFor: s, Busy: len(m.Placements) > 0, OutboundLost: deaf, UnheardSinceFailover: m.LastHeartbeat.Before(m.KnownSince)})
		}
	}
	return len(o.machines), silent
}

// RemoteWorkers returns the addresses of machines that another controller heard last.
func (o *Scheduler) RemoteWorkers() map[string]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]string{}
	for name, m := range o.machines {
		if m.View.Endpoint != "" && m.View.Holder != o.cfg.Node {
			out[name] = m.View.Endpoint
		}
	}
	return out
}

// StuckWorkers returns machines with a cancelled task that can't be stopped in time: the
// task goes with its machine.
func (o *Scheduler) StuckWorkers() map[string]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]string{}
	for _, m := range o.goingOn(seconds(o.cfg.Params.Workers.CancelS / 3)) {
		out[m.Name] = "a cancelled task can't be stopped"
	}
	return out
}

// goingOn lists the machines, some more than once, on which cancelled tasks may be that
// were first told to stop longer ago than this.
func (o *Scheduler) goingOn(after time.Duration) (ms []*Worker) {
	now := time.Now()
	for _, j := range o.order {
		if !j.Cancelled {
			continue
		}
		for _, ps := range j.Placements {
			for _, p := range ps {
				if p.MayRun() && !p.HaltedAt.IsZero() && now.Sub(p.HaltedAt) > after {
					ms = append(ms, p.Worker)
				}
			}
		}
	}
	return ms
}
