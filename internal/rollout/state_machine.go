package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/config"
)

const (
	// restoreTimeout is how long a roll-back waits for the old version's replicas to be placed
	// beside the new ones before it cancels the new ones to free their capacity. If an operator
	// aborted the roll-out and Spec.PlaceS is longer, the roll-back waits for Spec.PlaceS.
	restoreTimeout = 15 * time.Second
	// maxLosses is how often replicas of one step may be lost while soaking before the roll-out pauses.
	maxLosses = 3
)

// JobStatus is the observed state of a batch's job.
type JobStatus struct {
	Ended         bool   `json:"Gone"` // true if the job was cancelled, or was not accepted and can't be accepted later
	Running       int    `json:"Running"`
	Healthy       int    `json:"Healthy"`
	UnhealthyTask string `json:"Unhealthy"` // task name of an unhealthy replica, or ""
	HungTask      string `json:"Hung"`      // task name of a replica whose checks time out, or ""
}

// Observation is the observed state from which Advance computes the next state.
type Observation struct {
	Jobs          map[string]JobStatus
	BlockedReason string // reason why no step may begin now, or ""
}

// healthy returns the number of healthy replicas of batches.
func (s *Observation) healthy(batches []Batch) (n int) {
	for _, batch := range batches {
		n += s.Jobs[batch.UID].Healthy
	}
	return n
}

// running returns the number of running replicas of batches.
func (s *Observation) running(batches []Batch) (n int) {
	for _, batch := range batches {
		n += s.Jobs[batch.UID].Running
	}
	return n
}

// failures returns the task names of the first unhealthy replica of batches and of the first whose
// checks time out. A name is "" if there is no such replica.
func (s *Observation) failures(batches []Batch) (unhealthy, hung string) {
	for _, batch := range batches {
		job := s.Jobs[batch.UID]
		unhealthy, hung = cmp.Or(unhealthy, job.UnhealthyTask), cmp.Or(hung, job.HungTask)
	}
	return unhealthy, hung
}

// ended reports whether the jobs of all batches have ended.
func (s *Observation) ended(batches []Batch) bool {
	return !slices.ContainsFunc(batches, func(batch Batch) bool { return !s.Jobs[batch.UID].Ended })
}

// RequiredActions returns the jobs that must be submitted and those that must be cancelled for a
// recorded roll-out. The actions are idempotent and are repeated until they succeed.
func RequiredActions(r *Run) (submit, toCancel []Batch) {
	return append(append(submit, r.New...), r.Restore...), r.ToCancel
}

// Advance changes a service and its roll-out to the next state; it returns false if nothing changes.
// The actions that the new state requires must not start before that state is stored.
func Advance(service *Service, r *Run, observed *Observation, now time.Time) bool {
	switch r.Phase {
	case Pending, WaitingSlot:
		if observed.BlockedReason != "" && !r.Spec.IgnoreSlots {
			if r.Phase == WaitingSlot && r.Reason == observed.BlockedReason {
				return false
			}
			r.setPhase(WaitingSlot, observed.BlockedReason, now)
			return true
		}
		r.beginStep(now)
	case Placing, Soaking, Retiring:
		return r.advanceStep(service, observed, now)
	case RollingBack:
		return r.advanceRollback(service, observed, now)
	default:
		return false
	}
	return true
}

// beginStep starts a step by adding a batch with its new replicas.
func (r *Run) beginStep(now time.Time) {
	if more := r.Targets[r.Step] - countReplicas(r.New); more > 0 {
		r.New = append(r.New, r.newBatch(more, r.Spec.To.Name))
	}
	r.Losses = 0
	r.setPhase(Placing, "", now)
}

