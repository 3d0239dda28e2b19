package rollout

import (
	"fmt"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/wire"
)

// Batch is a job that runs replicas of one version of a service.
type Batch struct {
	UID      string `json:"uid"`
	Replicas int    `json:"replicas"`
	Version  string `json:"version"`
}

// Service is the stored record of a service.
type Service struct {
	Name     string   `json:"name"`
	Replicas int      `json:"replicas"`
	Template wire.Job `json:"template"`
	Version  Version  `json:"version"` // version of the last completed roll-out, which a roll-back restores
	Batches  []Batch  `json:"batches"`
}

// Phase is the state of a roll-out in its state machine.
type Phase string

// Phases. The last three are final.
const (
	Pending     Phase = "pending"
	WaitingSlot Phase = "waiting-for-slot"
	Placing     Phase = "placing"  // the step's new replicas start and become healthy
	Soaking     Phase = "soaking"  // the new replicas must stay healthy for Spec.SoakS
	Retiring    Phase = "retiring" // old replicas that are no longer needed are cancelled
	Paused      Phase = "paused"
	RollingBack Phase = "rolling-back"
	Done        Phase = "done"
	Aborted     Phase = "aborted"  // ended by an operator, the old version restored
	Restored    Phase = "restored" // health failed, the old version restored
)

// Final reports whether the roll-out has ended.
func (p Phase) Final() bool { return p == Done || p == Aborted || p == Restored }

// Run is the stored record of a roll-out.
type Run struct {
	ID            int     `json:"id"` // 1 for a service's first roll-out
	Spec          Spec    `json:"spec"`
	From          Version `json:"from"`
	Targets       []int   `json:"targets"` // number of new replicas after each step
	Step          int     `json:"step"`    // index of the step in progress
	Phase         Phase   `json:"phase"`
	ResumePhase   Phase   `json:"resume,omitempty"` // phase in which a paused roll-out resumes
	Reason        string  `json:"why,omitempty"`
	Outcome       Phase   `json:"outcome,omitempty"` // final phase; set when a roll-back begins
	New           []Batch `json:"new"`               // batches of the new version, already submitted or to be submitted
	Old           []Batch `json:"old"`               // batches of the old version that are not retired
	Restore       []Batch `json:"restore,omitempty"` // batches of the old version that a roll-back submits
	ToCancel      []Batch `json:"drop,omitempty"`    // batches to cancel; cancelling again is harmless
	Losses        int     `json:"lost,omitempty"`    // how often replicas were lost while this step was soaking
	Seq           int     `json:"seq"`               // number of the latest job
	PhaseSince    int64   `json:"since"`             // start of the phase; this and the following times are in Unix ms
	RollbackSince int64   `json:"verdict,omitempty"` // start of the roll-back, 0 if there was none
	Begun         int64   `json:"begun"`
	Ended         int64   `json:"ended,omitempty"`
}

// countReplicas returns the total of the replicas of batches.
func countReplicas(batches []Batch) (n int) {
	for _, batch := range batches {
		n += batch.Replicas
	}
	return n
}

// newBatch returns the next batch of a roll-out, with a job id that no other batch has.
func (r *Run) newBatch(replicas int, version string) Batch {
	r.Seq++
	return Batch{UID: fmt.Sprintf("j-svc-%s-%d-%d", r.Spec.Service, r.ID, r.Seq), Replicas: replicas, Version: version}
}

// setPhase changes the phase, with the reason for the change.
func (r *Run) setPhase(p Phase, reason string, now time.Time) {
	r.Phase, r.Reason, r.PhaseSince = p, reason, now.UnixMilli()
	if p.Final() {
		r.Ended = r.PhaseSince
	}
}

// timeInPhase returns the time since the phase began.
func (r *Run) timeInPhase(now time.Time) time.Duration { return now.Sub(time.UnixMilli(r.PhaseSince)) }

// clone returns a deep copy.
func (r *Run) clone() (*Run, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("copy roll-out: %w", err)
	}
	var c Run
	return &c, json.Unmarshal(data, &c)
}
