// Package scheduler is the life of jobs at the controller that owns their shard:
// their tasks' places, the single grant to start, completions, cancels, and
// what is written of it in the state service before it is acted on.
package scheduler

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/recent"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

// Store is what owners need of the state service.
type Store interface {
	Reader
	Lister
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	// BulkTxn is Txn for writes that must not hold up others.
	BulkTxn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	Watch(ctx context.Context, prefix string, hold time.Duration, reset func([]wire.Item), change func([]wire.Event))
}

// Lister reads all keys with a prefix.
type Lister interface {
	List(ctx context.Context, prefix string) ([]wire.Item, uint64, error)
}

// Cancellations is what this controller knows of cancelled jobs, its own and others'.
type Cancellations interface {
	IsCancelled(uid string) bool
	// RecordCancelled notes a cancel that the state service has.
	RecordCancelled(uids ...string)
}

// Membership is this controller's standing.
type Membership interface {
	Name() string
	LeaseRemaining() time.Duration
	OwnsShard(shard int) (version uint64, ok bool)
	ClaimedShards() map[int]uint64
	NextToken(ctx context.Context) (uint64, error)
	ShardKey(shard int) string
}

// Dispatchers carries directions to the holder of a machine.
type Dispatchers interface {
	SendInstructions(ctx context.Context, holder string, d dispatch.Instructions) (dispatch.Unlaunched, error)
}

// MachineTypes knows the cloud's machine types.
type MachineTypes interface {
	Type(name string) (wire.MachineType, bool)
}

// PlacementState is how far a place has come.
type PlacementState int

const (
	PlacementRecording   PlacementState = iota // being recorded; not at its holder yet
	PlacementRecorded                          // recorded; the holder may queue it
	PlacementGranted                           // may have been started
	PlacementReported                          // the worker reported it
	PlacementUnconfirmed                       // found in the store by a new owner
)

// Placement is a machine on which a task may be.
type Placement struct {
	Job           *Job
	Chunk         *Chunk
	Task          int
	Attempt       uint64
	Worker        *Worker
	Ref           dispatch.TaskRef
	State         PlacementState
	MaxToken      uint64 // highest token a start command may carry
	MinToken      uint64 // lowest token for which the start was granted
	Session       uint64 // highest session a start command may be for
	InStore       bool   // the store may know of it
	PlannedWait   float64
	CreatedAt     time.Time
	SentTo        string // holder that was told
	SentAt        time.Time
	GrantedAt     time.Time // first
	RunningSince  time.Time // when it was first seen running
	StartObserved bool      // its start was seen, so its run time is known
	LastHaltAt    time.Time // when it was last told to stop
	HaltedAt      time.Time // when it was first told to stop
	Exited        bool      // done, kept until the completion is recorded
	ExitCode      int       // exit code, if it ended with one
	ExitCause     string    // with which it exited
	Accounted     bool      // its accounting row was made
	TimedOut      bool      // stopped because it ran over its job's time limit
	SeenInView    uint64    // the last view that listed it, see Scheduler.views
}

func (p *Placement) MayRun() bool { return p.State >= PlacementGranted }

// Chunk is a run of a job's tasks that share a record.
type Chunk struct {
	Number      int
	Version     uint64 // of its own record; 0: it has none
	SavedSeq    uint64 // log record up to which its own record speaks
	DoneBits    []byte
	NextAttempt uint64
	Placements  []*Placement
	Job         *Job
	Closed      bool                // the job has ended, or left this owner
	Failed      map[int]TaskFailure // tasks that are over and not done; their bits are set in done
}

func (c *Chunk) IsDone(task int) bool {
	i := task % ChunkSize
	return c.DoneBits[i/8]&(1<<(i%8)) != 0
}

func (c *Chunk) SetDone(task int) {
	i := task % ChunkSize
	c.DoneBits[i/8] |= 1 << (i % 8)
}

