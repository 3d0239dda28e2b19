// Package jobstate is the state of a shard leader in memory: the living jobs of its shards,
// the placements of their tasks, the workers, and what each team uses. Its methods keep
// these consistent with one another, and note what follows from a change: log records to be
// written, accounting rows, and instructions for the dispatchers of workers. They do no
// input or output, take no lock and decide nothing: where a task runs is up to package
// planner, what a heartbeat means to package reconcile.
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

// State is everything that a leader knows of its shards. It is shared by the scheduler's
// event loop and the packages that decide for it (planner, reconcile, quota, shardlog):
// each of them holds Mu around every use, also of the jobs, workers, placements and teams
// reached through it, and none holds it over input or output. Only the interfaces, the
// settings and the signals, which are set before the scheduler starts, may be used without Mu.
type State struct {
	Mu sync.Mutex

	Platform     *config.Platform
	Operator     *config.Operator
	Membership   Membership
	MachineTypes MachineTypes
	// Cancellations are the cancelled jobs known here, this leader's and others'; nil: none.
	Cancellations Cancellations
	// AccountingEnabled states that accounting rows are made.
	AccountingEnabled bool

	PlanSignal  chan struct{} // tasks may be placeable
	WriteSignal chan struct{} // there is something to write
	SendSignal  chan struct{} // Outbox has something

	Loaded   map[int]uint64 // the shards led here: version of the shard's key when it was loaded
	LoadedAt time.Time      // of the last failover
	// PredecessorToken is the highest fencing token for which an earlier leader may have
	// granted a start.
	PredecessorToken uint64
	Now              time.Time // when the decision in progress began

	Jobs           map[string]*Job
	JobOrder       []*Job // in the order of acceptance here
	Workers        map[string]*Worker
	WorkersByIndex []*Worker // nil: deleted
	Teams          map[string]*Team
	Classes        map[string]*Class
	Images         wire.Index
	FinalRecords   map[string]jobrecord.FinalRecord // of jobs that ended here, for queries

	UnwrittenChanges      map[int][]Change                  // by shard: changes for the next log record
	StandaloneRows []accounting.Row                  // of attempts whose end needs no log record
	Outbox         map[string]*dispatch.Instructions // by dispatcher

	AdmittedWork float64                  // CPU-seconds accepted since this process began
	Arriving     map[string]*ArrivingWork // by class
	SpotDone     float64                  // tasks done on spot workers, decaying with each
	SpotLost     float64                  // tasks lost on spot workers, decaying with each
	Stats        Stats
	EndedTally   Tally // of jobs that ended here

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

// LeadsJob reports whether this controller surely leads the job's shard now, and has led it
// without interruption since the shard was loaded.
func (s *State) LeadsJob(job *Job) bool {
	return s.LeadsShard(job.Shard)
}

// LeadsShard reports whether this controller surely leads the shard now, and has led it
// without interruption since the shard was loaded.
func (s *State) LeadsShard(shard int) bool {
	version, ok := s.Membership.LeadsShard(shard)
	return ok && version == s.Loaded[shard]
}

// PassPauseFactor is the pause after a scheduling pass, as a multiple of the pass's duration.
const PassPauseFactor = 4

// Notify makes a signal pending, and never blocks. A signal that is pending already stands for
// this one too.
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
