package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/config"
)

const (
	// restoreTimeout is how long a roll-back waits for room beside the new version's
	// replicas before it takes theirs.
	restoreTimeout = 15 * time.Second
	// maxLosses is how often a step's replicas may be lost while soaking.
	maxLosses = 3
)

// JobStatus is the observed state of a batch's job.
type JobStatus struct {
	Ended     bool   `json:"Gone"` // it is cancelled, or was never accepted and never will be
	Running   int    `json:"Running"`
	Healthy   int    `json:"Healthy"`
	Unhealthy string `json:"Unhealthy"` // a replica found unhealthy, or ""
	Hung      string `json:"Hung"`      // a replica whose checks hang, or ""
}

// Observation is the observed state that a roll-out goes on by.
type Observation struct {
	Jobs          map[string]JobStatus
	BlockedReason string // why no step may begin now, or ""
}

// healthy counts the healthy replicas of batches.
func (s *Observation) healthy(batches []Batch) (n int) {
	for _, batch := range batches {
		n += s.Jobs[batch.UID].Healthy
	}
	return n
}

// running counts the running replicas of batches.
func (s *Observation) running(batches []Batch) (n int) {
	for _, batch := range batches {
		n += s.Jobs[batch.UID].Running
	}
	return n
}

// failures names the first unhealthy replica of batches, and the first whose checks hang.
func (s *Observation) failures(batches []Batch) (unhealthy, hung string) {
	for _, batch := range batches {
		job := s.Jobs[batch.UID]
		unhealthy, hung = cmp.Or(unhealthy, job.Unhealthy), cmp.Or(hung, job.Hung)
	}
	return unhealthy, hung
}

// ended reports whether the jobs of all batches are cancelled.
func (s *Observation) ended(batches []Batch) bool {
	return !slices.ContainsFunc(batches, func(batch Batch) bool { return !s.Jobs[batch.UID].Ended })
}

// RequiredActions returns what a recorded roll-out needs done, repeated until it is observed: jobs that
// must be submitted, and jobs that must be cancelled.
func RequiredActions(r *Run) (submit, drop []Batch) {
	return append(append(submit, r.New...), r.Restore...), r.ToCancel
}

// Advance changes a service and its roll-out to the state that follows; false if nothing changes.
// What the new state wants is done only once it is written.
func Advance(service *Service, r *Run, seen *Observation, now time.Time) bool {
	switch r.Phase {
	case Pending, WaitingSlot:
		if seen.BlockedReason != "" && !r.Spec.IgnoreSlots {
			if r.Phase == WaitingSlot && r.Reason == seen.BlockedReason {
				return false
			}
			r.setPhase(WaitingSlot, seen.BlockedReason, now)
			return true
		}
		r.beginStep(now)
	case Placing, Soaking, Retiring:
		return r.advanceStep(service, seen, now)
	case RollingBack:
		return r.advanceRollback(service, seen, now)
	default:
		return false
	}
	return true
}

// beginStep starts a step: its replicas are to be submitted.
func (r *Run) beginStep(now time.Time) {
	if more := r.Targets[r.Step] - countReplicas(r.New); more > 0 {
		r.New = append(r.New, r.newBatch(more, r.Spec.To.Name))
	}
	r.Losses = 0
	r.setPhase(Placing, "", now)
}

// advanceStep goes on with a advanceStep whose replicas are placed, soak, or replace old ones.
func (r *Run) advanceStep(service *Service, seen *Observation, now time.Time) bool {
	unhealthy, hung := seen.failures(r.New)
	switch {
	case unhealthy != "":
		why := "unhealthy: " + unhealthy
		if r.Spec.OnFail == OnFailPause {
			r.pause(why, now)
		} else {
			r.beginRollback(Restored, why, now)
		}
		return true
	case hung != "":
		// A check that hangs shows nothing of the replica: to go on could take the
		// service down, to roll back could be for nothing.
		r.pause("the health check hangs: "+hung, now)
		return true
	}
	healthy, want := seen.healthy(r.New), countReplicas(r.New)
	switch {
	case r.Phase == Placing && healthy >= want:
		r.setPhase(Soaking, "", now)
	case r.Phase == Placing && r.timeInPhase(now) > seconds(r.Spec.PlaceS):
		r.pause(fmt.Sprintf("%d of %d new replicas run and %d are healthy after %g s", seen.running(r.New), want, healthy, r.Spec.PlaceS), now)
	case r.Phase == Soaking && healthy < want:
		// Machines fail, which is no fault of the version; replicas that end again and
		// again are.
		if r.Losses++; r.Losses > maxLosses {
			r.pause(fmt.Sprintf("replicas were lost %d times while soaking", r.Losses), now)
		} else {
			r.setPhase(Placing, "replicas were lost while soaking", now)
		}
	case r.Phase == Soaking && r.timeInPhase(now) >= seconds(r.Spec.SoakS):
		r.retire(service)
		r.setPhase(Retiring, "", now)
	case r.Phase == Retiring && seen.ended(r.ToCancel):
		r.endStep(service, now)
	default:
		return false
	}
	return true
}

