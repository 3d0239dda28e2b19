package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// StageIfTaskMayRun is the stage that users are told of a live job while it is not known whether a task
// of it is running. A job that is certainly accepted, not ended and not cancelled always has a stage.
const StageIfTaskMayRun = wire.StageRunning

// PublicState returns the state of a live job that this controller leads, as it is reported to users. After
// a failover the leader may not know yet whether a task that a predecessor started is running: the job is
// then reported as running, so that users get an answer however often the leader changes. The counts are
// those of tasks that are known to be done and to run.
func (s *State) PublicState(job *Job, now time.Time) wire.JobState {
	state := wire.JobState{UID: job.Spec.UID, Stage: wire.StageQueued, Done: job.Done, Running: job.Running}
	switch {
	case job.Cancelled:
		state.Stage, state.Running = wire.StageCancelled, 0
	case job.Running > 0:
		state.Stage = wire.StageRunning
	case s.MayRunUnseen(job, now):
		state.Stage = StageIfTaskMayRun
	}
	return state
}
