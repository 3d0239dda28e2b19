package scheduler

import (
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

type average struct {
	n   int
	sum float64
}

func (a *average) add(v float64) { a.n++; a.sum += v }

func (a *average) mean() float64 {
	if a.n == 0 {
		return 0
	}
	return a.sum / float64(a.n)
}

func (o *Owner) classOf(name string) *class {
	c := o.classes[name]
	if c == nil {
		if len(o.classes) > 1000 {
			return &class{name: name, ratio: 1}
		}
		c = &class{name: name, ratio: 1}
		for _, aim := range o.cfg.Params.Objectives {
			if aim.Kind == "wait" && aim.Class == name {
				c.starts = append(c.starts, aim.WithinS)
			}
		}
		o.classes[name] = c
	}
	return c
}

// runEstimate is the expected run time of a task of the job.
func (j *job) runEstimate() float64 {
	switch {
	case j.runs.n >= 2:
		return j.runs.mean()
	case j.spec.Estimate > 0:
		return j.spec.Estimate * j.class.ratio
	case j.class.runs.n > 0:
		return j.class.runs.mean()
	}
	return 60
}

func (j *job) dueAt() float64 {
	at := float64(j.atMs) / 1000
	if j.spec.DueS != nil {
		return at + *j.spec.DueS
	}
	return at + 60
}

// fetchTime is the image fetch that a task would wait for on the machine.
func (o *Owner) fetchTime(j *job, m *mach) float64 {
	if j.spec.Image == "" || m.images[o.images.Of(j.spec.Image)] != nil {
		return 0
	}
	if t := o.typeOf(m); t.FetchGBPerS > 0 {
		return j.spec.ImageGB / t.FetchGBPerS
	}
	return j.spec.ImageGB
}

// typeOf is the machine's type, without a name if it is not known.
func (o *Owner) typeOf(m *mach) *wire.MachineType {
	if m.kind.Name != m.view.Type {
		m.kind, _ = o.types.Type(m.view.Type)
	}
	return &m.kind
}

// cache notes that a machine has a job's image.
func (o *Owner) cache(j *job, m *mach) {
	i := o.images.Of(j.spec.Image)
	if c := m.images[i]; c != nil {
		c.used = time.Now()
		return
	}
	m.images[i] = &cached{gb: j.spec.ImageGB, used: time.Now()}
	t, ok := o.types.Type(m.view.Type)
	for ok && len(m.images) > 1 {
		sum, oldest, first := 0.0, 0, time.Now().Add(time.Hour)
		for k, c := range m.images {
			sum += c.gb
			if c.used.Before(first) {
				oldest, first = k, c.used
			}
		}
		if sum <= t.CacheGB && len(m.images) < 256 {
			break
		}
		delete(m.images, oldest)
	}
}

// success is P: the recent share of tasks not lost on the machine.
func (o *Owner) success(m *mach) float64 {
	done, lost := 20+m.done, 0.2+m.lost
	if m.view.Spot {
		done, lost = done+o.spotDone/4, lost+o.spotLost/4
	}
	for _, n := range m.blame {
		lost += 2 * float64(n)
	}
	return done / (done + lost)
}
