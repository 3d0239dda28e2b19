package planner

import (
	"math/rand/v2"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobstate"
)

// openMachines lists the machines that may take work, in order of their index.
func (p *Planner) openMachines() []*jobstate.Worker {
	var open []*jobstate.Worker
	fresh := config.Seconds(3*p.state.Platform.Params.Workers.ReportS + 1)
	for _, worker := range p.state.WorkersByIndex {
		if worker != nil && !worker.Gone && (!worker.Cordoned || p.staysOccupied(worker)) && worker.UnresponsiveSince.IsZero() && !worker.View.Draining && worker.NoticeAt.IsZero() && len(worker.Matrix) > 0 && p.state.Now.Sub(worker.LastHeartbeat) < fresh {
			open = append(open, worker)
		}
	}
	return open
}

type imageRequirements struct {
	jobstate.Requirements
	image int
}

// forgetRoom begins a pass: what had room in the last one may have none.
func (p *Planner) resetRoom() {
	clear(p.rooms)
	clear(p.cachers)
}

// roomFor lists the machines where a task of the job may run and fits within the
// horizon, as of the first time that a job like it asked in this pass. Within a pass
// room only shrinks: what the list has beyond it is found out by its estimate. On a
// busy fleet the lists are short, and jobs alike share one, so that a pass costs what
// has room, and not the fleet for each job.
func (p *Planner) workersWithRoom(job *jobstate.Job, open []*jobstate.Worker) []*jobstate.Worker {
	key := job.Requirements()
	if ms, known := p.rooms[key]; known {
		return ms
	}
	ms := []*jobstate.Worker{}
	for _, worker := range open {
		if !p.state.Allowed(job, worker) || !p.state.FitsLease(job, worker) {
			continue
		}
		most := p.state.Operator.HorizonS + p.state.Now.Sub(worker.ViewAt).Seconds()
		for _, r := range worker.Matrix {
			if r.Wait > most {
				break
			}
			if job.Resources.Fits(r.Free) {
				ms = append(ms, worker)
				break
			}
		}
	}
	p.rooms[key] = ms
	return ms
}

// caching lists those of the machines with room for the job that have its image.
func (p *Planner) workersCaching(job *jobstate.Job, image int, room []*jobstate.Worker) []*jobstate.Worker {
	key := imageRequirements{job.Requirements(), image}
	ms, known := p.cachers[key]
	if !known {
		ms = []*jobstate.Worker{}
		for _, worker := range room {
			if worker.Images[image] != nil {
				ms = append(ms, worker)
			}
		}
		p.cachers[key] = ms
	}
	return ms
}

// candidates limits the search for a job among the machines with room for it: where
// those are many, to ones that cache the image, those in their zones, and two light
// ones, looked for from a random one on and not for ever.
func (p *Planner) candidates(job *jobstate.Job, room []*jobstate.Worker) []*jobstate.Worker {
	if len(room) <= wholeFleet {
		return room
	}
	image := p.state.Images.Of(job.Spec.Image)
	zones := map[string]bool{}
	out := make([]*jobstate.Worker, 0, 2*wholeFleet)
	caching := p.workersCaching(job, image, room)
	for i, start := 0, rand.IntN(max(1, len(caching))); i < len(caching) && len(out) < wholeFleet; i++ {
		worker := caching[(start+i)%len(caching)]
		zones[worker.View.Zone] = true
		out = append(out, worker)
	}
	near, light := 0, 0
	start := rand.IntN(len(room))
	for i := 0; i < min(len(room), lookedAt) && (near < wholeFleet/2 || light < 2); i++ {
		worker := room[(start+i)%len(room)]
		switch {
		case worker.Images[image] != nil:
		case near < wholeFleet/2 && zones[worker.View.Zone]:
			near++
			out = append(out, worker)
		case light < 2 && job.Resources.Fits(worker.Matrix[0].Free):
			light++
			out = append(out, worker)
		}
	}
	return out
}
