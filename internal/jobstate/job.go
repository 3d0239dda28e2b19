package jobstate

import (
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// Job is a live job: one that was accepted and whose end is not recorded yet.
type Job struct {
	Spec        *wire.Job
	Shard       int
	Version     uint64 // version of its live record
	AcceptedAt  time.Time
	AcceptedMs  int64 // AcceptedAt as recorded, in milliseconds since 1970
	Class       *Class
	Team        *Team
	Resources   matching.Resources // resources of one task
	Constraints *ConstraintState   // nil if the job has none
	Large       bool               // the job is one of its class's largest

	Cancelled      bool // the state service has recorded the job's cancel
	PendingCancels PendingCancels
	EndStage       string // final stage, set once no work is left; "" before that
	EndWriteSent   bool   // the write that records the job's end is in flight

	Chunks         []*Chunk
	Pending        []int                // tasks without a placement; the last one is placed first
	Placements     map[int][]*Placement // by task; a task without a placement has no entry
	Done           int                  // number of completed tasks
	Finished       int                  // number of tasks that are done, failed or cancelled individually
	Running        int                  // number of placements that are running, by heartbeats
	ObservedStarts int                  // number of times that a placement was first seen to run
	StartedAt      time.Time            // when the first task (for a gang: the last) was seen to run; zero if none was
	ZoneUse        ZoneUse              // counts the placements whose task may be running
	RunTimes       Average              // run times of its tasks, in seconds

	Errors     int               // number of attempts that ended with an error or for an unknown cause
	FailedOn   map[int]bool      // indices of workers on which a task failed; cleared when a task is done or the job is faulty
	Faulty     bool              // tasks failed on several workers and none was done since
	NotBefore  time.Time         // no task is placed before this time
	AvoidUntil map[int]time.Time // time before which no task is placed on a worker, by worker index
	Evicted    map[int]bool      // tasks that were evicted from a cordoned worker
	Tier       int               // number of deadlines that the job will miss, by the last triage

	requirements Requirements // computed by the first call of Requirements
	deadlines    []float64    // computed by the first call of State.Deadlines
}

// Requirements are a job's requirements for a worker, except its image: jobs with equal
// requirements fit on the same workers. Values are comparable and can be used as map keys.
type Requirements struct {
	resources   matching.Resources
	zone, types string
	spot        bool
}

// Requirements returns the job's requirements for a worker.
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

// RecordStarted records that a task of the job was seen to run, or to have run. Only the first
// call has an effect; for a gang, the first one after all its tasks have started.
func (j *Job) RecordStarted(at time.Time) {
	if j.StartedAt.IsZero() && (!j.Spec.Gang() || j.ObservedStarts >= j.Spec.Tasks) {
		j.StartedAt = at
	}
}

// ActiveTasks returns the number of tasks, other than except, with a placement that has not
// exited. If grantedOnly is true, the placement must also have been granted. An except of -1
// excludes no task.
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
