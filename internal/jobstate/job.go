package jobstate

import (
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// Job is a living job: one that was accepted and whose end is not recorded yet.
type Job struct {
	Spec        *wire.Job
	Shard       int
	Version     uint64 // of its live record
	AcceptedAt  time.Time
	AcceptedMs  int64 // AcceptedAt as its record has it, in milliseconds since 1970
	Class       *Class
	Team        *Team
	Resources   matching.Resources // of one task
	Constraints *ConstraintState   // nil: it has none
	Large       bool               // it is one of its class's largest

	Cancelled      bool // the state service has recorded its cancel
	PendingCancels PendingCancels
	EndStage       string // final stage, once nothing is left to do; "": not yet
	EndWriteSent   bool   // the outcome of the write of its end is pending

	Chunks     []*Chunk
	Pending    []int                // tasks without a placement; the last is placed first
	Placements map[int][]*Placement // by task; a task without a placement has no entry
	Done       int                  // tasks that completed
	Finished   int                  // tasks that are done, failed or cancelled individually
	Running    int                  // placements that were seen to run
	ObservedStarts    int                  // tasks that were ever seen to run
	StartedAt    time.Time            // when its first task was seen to run, or the last one of a gang
	Zones      map[string]int       // placements by which a task may run, by zone
	Unzoned    int                  // those in a zone that is not known yet, which may be any
	RunTimes   Average              // of its tasks, in seconds

	Errors    int               // attempts that ended with an error or by an unknown cause
	FailedOn  map[int]bool      // indices of workers on which a task failed, until one was done
	Faulty    bool              // it failed on several workers and on none was a task of it done
	NotBefore time.Time         // no task is placed until then
	AvoidUntil     map[int]time.Time // by worker index: no task is placed there until then
	Evicted   map[int]bool      // tasks that were stopped to empty a worker
	Tier      int               // number of its limits that it cannot keep, by the last triage

	requirements Requirements // computed by the first call of Requirements
	deadlines   []float64    // computed by the first call of State.Limits
}

// Requirements is what a job requires of a worker, its image aside: jobs with equal
// requirements fit on the same workers. Values can be compared and used as map keys.
type Requirements struct {
	resources   matching.Resources
	zone, types string
	spot        bool
}

// Requirements returns what the job requires of a worker.
func (j *Job) Requirements() Requirements {
	if j.requirements == (Requirements{}) {
		j.requirements = Requirements{resources: j.Resources, types: strings.Join(j.Spec.Types, "\x00"), spot: j.Spec.Spot}
		if j.Spec.Zone != nil {
			j.requirements.zone = *j.Spec.Zone
		}
	}
	return j.requirements
}

// ChunkOf returns the chunk of a task.
func (j *Job) ChunkOf(task int) *Chunk { return j.Chunks[task/jobrecord.ChunkSize] }

// RecordStarted notes that a task of the job was seen to run, or to have run. Only the first
// time counts, for a gang the first one after all its tasks were started.
func (j *Job) RecordStarted(at time.Time) {
	if j.StartedAt.IsZero() && (!j.Spec.Gang() || j.ObservedStarts >= j.Spec.Tasks) {
		j.StartedAt = at
	}
}

// ActiveTasks counts the tasks other than except that have a placement which has not exited;
// with grantedOnly, one by which the task may run. No task has the number -1.
func (j *Job) ActiveTasks(grantedOnly bool, except int) int {
	n := 0
	for task, placements := range j.Placements {
		for _, placement := range placements {
			if task != except && !placement.Exited && (placement.MayRun() || !grantedOnly) {
				n++
				break
			}
		}
	}
	return n
}

// PublicState returns the job's state as clients see it.
func (j *Job) PublicState() wire.JobState {
	state := wire.JobState{UID: j.Spec.UID, Stage: wire.StageQueued, Done: j.Done, Running: j.Running}
	switch {
	case j.Cancelled:
		state.Stage, state.Running = wire.StageCancelled, 0
	case j.Running > 0:
		state.Stage = wire.StageRunning
	}
	return state
}
