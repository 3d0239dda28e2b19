package scheduler

import (
	"math/rand/v2"
	"strings"

	"github.com/wallrack/wallrack/internal/matching"
)

// openMachines lists the machines that may take work, in order of their index.
func (o *Scheduler) openMachines() []*Worker {
	var open []*Worker
	fresh := seconds(3*o.cfg.Params.Workers.ReportS + 1)
	for _, m := range o.byIndex {
		if m != nil && !m.Gone && (!m.Cordoned || o.staysOccupied(m)) && m.UnresponsiveSince.IsZero() && !m.View.Draining && m.NoticeAt.IsZero() && len(m.Matrix) > 0 && o.now.Sub(m.LastHeartbeat) < fresh {
			open = append(open, m)
		}
	}
	return open
}

// Requirements is what a job asks of a machine, image apart: jobs alike in it have room
// on the same machines.
type Requirements struct {
	shape       matching.Resources
	zone, types string
	spot        bool
}

func (j *Job) Requirements() Requirements {
	if j.requirements == (Requirements{}) {
		j.requirements = Requirements{shape: j.Resources, types: strings.Join(j.Spec.Types, "\x00"), spot: j.Spec.Spot}
		if j.Spec.Zone != nil {
			j.requirements.zone = *j.Spec.Zone
		}
	}
	return j.requirements
}

type imageRequirements struct {
	Requirements
	image int
}

// forgetRoom begins a pass: what had room in the last one may have none.
func (o *Scheduler) forgetRoom() {
	clear(o.rooms)
	clear(o.cachers)
}

// roomFor lists the machines where a task of the job may run and fits within the
// horizon, as of the first time that a job like it asked in this pass. Within a pass
// room only shrinks: what the list has beyond it is found out by its estimate. On a
// busy fleet the lists are short, and jobs alike share one, so that a pass costs what
// has room, and not the fleet for each job.
func (o *Scheduler) roomFor(j *Job, open []*Worker) []*Worker {
	key := j.Requirements()
	if ms, known := o.rooms[key]; known {
		return ms
	}
	ms := []*Worker{}
	for _, m := range open {
		if !o.allowed(j, m) || !o.fitsLease(j, m) {
			continue
		}
		most := o.op.HorizonS + o.now.Sub(m.ViewAt).Seconds()
		for _, r := range m.Matrix {
			if r.Wait > most {
				break
			}
			if j.Resources.Fits(r.Free) {
				ms = append(ms, m)
				break
			}
		}
	}
	o.rooms[key] = ms
	return ms
}

// caching lists those of the machines with room for the job that have its image.
func (o *Scheduler) caching(j *Job, image int, room []*Worker) []*Worker {
	key := imageRequirements{j.Requirements(), image}
	ms, known := o.cachers[key]
	if !known {
		ms = []*Worker{}
		for _, m := range room {
			if m.Images[image] != nil {
				ms = append(ms, m)
			}
		}
		o.cachers[key] = ms
	}
	return ms
}

// candidates limits the search for a job among the machines with room for it: where
// those are many, to ones that cache the image, those in their zones, and two light
// ones, looked for from a random one on and not for ever.
func (o *Scheduler) candidates(j *Job, room []*Worker) []*Worker {
	if len(room) <= wholeFleet {
		return room
	}
	image := o.images.Of(j.Spec.Image)
	zones := map[string]bool{}
	out := make([]*Worker, 0, 2*wholeFleet)
	caching := o.caching(j, image, room)
	for i, start := 0, rand.IntN(max(1, len(caching))); i < len(caching) && len(out) < wholeFleet; i++ {
		m := caching[(start+i)%len(caching)]
		zones[m.View.Zone] = true
		out = append(out, m)
	}
	near, light := 0, 0
	start := rand.IntN(len(room))
	for i := 0; i < min(len(room), lookedAt) && (near < wholeFleet/2 || light < 2); i++ {
		m := room[(start+i)%len(room)]
		switch {
		case m.Images[image] != nil:
		case near < wholeFleet/2 && zones[m.View.Zone]:
			near++
			out = append(out, m)
		case light < 2 && j.Resources.Fits(m.Matrix[0].Free):
			light++
			out = append(out, m)
		}
	}
	return out
}
