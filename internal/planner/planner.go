// Package planner decides on which workers the tasks of live jobs are placed. A scheduling pass
// (Pass) matches waiting tasks to workers by the lowest estimated completion time within their
// teams' limits, and makes room for urgent ones by preemption. Rebalance finds other workers
// for queued tasks that wait too long, Evict empties workers that are to be scaled in, Triage
// determines under overload which jobs can still meet their deadlines, and Demand describes the
// load to the autoscaler.
//
// A Planner only changes jobstate.State: it does no input or output, grants no starts and sends
// nothing. The instructions for dispatchers are collected in the state. Callers of Pass,
// Rebalance, Evict, Triage and SortJobs hold the state's Mu; the methods called by the
// autoscaler lock it themselves.
package planner

import (
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

// Planner holds what is carried over between passes, and the scratch space of a pass. It is
// guarded by the Mu of its state.
type Planner struct {
	state *jobstate.State

	lastPreemptIndex int          // counter of workers examined for preemption; modulo len(schedulable), the index of the last one
	triagedAt        time.Time    // time of the last run of Triage
	overloaded       map[int]bool // priorities that Triage found to be overloaded

	// Caches and scratch space of the current pass.
	roomCache  map[jobstate.Requirements][]*jobstate.Worker // see workersWithRoom
	imageCache map[imageRequirements][]*jobstate.Worker     // see workersWithImage
	arena      []matching.Candidate                         // see batchCandidates
	jobScratch []matching.Candidate                         // see batchCandidates
}

// New returns a planner for the jobs in state.
func New(state *jobstate.State) *Planner {
	return &Planner{
		state:      state,
		overloaded: map[int]bool{},
		roomCache:  map[jobstate.Requirements][]*jobstate.Worker{},
		imageCache: map[imageRequirements][]*jobstate.Worker{},
	}
}

// heartbeatTimeout returns the age of a worker's last heartbeat above which no task is placed on
// the worker.
func (p *Planner) heartbeatTimeout() time.Duration {
	return config.Seconds(3*p.state.Platform.Params.Workers.ReportS + 1)
}
