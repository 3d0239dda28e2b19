package scheduler

import (
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

type Average struct {
	Count int
	Sum   float64
}

func (a *Average) Add(v float64) { a.Count++; a.Sum += v }

func (a *Average) Mean() float64 {
	if a.Count == 0 {
		return 0
	}
	return a.Sum / float64(a.Count)
}

func (o *Scheduler) classOf(name string) *Class {
	c := o.classes[name]
	if c == nil {
		if len(o.classes) > 1000 {
			return &Class{Name: name, EstimateRatio: 1}
		}
		c = &Class{Name: name, EstimateRatio: 1}
		for _, aim := range o.cfg.Params.Objectives {
			if aim.Kind == "wait" && aim.Class == name {
				c.StartAims = append(c.StartAims, aim.WithinS)
			}
		}
		o.classes[name] = c
	}
	return c
}

// RunEstimate is the expected run time of a task of the job.
func (j *Job) RunEstimate() float64 {
	switch {
	case j.RunTimes.Count >= 2:
		return j.RunTimes.Mean()
	case j.Spec.Estimate > 0:
		return j.Spec.Estimate * j.Class.EstimateRatio
	case j.Class.RunTimes.Count > 0:
		return j.Class.RunTimes.Mean()
	}
	return 60
}

func (j *Job) DueAt() float64 {
	at := float64(j.AcceptedMs) / 1000
	if j.Spec.DueS != nil {
		return at + *j.Spec.DueS
	}
	return at + 60
}

// fetchTime is the image fetch that a task would wait for on the machine.
func (o *Scheduler) fetchTime(j *Job, m *Worker) float64 {
	if j.Spec.Image == "" || m.Images[o.images.Of(j.Spec.Image)] != nil {
		return 0
	}
	if t := o.typeOf(m); t.FetchGBPerS > 0 {
		return j.Spec.ImageGB / t.FetchGBPerS
	}
	return j.Spec.ImageGB
}

// typeOf is the machine's type, without a name if it is not known.
func (o *Scheduler) typeOf(m *Worker) *wire.MachineType {
	if m.Type.Name != m.View.Type {
		m.Type, _ = o.types.Type(m.View.Type)
	}
	return &m.Type
}

// cache notes that a machine has a job's image.
func (o *Scheduler) cache(j *Job, m *Worker) {
	i := o.images.Of(j.Spec.Image)
	if c := m.Images[i]; c != nil {
		c.UsedAt = time.Now()
		return
	}
	m.Images[i] = &CachedImage{SizeGB: j.Spec.ImageGB, UsedAt: time.Now()}
	t, ok := o.types.Type(m.View.Type)
	for ok && len(m.Images) > 1 {
		sum, oldest, first := 0.0, 0, time.Now().Add(time.Hour)
		for k, c := range m.Images {
			sum += c.SizeGB
			if c.UsedAt.Before(first) {
				oldest, first = k, c.UsedAt
			}
		}
		if sum <= t.CacheGB && len(m.Images) < 256 {
			break
		}
		delete(m.Images, oldest)
	}
}

// success is P: the recent share of tasks not lost on the machine.
func (o *Scheduler) success(m *Worker) float64 {
	done, lost := 20+m.RecentDone, 0.2+m.RecentLost
	if m.View.Spot {
		done, lost = done+o.spotDone/4, lost+o.spotLost/4
	}
	for _, n := range m.Failures {
		lost += 2 * float64(n)
	}
	return done / (done + lost)
}
