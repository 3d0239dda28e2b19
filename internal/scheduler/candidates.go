package scheduler

import (
	"math/rand/v2"
	"strings"

	"github.com/wallrack/wallrack/internal/matching"
)

// openMachines lists the machines that may take work, in order of their index.
func (o *Owner) openMachines() []*mach {
	var open []*mach
	fresh := seconds(3*o.cfg.Params.Workers.ReportS + 1)
	for _, m := range o.byIndex {
		if m != nil && !m.gone && (!m.closing || o.staysOccupied(m)) && m.deaf.IsZero() && !m.view.Draining && m.notice.IsZero() && len(m.matrix) > 0 && o.now.Sub(m.heard) < fresh {
			open = append(open, m)
		}
	}
	return open
}

// roomKey is what a job asks of a machine, image apart: jobs alike in it have room
// on the same machines.
type roomKey struct {
	shape       matching.Shape
	zone, types string
	spot        bool
}

func (j *job) roomKey() roomKey {
	if j.key == (roomKey{}) {
		j.key = roomKey{shape: j.shape, types: strings.Join(j.spec.Types, "\x00"), spot: j.spec.Spot}
		if j.spec.Zone != nil {
			j.key.zone = *j.spec.Zone
		}
	}
	return j.key
}

type cacheKey struct {
	roomKey
	image int
}

// forgetRoom begins a pass: what had room in the last one may have none.
func (o *Owner) forgetRoom() {
	clear(o.rooms)
	clear(o.cachers)
}

// roomFor lists the machines where a task of the job may run and fits within the
// horizon, as of the first time that a job like it asked in this pass. Within a pass
// room only shrinks: what the list has beyond it is found out by its estimate. On a
// busy fleet the lists are short, and jobs alike share one, so that a pass costs what
// has room, and not the fleet for each job.
func (o *Owner) roomFor(j *job, open []*mach) []*mach {
	key := j.roomKey()
	if ms, known := o.rooms[key]; known {
		return ms
	}
	ms := []*mach{}
	for _, m := range open {
		if !o.allowed(j, m) || !o.fitsLease(j, m) {
			continue
		}
		most := o.op.HorizonS + o.now.Sub(m.at).Seconds()
		for _, r := range m.matrix {
			if r.Wait > most {
				break
			}
			if j.shape.Fits(r.Free) {
				ms = append(ms, m)
				break
			}
		}
	}
	o.rooms[key] = ms
	return ms
}

// caching lists those of the machines with room for the job that have its image.
func (o *Owner) caching(j *job, image int, room []*mach) []*mach {
	key := cacheKey{j.roomKey(), image}
	ms, known := o.cachers[key]
	if !known {
		ms = []*mach{}
		for _, m := range room {
			if m.images[image] != nil {
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
func (o *Owner) candidates(j *job, room []*mach) []*mach {
	if len(room) <= wholeFleet {
		return room
	}
	image := o.images.Of(j.spec.Image)
	zones := map[string]bool{}
	out := make([]*mach, 0, 2*wholeFleet)
	caching := o.caching(j, image, room)
	for i, start := 0, rand.IntN(max(1, len(caching))); i < len(caching) && len(out) < wholeFleet; i++ {
		m := caching[(start+i)%len(caching)]
		zones[m.view.Zone] = true
		out = append(out, m)
	}
	near, light := 0, 0
	start := rand.IntN(len(room))
	for i := 0; i < min(len(room), lookedAt) && (near < wholeFleet/2 || light < 2); i++ {
		m := room[(start+i)%len(room)]
		switch {
		case m.images[image] != nil:
		case near < wholeFleet/2 && zones[m.view.Zone]:
			near++
			out = append(out, m)
		case light < 2 && j.shape.Fits(m.matrix[0].Free):
			light++
			out = append(out, m)
		}
	}
	return out
}
