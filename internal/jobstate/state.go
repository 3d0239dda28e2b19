// Package jobstate is the state of a shard leader in memory: the living jobs of its shards,
// the placements of their tasks, the workers, and what each team uses. Its methods keep
// these consistent with one another, and note what follows from a change: log records to be
// written, accounting rows, and instructions for the dispatchers of workers. They do no
// input or output and take no lock.
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

// State is everything that a leader knows of its shards. It is owned by the scheduler's
// event loop and by the packages that decide for it (planner, reconcile, quota, shardlog):
// each of them holds Mu around every use, and none holds it over input or output.
type State struct {
	Mu sync.Mutex

	Platform     *config.Platform
	Operator     *config.Operator
	Member       Membership
	MachineTypes MachineTypes
	// Cancellations are the cancelled jobs known here, this leader's and others'; nil: none.
	Cancellations Cancellations
	// AccountingEnabled says whether accounting rows are made.
	AccountingEnabled bool

	PlanSignal  chan struct{} // tasks may be placeable
	WriteSignal chan struct{} // there is something to write
	SendSignal  chan struct{} // Outbox has something

	Loaded   map[int]uint64 // shard -> version of its key when loaded
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
	Final          map[string]jobrecord.FinalRecord // of jobs that ended here, for answers

	Unwritten map[int][]Change                  // by shard: changes for the next log record
	LooseRows []accounting.Row                  // of attempts whose end needs no log record
	Outbox    map[string]*dispatch.Instructions // by dispatcher

	AdmittedWork float64                  // CPU-seconds, since this process began
	Arriving     map[string]*ArrivingWork // by class
	SpotDone     float64                  // recent tasks of spot machines that were done, and lost
	SpotLost     float64
	Stats        Stats
	Ended        Tally // of jobs that ended here

	log *slog.Logger
}

// New returns the state of a leader without shards.
func New(platform *config.Platform, operator *config.Operator, member Membership, types MachineTypes, log *slog.Logger) *State {
	s := &State{
		Platform: platform, Operator: operator, Member: member, MachineTypes: types, log: log,
		PlanSignal: make(chan struct{}, 1), WriteSignal: make(chan struct{}, 1), SendSignal: make(chan struct{}, 1),
		Loaded: map[int]uint64{}, Jobs: map[string]*Job{}, Workers: map[string]*Worker{},
		Teams: map[string]*Team{}, Classes: map[string]*Class{}, Final: map[string]jobrecord.FinalRecord{},
		Unwritten: map[int][]Change{}, Outbox: map[string]*dispatch.Instructions{},
		Arriving: map[string]*ArrivingWork{}, Ended: Tally{},
	}
	for _, t := range platform.Params.Teams {
		s.Teams[t.Name] = &Team{Team: t}
	}
	return s
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Stats are counters for operators.
type Stats struct {
	Placed              int `json:"Placed"`
	Duplicates          int `json:"Duplicates"`
	Granted             int `json:"Granted"`
	Refused             int `json:"Refused"`
	Lost                int `json:"Lost"`
	Done                int `json:"Done"`
	Errors              int `json:"Errors"`
	Preempted           int `json:"Preempted"`
	Evacuated           int `json:"Evacuated"`
	LeaseExpiring       int `json:"Expiring"`
	Failovers           int `json:"Takeovers"`
	QuotaRecordsRefused int `json:"LentRefused"`
}

// PassShare is how many times longer than a scheduling pass the pause after it is.
const PassShare = 4

// Notify makes a signal pending; one that is pending already stands for this one too.
func Notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (s *State) WorkerOf(name string) *Worker {
	worker := s.Workers[name]
	if worker == nil {
		worker = &Worker{Index: len(s.WorkersByIndex), Name: name, KnownSince: time.Now(), Placements: map[*Placement]struct{}{},
			Images: map[int]*CachedImage{}, Failures: map[string]int{}}
		s.Workers[name] = worker
		s.WorkersByIndex = append(s.WorkersByIndex, worker)
	}
	return worker
}

// owns reports whether the job's shard is surely this controller's, as it was loaded.
func (s *State) OwnsJob(job *Job) bool {
	version, ok := s.Member.OwnsShard(job.Shard)
	return ok && version == s.Loaded[job.Shard]
}
