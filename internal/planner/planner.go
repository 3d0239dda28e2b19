// Package planner decides where the tasks of living jobs go: a scheduling pass matches
// waiting tasks to workers by the lowest estimated completion within their teams' limits,
// makes room by preemption and eviction, moves queued tasks that wait too long, and sorts
// out, when there is more work than can be done in time, which jobs still can be. It changes
// the state only; dispatchers are told by what the state notes. Callers hold the state's Mu.
package planner

import (
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

// Planner keeps what passes hand on to one another, and the scratch space of a pass.
type Planner struct {
	state *jobstate.State

	preemptAt int          // index of the worker that preemption looked at last
	triagedAt time.Time    // when Triage last ran
	flooded   map[int]bool // priorities of which there is more work than can be done even late

	// As of the pass in progress.
	rooms   map[jobstate.Requirements][]*jobstate.Worker // see workersWithRoom
	cachers map[imageRequirements][]*jobstate.Worker     // see workersCaching
	arena   []matching.Candidate                         // see placeBatch
	options []matching.Candidate
}

// New returns a planner for the jobs of a state.
func New(state *jobstate.State) *Planner {
	return &Planner{
		state: state, flooded: map[int]bool{},
		rooms: map[jobstate.Requirements][]*jobstate.Worker{}, cachers: map[imageRequirements][]*jobstate.Worker{},
	}
}
