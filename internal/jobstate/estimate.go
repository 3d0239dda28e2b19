package jobstate

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

func (s *State) ClassOf(name string) *Class {
	c := s.Classes[name]
	if c == nil {
		if len(s.Classes) > 1000 {
			return &Class{Name: name, EstimateRatio: 1}
		}
		c = &Class{Name: name, EstimateRatio: 1}
		for _, aim := range s.Platform.Params.Objectives {
			if aim.Kind == "wait" && aim.Class == name {
				c.StartAims = append(c.StartAims, aim.WithinS)
			}
		}
		s.Classes[name] = c
	}
	return c
}

// fetchTime is the image fetch that a task would wait for on the machine.
func (s *State) FetchTime(job *Job, worker *Worker) float64 {
	if job.Spec.Image == "" || worker.Images[s.Images.Of(job.Spec.Image)] != nil {
		return 0
	}
	if t := s.TypeOf(worker); t.FetchGBPerS > 0 {
		return job.Spec.ImageGB / t.FetchGBPerS
	}
	return job.Spec.ImageGB
}

// typeOf is the machine's type, without a name if it is not known.
func (s *State) TypeOf(worker *Worker) *wire.MachineType {
	if worker.Type.Name != worker.View.Type {
		worker.Type, _ = s.MachineTypes.Type(worker.View.Type)
	}
	return &worker.Type
}

// cache notes that a machine has a job's image.
func (s *State) CacheImage(job *Job, worker *Worker) {
	i := s.Images.Of(job.Spec.Image)
	if c := worker.Images[i]; c != nil {
		c.UsedAt = time.Now()
		return
	}
	worker.Images[i] = &CachedImage{SizeGB: job.Spec.ImageGB, UsedAt: time.Now()}
	t, ok := s.MachineTypes.Type(worker.View.Type)
	for ok && len(worker.Images) > 1 {
		sum, oldest, first := 0.0, 0, time.Now().Add(time.Hour)
		for k, c := range worker.Images {
			sum += c.SizeGB
			if c.UsedAt.Before(first) {
				oldest, first = k, c.UsedAt
			}
		}
		if sum <= t.CacheGB && len(worker.Images) < 256 {
			break
		}
		delete(worker.Images, oldest)
	}
}

// success is P: the recent share of tasks not lost on the machine.
func (s *State) SuccessRate(worker *Worker) float64 {
	done, lost := 20+worker.RecentDone, 0.2+worker.RecentLost
	if worker.View.Spot {
		done, lost = done+s.SpotDone/4, lost+s.SpotLost/4
	}
	for _, n := range worker.Failures {
		lost += 2 * float64(n)
	}
	return done / (done + lost)
}