// endStep goes on to the next step, or to the end.
func (r *Run) endStep(service *Service, now time.Time) {
	r.ToCancel = nil
	if r.Step+1 < len(r.Targets) {
		r.Step++
		r.setPhase(WaitingSlot, "", now)
		return
	}
	service.Version, service.Batches = r.Spec.To, r.New
	r.Old, r.Outcome = nil, Done
	r.setPhase(Done, "", now)
}

// retire marks old jobs to be cancelled, as far as the service keeps its replicas without them.
func (r *Run) retire(service *Service) {
	spare := countReplicas(r.New) + countReplicas(r.Old) - service.Replicas
	old := slices.Clone(r.Old)
	slices.SortStableFunc(old, func(a, b Batch) int { return a.Replicas - b.Replicas })
	r.Old = nil
	for _, batch := range old {
		if batch.Replicas <= spare {
			spare -= batch.Replicas
			r.ToCancel = append(r.ToCancel, batch)
		} else {
			r.Old = append(r.Old, batch)
		}
	}
}

// pause stops the roll-out until an operator resumes or aborts it.
func (r *Run) pause(why string, now time.Time) {
	r.ResumePhase = r.Phase
	r.setPhase(Paused, why, now)
}

// beginRollback has the old version restored, to end as outcome.
func (r *Run) beginRollback(outcome Phase, why string, now time.Time) {
	r.Outcome, r.RollbackSince, r.ResumePhase = outcome, now.UnixMilli(), ""
	replicas := r.Targets[len(r.Targets)-1]
	if missing := replicas - countReplicas(r.Old); missing > 0 && r.From.Name != "" { // a new service has nothing to restore
		r.Restore = append(r.Restore, r.newBatch(missing, r.From.Name))
	}
	r.setPhase(RollingBack, why, now)
}

// advanceRollback goes on with a roll-back: the new version's replicas are cancelled once the
// old one's are healthy, or sooner if these find no room beside them.
func (r *Run) advanceRollback(service *Service, seen *Observation, now time.Time) bool {
	kept := append(slices.Clone(r.Old), r.Restore...)
	restored := seen.healthy(r.Restore) >= countReplicas(r.Restore)
	timeout := restoreTimeout
	if r.Outcome == Aborted {
		timeout = max(timeout, seconds(r.Spec.PlaceS)) // the new ones may be healthy
	}
	crowded := seen.running(r.Restore) < countReplicas(r.Restore) && r.timeInPhase(now) > timeout
	switch {
	case len(r.New) > 0 && (restored || crowded):
		r.ToCancel = append(r.ToCancel, r.New...)
		r.New = nil
		return true
	case len(r.New) == 0 && restored && seen.ended(r.ToCancel):
		service.Version, service.Batches = r.From, kept
		r.ToCancel = nil
		r.setPhase(r.Outcome, r.Reason, now)
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

// ApplyVerb applies an operator's verb to a roll-out. Its errors are ErrInput.
func ApplyVerb(r *Run, verb string, now time.Time) error {
	switch {
	case r.Phase.Final():
		return fmt.Errorf("%w: roll-out %d of %s is over: %s", ErrInput, r.ID, r.Spec.Service, r.Phase)
	case verb == VerbPause && r.Phase == Paused:
		return fmt.Errorf("%w: it is paused already: %s", ErrInput, r.Reason)
	case verb == VerbPause && r.Phase == RollingBack, verb == VerbAbort && r.Phase == RollingBack:
		return fmt.Errorf("%w: it is rolling back, which is not stopped", ErrInput)
	case verb == VerbPause:
		r.pause("by an operator", now)
	case verb == VerbResume && r.Phase != Paused:
		return fmt.Errorf("%w: it is not paused but %s", ErrInput, r.Phase)
	case verb == VerbResume:
		r.setPhase(r.ResumePhase, "", now)
		r.ResumePhase, r.Losses = "", 0
	case verb == VerbAbort:
		r.beginRollback(Aborted, "by an operator", now)
	default:
		return fmt.Errorf("%w: verb: %q is none of pause, resume, abort", ErrInput, verb)
	}
	return nil
}

var seconds = config.Seconds

// Plan returns the roll-out of a spec for a service, pending. Its errors name the field of the
// spec.
func Plan(service *Service, spec Spec, id int, now time.Time) (*Run, error) {
	targets, err := Targets(spec.Steps, service.Replicas)
	if err != nil {
		return nil, err
	}
	if service.Version.Name == spec.To.Name {
		return nil, fieldError("to.name", "%s runs %s already", service.Name, spec.To.Name)
	}
	r := &Run{ID: id, Spec: spec, From: service.Version, Targets: targets, Old: slices.Clone(service.Batches), Begun: now.UnixMilli()}
	r.setPhase(Pending, "", now)
	return r, nil
}
