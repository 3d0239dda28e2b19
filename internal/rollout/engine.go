package rollout

import (
	"fmt"
	"slices"
	"time"
)

// restorePatience is how long a rolling back waits for room beside the new
// version's replicas before it takes theirs.
const restorePatience = 15 * time.Second

// lostMost is how often a step's replicas may be lost while soaking.
const lostMost = 3

// JobSeen is what is known of a batch's job now.
type JobSeen struct {
	Gone      bool   `json:"Gone"` // it is cancelled, or was never accepted and never will be
	Running   int    `json:"Running"`
	Healthy   int    `json:"Healthy"`
	Unhealthy string `json:"Unhealthy"` // a replica found unhealthy, or ""
	Hung      string `json:"Hung"`      // a replica whose checks hang, or ""
}

// Seen is what is known now.
type Seen struct {
	Jobs    map[string]JobSeen
	Blocked string // why no step may begin now, or ""
}

func (s *Seen) healthy(bs []Batch) (n int) {
	for _, b := range bs {
		n += s.Jobs[b.UID].Healthy
	}
	return n
}

func (s *Seen) running(bs []Batch) (n int) {
	for _, b := range bs {
		n += s.Jobs[b.UID].Running
	}
	return n
}

// trouble names what is wrong with replicas.
func (s *Seen) trouble(bs []Batch) (unhealthy, hung string) {
	for _, b := range bs {
		j := s.Jobs[b.UID]
		if j.Unhealthy != "" && unhealthy == "" {
			unhealthy = j.Unhealthy
		}
		if j.Hung != "" && hung == "" {
			hung = j.Hung
		}
	}
	return unhealthy, hung
}

func (s *Seen) gone(bs []Batch) bool {
	return !slices.ContainsFunc(bs, func(b Batch) bool { return !s.Jobs[b.UID].Gone })
}

// Wanted is what a recorded roll-out asks to be done, again and again until it is
// seen: jobs that must have been submitted, and jobs that must be cancelled.
func Wanted(r *Run) (submit, drop []Batch) {
	return append(append(submit, r.New...), r.Restore...), r.Drop
}

// Next is the state that follows; false if nothing changes. What it records is
// done only after it was written.
func Next(svc *Service, r *Run, seen *Seen, now time.Time) bool {
	switch r.Phase {
	case Pending, WaitingSlot:
		if seen.Blocked != "" && !r.Spec.Anytime {
			if r.Phase == WaitingSlot && r.Why == seen.Blocked {
				return false
			}
			r.enter(WaitingSlot, seen.Blocked, now)
			return true
		}
		r.begin(now)
	case Placing, Soaking, Retiring:
		return r.step(svc, seen, now)
	case RollingBack:
		return r.back(svc, seen, now)
	default:
		return false
	}
	return true
}

// begin submits the step's replicas.
func (r *Run) begin(now time.Time) {
	have := total(r.New)
	if more := r.Targets[r.Step] - have; more > 0 {
		r.New = append(r.New, r.batch(more, r.Spec.To.Name))
	}
	r.Lost = 0
	r.enter(Placing, "", now)
}

func (r *Run) step(svc *Service, seen *Seen, now time.Time) bool {
	unhealthy, hung := seen.trouble(r.New)
	switch {
	case unhealthy != "":
		why := "unhealthy: " + unhealthy
		if r.Spec.OnFail == OnFailPause {
			r.pause(why, now)
		} else {
			r.rollBack(Restored, why, now)
		}
		return true
	case hung != "":
		// A check that hangs says nothing of the replica: to go on could take
		// the service down, to go back could be for nothing.
		r.pause("the health check hangs: "+hung, now)
		return true
	}
	healthy, want := seen.healthy(r.New), total(r.New)
	switch {
	case r.Phase == Placing && healthy >= want:
		r.enter(Soaking, "", now)
	case r.Phase == Placing && r.age(now) > seconds(r.Spec.PlaceS):
		r.pause(fmt.Sprintf("%d of %d new replicas run and %d are healthy after %g s", seen.running(r.New), want, healthy, r.Spec.PlaceS), now)
	case r.Phase == Soaking && healthy < want:
		// Machines go, and the version is not to blame; a version that ends again
		// and again is.
		if r.Lost++; r.Lost > lostMost {
			r.pause(fmt.Sprintf("replicas were lost %d times while soaking", r.Lost), now)
		} else {
			r.enter(Placing, "replicas were lost while soaking", now)
		}
	case r.Phase == Soaking && r.age(now) >= seconds(r.Spec.SoakS):
		r.retire(svc)
		r.enter(Retiring, "", now)
	case r.Phase == Retiring && seen.gone(r.Drop):
		r.Drop = nil
		switch {
		case r.Step+1 == len(r.Targets):
			svc.Version, svc.Batches = r.Spec.To, r.New
			r.Old, r.Outcome = nil, Done
			r.enter(Done, "", now)
		default:
			r.Step++
			r.enter(WaitingSlot, "", now)
		}
	default:
		return false
	}
	return true
}