// Job is a living job.
type Job struct {
	Spec           *wire.Job
	Shard          int
	Version        uint64
	AcceptedAt     time.Time
	AcceptedMs     int64
	Cancelled      bool
	PendingCancels PendingCancels
	EndStage       string // stage to finish with
	EndWriteSent   bool   // the write of its end is out
	Chunks         []*Chunk
	Pending        []int // tasks with no place, a stack
	Placements     map[int][]*Placement
	Done           int
	Running        int
	Resources      matching.Resources
	requirements   Requirements // once it was asked for
	Class          *Class
	Team           *Team
	RunTimes       Average
	Errors         int
	FailedOn       map[int]bool // machines on which its tasks failed, until one was done
	Faulty         bool         // it fails wherever it is tried, see failed
	NotBefore      time.Time
	Avoid          map[int]time.Time
	Zones          map[string]int
	Unzoned        int              // places that count in every zone
	Started        int              // tasks that were ever seen running
	doneLimits     []float64        // see limits
	Evicted        map[int]bool     // tasks that were stopped to empty a machine
	Constraints    *ConstraintState // what its terms ask; nil: it has none
	Large          bool             // it is one of its class's largest
	BegunAt        time.Time        // when its first task was seen to run, of a gang the last
	Tier           int              // limits that it has to let pass, see triage
	Finished       int              // tasks that are done, failed or cancelled alone
}

// Class is what was learnt of a class of jobs.
type Class struct {
	Name          string
	EstimateRatio float64 // real run time to the owner's estimate
	RunTimes      Average
	StartAims     []float64 // aims for its tasks' starts, in seconds
	Sizes         Sizes
}

// Team is a team's use.
type Team struct {
	config.Team
	Used   matching.Resources // of all that may be on
	Leased *LeasedLimit       // nil: the whole limit is this owner's
}

type CachedImage struct {
	SizeGB float64
	UsedAt time.Time
}

// Worker is a machine as its views show it.
type Worker struct {
	Index         int
	Name          string
	View          dispatch.WorkerView
	ViewAt        time.Time // when the view came; zero if none did
	LastHeartbeat time.Time // when the report in it came to its holder
	KnownSince    time.Time // when this owner first knew of it
	// RenewedAt is when a report of its worker was last answered, by any controller; askedAt
	// when it was last asked for one for want of that, unanswered how often in vain.
	RenewedAt, PolledAt time.Time
	UnansweredPolls     int
	RenewedSession      uint64    // the session in which it was
	LastReport          time.Time // when its worker last reported by itself
	Matrix              matching.WaitMatrix
	RoomReserved        bool // the matrix holds room for this pass only
	Placements          map[*Placement]struct{}
	MaxToken            uint64 // the highest that a start command for it may carry by a grant from here
	Images              map[int]*CachedImage
	NoticeAt            time.Time // when the cloud takes it, if it said so
	RecentDone          float64
	RecentLost          float64
	Failures            map[string]int // errors there since a task was last done there, by job
	// UnresponsiveSince is since when what was sent to the machine had no effect, as its reports
	// show; zero: it had. See heeds.
	UnresponsiveSince   time.Time
	UnresponsiveReports int  // reports in a row that showed it
	CommandObserved     bool // a start was seen to have come through
	RespondedAt         time.Time
	Gone                bool
	Cordoned            bool // the fleet wants it empty
	// OccupiedFor is for how many seconds a closing machine stays occupied by tasks that
	// are not stopped, as of the pass in progress. See staysOccupied.
	OccupiedFor float64
	// RecordedFailover is the last takeover whose records had tasks on it.
	RecordedFailover int
	Type             wire.MachineType
}

