package scheduler

import (
	"time"

	"github.com/wallrack/wallrack/internal/reachability"
)

// Gone settles every place on a machine that the cloud has deleted.
func (o *Owner) Gone(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.returned.Add(name)
	m := o.machines[name]
	if m == nil {
		return
	}
	m.gone = true
	o.settleLost(m, time.Now())
	// The name never comes back; the index stays taken.
	o.byIndex[m.index] = nil
	delete(o.machines, name)
}

// Vouched settles what was on a machine when all controllers vouched that
// none has answered it for a full lease: its worker has killed every task.
func (o *Owner) Vouched(name string, asked time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if m := o.machines[name]; m != nil && m.at.Before(asked) {
		o.settleLost(m, asked)
	}
}

func (o *Owner) settleLost(m *mach, before time.Time) {
	for p := range m.places {
		if p.made.After(before) {
			continue
		}
		if p.state == placeSeen || p.state == placeGranted {
			o.lose(p)
		}
		if !p.exited {
			o.detach(p)
		}
	}
}

// maxGone is how many returned machines are remembered.
const maxGone = 4096

// Silent returns how many machines there are, and those that were not heard for
// longer than from, or on which what was sent had no effect for so long.
func (o *Owner) Silent(from time.Duration) (known int, silent []reachability.Machine) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	unreached, reached := 0, 0
	for _, m := range o.machines {
		if !m.deaf.IsZero() {
			unreached++
		} else if now.Sub(m.heededAt) < o.heedWait() {
			reached++
		}
	}
	for name, m := range o.machines {
		// If nothing reaches most of those that were sent something, the way there is
		// bad, and not they.
		s, deaf := now.Sub(later(m.heard, m.since)), !m.deaf.IsZero() && unreached <= reached
		if deaf {
			s = max(s, now.Sub(m.deaf))
		}
		if s >= from {
			silent = append(silent, reachability.Machine{Name: name, Endpoint: m.view.Endpoint, Silent: s, Busy: len(m.places) > 0, Deaf: deaf, Unheard: m.heard.Before(m.since)})
		}
	}
	return len(o.machines), silent
}

// HeldElsewhere returns the addresses of machines that another controller heard last.
func (o *Owner) HeldElsewhere() map[string]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]string{}
	for name, m := range o.machines {
		if m.view.Endpoint != "" && m.view.Holder != o.cfg.Node {
			out[name] = m.view.Endpoint
		}
	}
	return out
}

// Stuck returns machines with a cancelled task that can't be stopped in time: the
// task goes with its machine.
func (o *Owner) Stuck() map[string]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]string{}
	for _, m := range o.goingOn(seconds(o.cfg.Params.Workers.CancelS / 3)) {
		out[m.name] = "a cancelled task can't be stopped"
	}
	return out
}

// goingOn lists the machines, some more than once, on which cancelled tasks may be that
// were first told to stop longer ago than this.
func (o *Owner) goingOn(after time.Duration) (ms []*mach) {
	now := time.Now()
	for _, j := range o.order {
		if !j.cancelled {
			continue
		}
		for _, ps := range j.places {
			for _, p := range ps {
				if p.on() && !p.halted.IsZero() && now.Sub(p.halted) > after {
					ms = append(ms, p.mach)
				}
			}
		}
	}
	return ms
}
