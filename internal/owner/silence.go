package owner

import (
	"time"
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

const (
	massLeast = 8    // machines below which silence says nothing about the listener
	maxGone   = 4096 // returned machines that are remembered
)

// massSilence reports whether most machines fell silent together. Then it is
// likelier that they are not heard than that they stopped: to return them would
// throw away all that they do.
func (o *Owner) massSilence(now time.Time, limit time.Duration) bool {
	known, silent := 0, 0
	for _, m := range o.machines {
		s := now.Sub(later(m.heard, m.since))
		if s > limit+seconds(o.cfg.Params.Workers.LeaseS) {
			continue // it has been gone for long
		}
		known++
		if s >= limit {
			silent++
		}
	}
	return known >= massLeast && 2*silent > known
}

// Suspects returns the machines that tasks may be on and that have been
// silent for too long: the cloud's deletion settles them.
func (o *Owner) Suspects() map[string]time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	out := map[string]time.Duration{}
	limit := seconds(o.op.SilentS)
	if o.massSilence(now, limit) {
		limit = max(limit, seconds(o.cfg.Params.Workers.LeaseS*1.002+1))
	}
	for name, m := range o.machines {
		if silent := now.Sub(later(m.heard, m.since)); silent >= limit && len(m.places) > 0 {
			out[name] = silent
		}
	}
	// A cancelled task that can't be stopped in time goes with its machine.
	for _, j := range o.order {
		if !j.cancelled {
			continue
		}
		for _, ps := range j.places {
			for _, p := range ps {
				if p.on() && !p.halted.IsZero() && now.Sub(p.halted).Seconds() > o.cfg.Params.Workers.CancelS/3 {
					out[p.mach.name] = max(out[p.mach.name], limit)
				}
			}
		}
	}
	return out
}
