package rollout

import (
	"fmt"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/wire"
)

// Batch is a job with replicas of one version of a service.
type Batch struct {
	UID      string `json:"uid"`
	Replicas int    `json:"replicas"`
	Version  string `json:"version"`
}

// Service is a service as it is recorded.
type Service struct {
	Name     string   `json:"name"`
	Replicas int      `json:"replicas"`
	Template wire.Job `json:"template"`
	Version  Version  `json:"version"` // that runs, or is to be restored
	Batches  []Batch  `json:"batches"`
}

// Phase is how far a roll-out is.
type Phase string

// Phases. The last three are final.
const (
	Pending     Phase = "pending"
	WaitingSlot Phase = "waiting-for-slot"
	Placing     Phase = "placing"  // the step's new replicas start
	Soaking     Phase = "soaking"  // they stay healthy for a while
	Retiring    Phase = "retiring" // as many old ones are cancelled
	Paused      Phase = "paused"
	RollingBack Phase = "rolling-back"
	Done        Phase = "done"
	Aborted     Phase = "aborted"  // ended by an operator, the old version restored
	Restored    Phase = "restored" // health failed, the old version restored
)

// Final reports whether nothing follows.
func (p Phase) Final() bool { return p == Done || p == Aborted || p == Restored }

// Run is a roll-out as it is recorded.
type Run struct {
	ID            int     `json:"id"` // counts a service's roll-outs
	Spec          Spec    `json:"spec"`
	From          Version `json:"from"`
	Targets       []int   `json:"targets"` // new replicas after each step
	Step          int     `json:"step"`    // index of the step in progress
	Phase         Phase   `json:"phase"`
	ResumePhase   Phase   `json:"resume,omitempty"` // of a paused one
	Reason        string  `json:"why,omitempty"`
	Outcome       Phase   `json:"outcome,omitempty"` // that a roll-back ends in
	New           []Batch `json:"new"`               // submitted, or to be
	Old           []Batch `json:"old"`               // not retired
	Restore       []Batch `json:"restore,omitempty"` // old version, submitted again by a roll-back
	ToCancel      []Batch `json:"drop,omitempty"`    // to be cancelled, perhaps again
	Losses        int     `json:"lost,omitempty"`    // times that replicas were lost while soaking, in this step
	Seq           int     `json:"seq"`               // numbers the jobs
	PhaseSince    int64   `json:"since"`             // when the phase began; this and the next ones in ms of Unix time
	RollbackSince int64   `json:"verdict,omitempty"` // when a roll-back was decided
	Begun         int64   `json:"begun"`
	Ended         int64   `json:"ended,omitempty"`
}

// countReplicas counts the replicas of batches.
func countReplicas(batches []Batch) (n int) {
	for _, batch := range batches {
		n += batch.Replicas
	}
	return n
}

// newBatch makes the next job of a roll-out. Its id is never used for another.
func (r *Run) newBatch(replicas int, version string) Batch {
	r.Seq++
	return Batch{UID: fmt.Sprintf("j-svc-%s-%d-%d", r.Spec.Service, r.ID, r.Seq), Replicas: replicas, Version: version}
}

// setPhase begins a phase.
func (r *Run) setPhase(p Phase, why string, now time.Time) {
	r.Phase, r.Reason, r.PhaseSince = p, why, now.UnixMilli()
	if p.Final() {
		r.Ended = r.PhaseSince
	}
}

// timeInPhase is the time since the phase began.
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