// advanceStep changes a roll-out that is placing, soaking or retiring to its next state. It returns
// false if nothing changes.
func (r *Run) advanceStep(service *Service, observed *Observation, now time.Time) bool {
	unhealthy, hung := observed.failures(r.New)
	switch {
	case unhealthy != "":
		reason := "unhealthy: " + unhealthy
		if r.Spec.OnFail == OnFailPause {
			r.pause(reason, now)
		} else {
			r.beginRollback(Restored, reason, now)
		}
		return true
	case hung != "":
		// A check that times out does not show the replica's health: continuing could take the
		// service down, and rolling back could be needless.
		r.pause("the health check hangs: "+hung, now)
		return true
	}
	healthy, want := observed.healthy(r.New), countReplicas(r.New)
	switch {
	case r.Phase == Placing && healthy >= want:
		r.setPhase(Soaking, "", now)
	case r.Phase == Placing && r.timeInPhase(now) > seconds(r.Spec.PlaceS):
		r.pause(fmt.Sprintf("%d of %d new replicas run and %d are healthy after %g s", observed.running(r.New), want, healthy, r.Spec.PlaceS), now)
	case r.Phase == Soaking && healthy < want:
		// A single loss is usually the failure of a machine, repeated losses are a fault of
		// the version.
		if r.Losses++; r.Losses > maxLosses {
			r.pause(fmt.Sprintf("replicas were lost %d times while soaking", r.Losses), now)
		} else {
			r.setPhase(Placing, "replicas were lost while soaking", now)
		}
	case r.Phase == Soaking && r.timeInPhase(now) >= seconds(r.Spec.SoakS):
		r.retireBatches(service)
		r.setPhase(Retiring, "", now)
	case r.Phase == Retiring && observed.ended(r.ToCancel):
		r.endStep(service, now)
	default:
		return false
	}
	return true
}

// endStep moves to the next step. After the last step it ends the roll-out and stores the new version
// and its batches in the service.
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

// retireBatches moves old batches to ToCancel, smallest first, as long as at least service.Replicas
// new and old replicas remain.
func (r *Run) retireBatches(service *Service) {
	surplus := countReplicas(r.New) + countReplicas(r.Old) - service.Replicas
	old := slices.Clone(r.Old)
	slices.SortStableFunc(old, func(a, b Batch) int { return a.Replicas - b.Replicas })
	r.Old = nil
	for _, batch := range old {
		if batch.Replicas <= surplus {
			surplus -= batch.Replicas
			r.ToCancel = append(r.ToCancel, batch)
		} else {
			r.Old = append(r.Old, batch)
		}
	}
}

// pause stops the roll-out until an operator resumes or aborts it.
func (r *Run) pause(reason string, now time.Time) {
	r.ResumePhase = r.Phase
	r.setPhase(Paused, reason, now)
}

// beginRollback starts restoring the old version; the roll-out will end in the phase outcome.
func (r *Run) beginRollback(outcome Phase, reason string, now time.Time) {
	r.Outcome, r.RollbackSince, r.ResumePhase = outcome, now.UnixMilli(), ""
	replicas := r.Targets[len(r.Targets)-1]
	if missing := replicas - countReplicas(r.Old); missing > 0 && r.From.Name != "" { // a new service has no old version
		r.Restore = append(r.Restore, r.newBatch(missing, r.From.Name))
	}
	r.setPhase(RollingBack, reason, now)
}

// advanceRollback changes a roll-back to its next state and returns false if nothing changes. The new
// version's replicas are cancelled once the restored replicas of the old version are healthy, or
// after a timeout if some of them do not run. The roll-back ends when the restored replicas are
// healthy and the cancelled jobs have ended.
func (r *Run) advanceRollback(service *Service, observed *Observation, now time.Time) bool {
	remaining := append(slices.Clone(r.Old), r.Restore...)
	restored := observed.healthy(r.Restore) >= countReplicas(r.Restore)
	timeout := restoreTimeout
	if r.Outcome == Aborted {
		timeout = max(timeout, seconds(r.Spec.PlaceS)) // the new replicas may be healthy, so wait longer
	}
	lackCapacity := observed.running(r.Restore) < countReplicas(r.Restore) && r.timeInPhase(now) > timeout
	switch {
	case len(r.New) > 0 && (restored || lackCapacity):
		r.ToCancel = append(r.ToCancel, r.New...)
		r.New = nil
		return true
	case len(r.New) == 0 && restored && observed.ended(r.ToCancel):
		service.Version, service.Batches = r.From, remaining
		r.ToCancel = nil
		r.setPhase(r.Outcome, r.Reason, now)
		return true
	}
	return false
}

// Verbs that operators can apply to a roll-out.
const (
	VerbPause  = "pause"
	VerbResume = "resume"
	VerbAbort  = "abort"
)

// ApplyVerb applies an operator's verb to a roll-out. Its errors wrap ErrInput.
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

// Plan returns a new roll-out of a service, in the phase Pending. Its errors name the invalid field
// of the spec.
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
