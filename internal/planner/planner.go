// Package planner decides on which workers the tasks of living jobs are placed. A
// scheduling pass (Pass) matches waiting tasks to workers by the lowest estimated
// completion within their teams' limits and makes room for urgent ones by preemption.
// Rebalance places queued tasks anew that wait too long, Evict empties workers that are to
// be scaled in, Triage finds under overload which jobs can still be done in time, and
// Demand describes the load to the autoscaler.
//
// A Planner changes jobstate.State only: it does no input or output, grants no start and
// sends nothing. What dispatchers are to do follows from the instructions that the state
// notes. Callers of Pass, Rebalance, Evict, Triage and SortJobs hold the state's Mu; the
// methods that the autoscaler calls take it themselves.
package planner

import (
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

// Planner holds what one pass leaves for the next ones, and the scratch space of a pass.
// It is guarded by the Mu of its state.
type Planner struct {
	state *jobstate.State

	lastPreemptIndex  int          // index of the worker at which preemption looked last
	triagedAt  time.Time    // when Triage last ran
	overloaded map[int]bool // priorities with more work than can be done even late

	// As of the pass in progress.
	roomCache map[jobstate.Requirements][]*jobstate.Worker // see workersWithRoom
	imageCache  map[imageRequirements][]*jobstate.Worker     // see workersCaching
	arena    []matching.Candidate                         // see batchCandidates
	jobScratch []matching.Candidate                         // see batchCandidates
}

// New returns a planner for the jobs of a state.
func New(state *jobstate.State) *Planner {
	return &Planner{
		state:      state,
		overloaded: map[int]bool{},
		roomCache:   map[jobstate.Requirements][]*jobstate.Worker{},
		imageCache:    map[imageRequirements][]*jobstate.Worker{},
	}
}

// heartbeatTimeout is the age of a worker's last heartbeat from which nothing is placed
// there.
func (p *Planner) heartbeatTimeout() time.Duration {
	return config.Seconds(3*p.state.Platform.Params.Workers.ReportS + 1)
}
