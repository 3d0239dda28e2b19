// Package jobstate is the in-memory state of a shard leader: the live jobs of its shards, the
// placements of their tasks, the workers, and the use of each team. Its methods keep these
// consistent with one another, and queue the results of a change: log records, accounting rows,
// and instructions for the workers' dispatchers. They do no input or output, take no locks and
// make no decisions: package planner decides where a task runs, and package reconcile what a
// heartbeat implies.
package jobstate

import (
	"log/slog"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/wire"
)

// State is the state of a leader's shards. It is shared by the scheduler's event loop and the
// packages that make decisions for it (planner, reconcile, quota, shardlog). Each of them holds
// Mu around every use, including that of the jobs, workers, placements and teams reachable from
// the state, and none holds it during input or output. Only the interfaces, the settings and the
// signals, which are set before the scheduler starts, may be used without Mu.
type State struct {
	Mu sync.Mutex

	Platform     *config.Platform
	Operator     *config.Operator
	Membership   Membership
	MachineTypes MachineTypes
	// Cancellations holds the cancelled jobs known to this controller, including those of other
	// leaders; it may be nil.
	Cancellations Cancellations
	// AccountingEnabled reports whether accounting rows are created.
	AccountingEnabled bool

	PlanSignal  chan struct{} // tasks may be placeable
	WriteSignal chan struct{} // there are changes to write
	SendSignal  chan struct{} // there are instructions to send

	Loaded   map[int]uint64 // shards led by this controller: version of the shard's key when it was loaded
	LoadedAt time.Time      // time of the last failover
	// PredecessorToken is the highest fencing token for which an earlier leader may have granted
	// a start.
	PredecessorToken uint64
	Now              time.Time // start time of the current pass or decision

	Jobs           map[string]*Job
	JobOrder       []*Job // in the order in which this leader accepted or loaded them
	Workers        map[string]*Worker
	WorkersByIndex []*Worker // nil for deleted workers
	Teams          map[string]*Team
	Classes        map[string]*Class
	Images         wire.Index
	FinalRecords   map[string]jobrecord.FinalRecord // records of jobs that ended under this leader, for queries

	UnwrittenChanges map[int][]Change                  // changes for the next log record, by shard
	StandaloneRows   []accounting.Row                  // rows of attempts whose end needs no log record
	Outbox           map[string]*dispatch.Instructions // instructions to be sent, by dispatcher

	AdmittedWork float64                  // CPU-seconds accepted since this process started, see Planner.AdmittedWork
	Arriving     map[string]*ArrivingWork // by class
	SpotDone     float64                  // recent tasks done on spot workers, older ones with lower weight
	SpotLost     float64                  // recent tasks lost on spot workers, older ones with lower weight
	Stats        Stats
	EndedTally   Tally // counts of jobs that ended under this leader

	log *slog.Logger
}

// New returns the state of a leader without shards.
func New(platform *config.Platform, operator *config.Operator, member Membership, types MachineTypes, log *slog.Logger) *State {
	s := &State{
		Platform: platform, Operator: operator, Membership: member, MachineTypes: types, log: log,
		PlanSignal: make(chan struct{}, 1), WriteSignal: make(chan struct{}, 1), SendSignal: make(chan struct{}, 1),
		Loaded: map[int]uint64{}, Jobs: map[string]*Job{}, Workers: map[string]*Worker{},
		Teams: map[string]*Team{}, Classes: map[string]*Class{}, FinalRecords: map[string]jobrecord.FinalRecord{},
		UnwrittenChanges: map[int][]Change{}, Outbox: map[string]*dispatch.Instructions{},
		Arriving: map[string]*ArrivingWork{}, EndedTally: Tally{},
	}
	for _, t := range platform.Params.Teams {
		s.Teams[t.Name] = &Team{Team: t}
	}
	return s
}

// LeadsJob reports whether this controller is certain to lead the job's shard now, without
// interruption since the shard was loaded.
func (s *State) LeadsJob(job *Job) bool {
	return s.LeadsShard(job.Shard)
}

// LeadsShard reports whether this controller is certain to lead the shard now, without
// interruption since the shard was loaded.
func (s *State) LeadsShard(shard int) bool {
	version, ok := s.Membership.LeadsShard(shard)
	return ok && version == s.Loaded[shard]
}

// PassPauseFactor is the ratio of the pause after a scheduling pass to the duration of the pass.
const PassPauseFactor = 4

// Notify sends a signal without blocking. Signals that are not yet received are merged into one.
func Notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