// Scheduler owns jobs.
type Scheduler struct {
	LogSlots          int           // log records of a shard that are kept before they are written over; set it before Run
	AccountingEnabled bool          // whether accounting rows are written; set it before Run
	Cancellations     Cancellations // what is known of cancels, its own and others'; nil: nothing. Set it before Run
	RemoteJobs        RemoteJobs    // answers for jobs that other owners have; set it before Run

	cfg     *config.Platform
	op      *config.Operator
	store   Store
	member  Membership
	holders Dispatchers
	types   MachineTypes
	log     *slog.Logger
	teams   map[string]*Team

	wake  chan struct{} // place again
	flush chan struct{} // write
	out   chan struct{} // direct holders

	keptMu sync.Mutex
	kept   []deferredView // see keep

	mu       sync.Mutex
	fence    uint64         // the highest token that an earlier owner may have granted a start for
	loaded   map[int]uint64 // shard -> version of its key when loaded
	listed   map[int]uint64 // shard -> revision of the listing of living jobs that it was loaded with
	loadedAt time.Time
	tenure   uint64        // counts the times that this owner began to own jobs
	loading  bool          // shards are being read
	early    []earlyRecord // what came in the meantime
	jobs     map[string]*Job
	order    []*Job
	machines map[string]*Worker
	byIndex  []*Worker
	returned *recent.Set // machines that the cloud deleted: late views of them say nothing
	now      time.Time   // when the pass in progress began

	preemptAt int                             // machine that preemption looked at last
	rooms     map[Requirements][]*Worker      // see roomFor
	cachers   map[imageRequirements][]*Worker // see caching
	views     uint64                          // counts views, to tell which places one lists
	arena     []matching.Candidate            // see batch
	options   []matching.Candidate
	images    wire.Index
	classes   map[string]*Class
	logs      map[int]*Log
	open      *Transaction           // a transaction whose outcome is open
	final     map[string]FinalRecord // of jobs that ended here, for answers
	finalQ    []string
	garbage   []string // chunk keys of ended jobs
	pend      map[string]*dispatch.Instructions
	admitted  float64                  // CPU-seconds of work
	arriving  map[string]*ArrivingWork // by class
	triagedAt time.Time
	flood     map[int]bool // ranks of which there is more work than can be done even late
	spotDone  float64
	spotLost  float64
	stats     Stats
	over      Tally // of jobs that ended here
	book      *accounting.Book
	loose     []accounting.Row // of attempts whose end needs no record
	lender    *lender          // nil: limits are not lent
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

// New returns an owner of nothing yet.
func New(cfg *config.Platform, op *config.Operator, store Store, member Membership, holders Dispatchers, types MachineTypes, log *slog.Logger) *Scheduler {
	o := &Scheduler{
		LogSlots: defaultSlots,
		cfg:      cfg, op: op, store: store, member: member, holders: holders, types: types, log: log,
		teams: map[string]*Team{},
		wake:  make(chan struct{}, 1), flush: make(chan struct{}, 1), out: make(chan struct{}, 1),
		loaded: map[int]uint64{}, listed: map[int]uint64{}, jobs: map[string]*Job{}, machines: map[string]*Worker{}, returned: recent.NewSet(maxGone), classes: map[string]*Class{},
		rooms: map[Requirements][]*Worker{}, cachers: map[imageRequirements][]*Worker{}, logs: map[int]*Log{}, final: map[string]FinalRecord{}, arriving: map[string]*ArrivingWork{}, over: Tally{}, flood: map[int]bool{}, pend: map[string]*dispatch.Instructions{},
	}
	for _, t := range cfg.Params.Teams {
		o.teams[t.Name] = &Team{Team: t}
	}
	if LeasesQuota(op) {
		o.lender = newLender(cfg, op, o.teams)
	}
	return o
}

// passShare is how many times longer than a scheduling pass the pause after it
// is.
const passShare = 4

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// OwnershipChanged tells the owner that ownership may have changed.
func (o *Scheduler) OwnershipChanged() { poke(o.wake) }

// Run owns jobs until ctx ends.
func (o *Scheduler) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){o.write, o.direct, o.watch, o.attend, o.lend} {
		wg.Add(1)
		go func() { defer wg.Done(); f(ctx) }()
	}
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	var sweep time.Time
	var took time.Duration
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-o.wake:
		}
		o.syncShards(ctx)
		start := time.Now()
		o.mu.Lock()
		o.observeKept()
		o.triage()
		o.place()
		if time.Since(sweep) > time.Second {
			sweep = time.Now()
			if o.member.LeaseRemaining() > 0 {
				// Else a successor may own these tasks already.
				o.lookAgain()
				o.evacuate()
			}
			o.sweep()
		}
		o.mu.Unlock()
		took = time.Since(start)
		usage.Count(usage.Passes, start)
		// Gather what comes in the meantime into one batch, and keep passes
		// to a small part of the processor, however long they take.
		select {
		case <-ctx.Done():
		case <-time.After(20*time.Millisecond + passShare*took):
		}
	}
	wg.Wait()
	return ctx.Err()
}

// OwnershipEpoch is 0 while this owner has no jobs, and so ignores views, and another number each
// time that it comes to have some: who told it of machines before has to tell it again.
func (o *Scheduler) OwnershipEpoch() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.loaded) == 0 {
		return 0
	}
	return o.tenure
}

func (o *Scheduler) machineOf(name string) *Worker {
	m := o.machines[name]
	if m == nil {
		m = &Worker{Index: len(o.byIndex), Name: name, KnownSince: time.Now(), Placements: map[*Placement]struct{}{},
			Images: map[int]*CachedImage{}, Failures: map[string]int{}}
		o.machines[name] = m
		o.byIndex = append(o.byIndex, m)
	}
	return m
}