// retire marks old jobs to be cancelled, as far as the replicas promised are
// there without them.
func (r *Run) retire(svc *Service) {
	spare := total(r.New) + total(r.Old) - svc.Replicas
	old := slices.Clone(r.Old)
	slices.SortStableFunc(old, func(a, b Batch) int { return a.Replicas - b.Replicas })
	r.Old = nil
	for _, b := range old {
		if b.Replicas <= spare {
			spare -= b.Replicas
			r.Drop = append(r.Drop, b)
		} else {
			r.Old = append(r.Old, b)
		}
	}
}

func (r *Run) pause(why string, now time.Time) {
	r.Resume = r.Phase
	r.enter(Paused, why, now)
}

// rollBack has the old version restored.
func (r *Run) rollBack(outcome Phase, why string, now time.Time) {
	r.Outcome, r.Verdict, r.Resume = outcome, now.UnixMilli(), ""
	replicas := r.Targets[len(r.Targets)-1]
	if less := replicas - total(r.Old); less > 0 && r.From.Name != "" { // a new service has nothing to restore
		r.Restore = append(r.Restore, r.batch(less, r.From.Name))
	}
	r.enter(RollingBack, why, now)
}

// back goes on with a rolling back: the new version's replicas go when the old
// one's are healthy, or sooner if these find no room beside them.
func (r *Run) back(svc *Service, seen *Seen, now time.Time) bool {
	kept := append(slices.Clone(r.Old), r.Restore...)
	whole := seen.healthy(r.Restore) >= total(r.Restore)
	patience := restorePatience
	if r.Outcome == Aborted {
		patience = max(patience, seconds(r.Spec.PlaceS)) // the new ones may be well
	}
	crowded := seen.running(r.Restore) < total(r.Restore) && r.age(now) > patience
	switch {
	case len(r.New) > 0 && (whole || crowded):
		r.Drop = append(r.Drop, r.New...)
		r.New = nil
		return true
	case len(r.New) == 0 && whole && seen.gone(r.Drop):
		svc.Version, svc.Batches = r.From, kept
		r.Drop = nil
		r.enter(r.Outcome, r.Why, now)
		return true
	}
	return false
}

// Verbs of operators.
const (
	VerbPause  = "pause"
	VerbResume = "resume"
	VerbAbort  = "abort"
)

// Order does what an operator says.
func Order(r *Run, verb string, now time.Time) error {
	switch {
	case r.Phase.Final():
		return fmt.Errorf("%w: roll-out %d of %s is over: %s", ErrInput, r.ID, r.Spec.Service, r.Phase)
	case verb == VerbPause && r.Phase == Paused:
		return fmt.Errorf("%w: it is paused already: %s", ErrInput, r.Why)
	case verb == VerbPause && r.Phase == RollingBack, verb == VerbAbort && r.Phase == RollingBack:
		return fmt.Errorf("%w: it is rolling back, which is not stopped", ErrInput)
	case verb == VerbPause:
		r.pause("by an operator", now)
	case verb == VerbResume && r.Phase != Paused:
		return fmt.Errorf("%w: it is not paused but %s", ErrInput, r.Phase)
	case verb == VerbResume:
		r.enter(r.Resume, "", now)
		r.Resume, r.Lost = "", 0
	case verb == VerbAbort:
		r.rollBack(Aborted, "by an operator", now)
	default:
		return fmt.Errorf("%w: verb: %q is none of pause, resume, abort", ErrInput, verb)
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Plan makes the roll-out of a spec for a service.
func Plan(svc *Service, spec Spec, id int, now time.Time) (*Run, error) {
	targets, err := Targets(spec.Steps, svc.Replicas)
	if err != nil {
		return nil, err
	}
	if svc.Version.Name == spec.To.Name {
		return nil, fieldError("to.name", "%s runs %s already", svc.Name, spec.To.Name)
	}
	r := &Run{ID: id, Spec: spec, From: svc.Version, Targets: targets, Old: slices.Clone(svc.Batches), Begun: now.UnixMilli()}
	r.enter(Pending, "", now)
	return r, nil
}
