package submission

import (
	"sync"

	"github.com/wallrack/wallrack/internal/wire"
)

// maxEndedJobs is the number of ended jobs whose final states are retained.
const maxEndedJobs = 10_000

// endedJobs retains final states that were read from the state service. A final state never
// changes. It is safe for concurrent use. The zero value is empty.
type endedJobs struct {
	mu     sync.Mutex
	states map[string]wire.JobState // by job
	order  []string                 // jobs, the one retained longest first
}

// get returns a job's final state, if it is retained.
func (e *endedJobs) get(uid string) (wire.JobState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state, ok := e.states[uid]
	return state, ok
}

// add retains a job's final state. Beyond maxEndedJobs, the job retained longest is dropped.
func (e *endedJobs) add(state wire.JobState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.states[state.UID]; known {
		return
	}
	if e.states == nil {
		e.states = map[string]wire.JobState{}
	}
	if len(e.order) == maxEndedJobs {
		delete(e.states, e.order[0])
		e.order = e.order[1:]
	}
	e.states[state.UID] = state
	e.order = append(e.order, state.UID)
}
