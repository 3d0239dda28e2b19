package jobstate

import (
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// Requirements is what a job asks of a machine, image apart: jobs alike in it have room
// on the same machines.
type Requirements struct {
	shape       matching.Resources
	zone, types string
	spot        bool
}

func (job *Job) Requirements() Requirements {
	if job.requirements == (Requirements{}) {
		job.requirements = Requirements{shape: job.Resources, types: strings.Join(job.Spec.Types, "\x00"), spot: job.Spec.Spot}
		if job.Spec.Zone != nil {
			job.requirements.zone = *job.Spec.Zone
		}
	}
	return job.requirements
}

// RunEstimate is the expected run time of a task of the job.
func (job *Job) RunEstimate() float64 {
	switch {
	case job.RunTimes.Count >= 2:
		return job.RunTimes.Mean()
	case job.Spec.Estimate > 0:
		return job.Spec.Estimate * job.Class.EstimateRatio
	case job.Class.RunTimes.Count > 0:
		return job.Class.RunTimes.Mean()
	}
	return 60
}

func (job *Job) DueAt() float64 {
	at := float64(job.AcceptedMs) / 1000
	if job.Spec.DueS != nil {
		return at + *job.Spec.DueS
	}
	return at + 60
}

// FinalOutcome says how an exit ends its task for good, or 0.
func (job *Job) FinalOutcome(placement *Placement, t *dispatch.TaskView) TaskOutcome {
	if t.Exit != nil {
		placement.ExitCode = *t.Exit & 0xff
	}
	switch {
	case job.Constraints == nil || job.Cancelled || placement.Chunk.IsDone(placement.Task):
		return 0
	case placement.TimedOut:
		return OutcomeTimedOut
	case job.Constraints.NoRetry && t.Cause == wire.CauseError && t.Exit != nil:
		return OutcomeFailed
	}
	return 0
}

// Job is a living job.
type Job struct {
	Spec           *wire.Job
	Shard          int
	Version        uint64
	AcceptedAt     time.Time
	AcceptedMs     int64
	Cancelled      bool
	PendingCancels PendingCancels
	EndStage       string // stage to finish with
	EndWriteSent   bool   // the write of its end is out
	Chunks         []*Chunk
	Pending        []int // tasks with no place, a stack
	Placements     map[int][]*Placement
	Done           int
	Running        int
	Resources      matching.Resources
	requirements   Requirements // once it was asked for
	Class          *Class
	Team           *Team
	RunTimes       Average
	Errors         int
	FailedOn       map[int]bool // machines on which its tasks failed, until one was done
	Faulty         bool         // it fails wherever it is tried, see failed
	NotBefore      time.Time
	Avoid          map[int]time.Time
	Zones          map[string]int
	Unzoned        int              // places that count in every zone
	Started        int              // tasks that were ever seen running
	doneLimits     []float64        // see limits
	Evicted        map[int]bool     // tasks that were stopped to empty a machine
	Constraints    *ConstraintState // what its terms ask; nil: it has none
	Large          bool             // it is one of its class's largest
	BegunAt        time.Time        // when its first task was seen to run, of a gang the last
	Tier           int              // limits that it has to let pass, see triage
	Finished       int              // tasks that are done, failed or cancelled alone
}

// RecordBegin notes that a task of the job was seen to run, or to have run.
func (job *Job) RecordBegin(at time.Time) {
	if job.BegunAt.IsZero() && (!job.Spec.Gang() || job.Started >= job.Spec.Tasks) {
		job.BegunAt = at
	}
}

// ActiveTasks counts the tasks, but one, that have a place, or one where they may be on.
func (job *Job) ActiveTasks(on bool, but int) int {
	n := 0
	for task, ps := range job.Placements {
		for _, placement := range ps {
			if task != but && !placement.Exited && (placement.MayRun() || !on) {
				n++
				break
			}
		}
	}
	return n
}

func (job *Job) PublicState() wire.JobState {
	s := wire.JobState{UID: job.Spec.UID, Stage: wire.StageQueued, Done: job.Done, Running: job.Running}
	switch {
	case job.Cancelled:
		s.Stage, s.Running = wire.StageCancelled, 0
	case job.Running > 0:
		s.Stage = wire.StageRunning
	}
	return s
}
