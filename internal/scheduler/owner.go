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

// Cancels is what this controller knows of cancelled jobs, its own and others'.
type Cancels interface {
	Has(uid string) bool
	// Learn notes a cancel that the state service has.
	Learn(uids ...string)
}

// Membership is this controller's standing.
type Membership interface {
	Name() string
	Held() time.Duration
	Owns(shard int) (version uint64, ok bool)
	Claimed() map[int]uint64
	Fresh(ctx context.Context) (uint64, error)
	ShardKey(shard int) string
}

// Holders carries directions to the holder of a machine.
type Holders interface {
	Direct(ctx context.Context, holder string, d dispatch.Direction) (dispatch.Unlaunched, error)
}

// Types knows the cloud's machine types.
type Types interface {
	Type(name string) (wire.MachineType, bool)
}

// placeState is how far a place has come.
type placeState int

const (
	placeWriting   placeState = iota // being recorded; not at its holder yet
	placeRecorded                    // recorded; the holder may queue it
	placeGranted                     // may have been started
	placeSeen                        // the worker reported it
	placeUnsettled                   // found in the store by a new owner
)

// place is a machine on which a task may be.
type place struct {
	job       *job
	chunk     *chunk
	task      int
	attempt   uint64
	mach      *mach
	ref       dispatch.Ref
	state     placeState
	token     uint64 // highest token a start command may carry
	least     uint64 // lowest token for which the start was granted
	session   uint64 // highest session a start command may be for
	logged    bool   // the store may know of it
	planned   float64
	made      time.Time
	sentTo    string // holder that was told
	sentAt    time.Time
	grantedAt time.Time // first
	running   time.Time // when it was first seen running
	whole     bool      // its start was seen, so its run time is known
	haltAt    time.Time // when it was last told to stop
	halted    time.Time // when it was first told to stop
	exited    bool      // done, kept until the completion is recorded
	exit      int       // exit code, if it ended with one
	cause     string    // with which it exited
	accounted bool      // its accounting row was made
	late      bool      // stopped because it ran over its job's time limit
	shownIn   uint64    // the last view that listed it, see Owner.views
}

func (p *place) on() bool { return p.state >= placeGranted }

// chunk is a run of a job's tasks that share a record.
type chunk struct {
	n       int
	version uint64 // of its own record; 0: it has none
	saved   uint64 // log record up to which its own record speaks
	done    []byte
	next    uint64
	places  []*place
	job     *job
	over    bool            // the job has ended, or left this owner
	failed  map[int]failure // tasks that are over and not done; their bits are set in done
}

func (c *chunk) isDone(task int) bool {
	i := task % chunkSize
	return c.done[i/8]&(1<<(i%8)) != 0
}

func (c *chunk) setDone(task int) {
	i := task % chunkSize
	c.done[i/8] |= 1 << (i % 8)
}

// job is a living job.
type job struct {
	spec      *wire.Job
	shard     int
	version   uint64
	accepted  time.Time
	atMs      int64
	cancelled bool
	cancels   openCancels
	ended     string // stage to finish with
	ending    bool   // the write of its end is out
	chunks    []*chunk
	pending   []int // tasks with no place, a stack
	places    map[int][]*place
	done      int
	running   int
	shape     matching.Shape
	key       roomKey // once it was asked for
	class     *class
	team      *team
	runs      average
	errors    int
	failedOn  map[int]bool // machines on which its tasks failed, until one was done
	faulty    bool         // it fails wherever it is tried, see failed
	notBefore time.Time
	avoid     map[int]time.Time
	zones     map[string]int
	unzoned   int          // places that count in every zone
	started   int          // tasks that were ever seen running
	ends      []float64    // see limits
	moved     map[int]bool // tasks that were stopped to empty a machine
	asked     *asked       // what its terms ask; nil: it has none
	large     bool         // it is one of its class's largest
	begunAt   time.Time    // when its first task was seen to run, of a gang the last
	tier      int          // limits that it has to let pass, see triage
	over      int          // tasks that are done, failed or cancelled alone
}

// class is what was learnt of a class of jobs.
type class struct {
	name   string
	ratio  float64 // real run time to the owner's estimate
	runs   average
	starts []float64 // aims for its tasks' starts, in seconds
	sizes  sizes
}

// team is a team's use.
type team struct {
	config.Team
	use  matching.Shape // of all that may be on
	lent *lentTeam      // nil: the whole limit is this owner's
}

type cached struct {
	gb   float64
	used time.Time
}

// mach is a machine as its views show it.
type mach struct {
	index int
	name  string
	view  dispatch.View
	at    time.Time // when the view came; zero if none did
	heard time.Time // when the report in it came to its holder
	since time.Time // when this owner first knew of it
	// renewed is when a report of its worker was last answered, by any controller; askedAt
	// when it was last asked for one for want of that, unanswered how often in vain.
	renewed, askedAt time.Time
	unanswered       int
	renewedIn        uint64    // the session in which it was
	reported         time.Time // when its worker last reported by itself
	matrix           matching.Matrix
	held             bool // the matrix holds room for this pass only
	places           map[*place]struct{}
	tokens           uint64 // the highest that a start command for it may carry by a grant from here
	images           map[int]*cached
	notice           time.Time // when the cloud takes it, if it said so
	done             float64
	lost             float64
	blame            map[string]int // errors there since a task was last done there, by job
	// deaf is since when what was sent to the machine had no effect, as its reports
	// show; zero: it had. See heeds.
	deaf     time.Time
	unheeded int  // reports in a row that showed it
	heeded   bool // a start was seen to have come through
	heededAt time.Time
	gone     bool
	closing  bool // the fleet wants it empty
	// occupiedFor is for how many seconds a closing machine stays occupied by tasks that
	// are not stopped, as of the pass in progress. See staysOccupied.
	occupiedFor float64
	// recorded is the last takeover whose records had tasks on it.
	recorded int
	kind     wire.MachineType
}

// Owner owns jobs.
type Owner struct {
	KeepSlots int     // log records of a shard that are kept before they are written over; set it before Run
	Accounts  bool    // whether accounting rows are written; set it before Run
	Cancels   Cancels // what is known of cancels, its own and others'; nil: nothing. Set it before Run
	Others    Others  // answers for jobs that other owners have; set it before Run

	cfg     *config.Platform
	op      *config.Operator
	store   Store
	member  Membership
	holders Holders
	types   Types
	log     *slog.Logger
	teams   map[string]*team

	wake  chan struct{} // place again
	flush chan struct{} // write
	out   chan struct{} // direct holders

	keptMu sync.Mutex
	kept   []keptView // see keep

	mu       sync.Mutex
	fence    uint64         // the highest token that an earlier owner may have granted a start for
	loaded   map[int]uint64 // shard -> version of its key when loaded
	listed   map[int]uint64 // shard -> revision of the listing of living jobs that it was loaded with
	loadedAt time.Time
	tenure   uint64  // counts the times that this owner began to own jobs
	loading  bool    // shards are being read
	early    []early // what came in the meantime
	jobs     map[string]*job
	order    []*job
	machines map[string]*mach
	byIndex  []*mach
	returned *recent.Set // machines that the cloud deleted: late views of them say nothing
	now      time.Time   // when the pass in progress began

	preemptAt int                  // machine that preemption looked at last
	rooms     map[roomKey][]*mach  // see roomFor
	cachers   map[cacheKey][]*mach // see caching
	views     uint64               // counts views, to tell which places one lists
	arena     []matching.Option    // see batch
	options   []matching.Option
	images    wire.Index
	classes   map[string]*class
	logs      map[int]*shardLog
	open      *batch                 // a transaction whose outcome is open
	final     map[string]finalRecord // of jobs that ended here, for answers
	finalQ    []string
	garbage   []string // chunk keys of ended jobs
	pend      map[string]*dispatch.Direction
	admitted  float64              // CPU-seconds of work
	arriving  map[string]*arriving // by class
	triagedAt time.Time
	flood     map[int]bool // ranks of which there is more work than can be done even late
	spotDone  float64
	spotLost  float64
	stats     Stats
	over      tally // of jobs that ended here
	book      *accounting.Book
	loose     []accounting.Row // of attempts whose end needs no record
	lender    *lender          // nil: limits are not lent
}

// Stats are counters for operators.
type Stats struct {
	Placed      int `json:"Placed"`
	Duplicates  int `json:"Duplicates"`
	Granted     int `json:"Granted"`
	Refused     int `json:"Refused"`
	Lost        int `json:"Lost"`
	Done        int `json:"Done"`
	Errors      int `json:"Errors"`
	Preempted   int `json:"Preempted"`
	Evacuated   int `json:"Evacuated"`
	Expiring    int `json:"Expiring"`
	Takeovers   int `json:"Takeovers"`
	LentRefused int `json:"LentRefused"`
}

// New returns an owner of nothing yet.
func New(cfg *config.Platform, op *config.Operator, store Store, member Membership, holders Holders, types Types, log *slog.Logger) *Owner {
	o := &Owner{
		KeepSlots: defaultSlots,
		cfg:       cfg, op: op, store: store, member: member, holders: holders, types: types, log: log,
		teams: map[string]*team{},
		wake:  make(chan struct{}, 1), flush: make(chan struct{}, 1), out: make(chan struct{}, 1),
		loaded: map[int]uint64{}, listed: map[int]uint64{}, jobs: map[string]*job{}, machines: map[string]*mach{}, returned: recent.NewSet(maxGone), classes: map[string]*class{},
		rooms: map[roomKey][]*mach{}, cachers: map[cacheKey][]*mach{}, logs: map[int]*shardLog{}, final: map[string]finalRecord{}, arriving: map[string]*arriving{}, over: tally{}, flood: map[int]bool{}, pend: map[string]*dispatch.Direction{},
	}
	for _, t := range cfg.Params.Teams {
		o.teams[t.Name] = &team{Team: t}
	}
	if Lends(op) {
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

// Changed tells the owner that ownership may have changed.
func (o *Owner) Changed() { poke(o.wake) }

// Run owns jobs until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
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
			if o.member.Held() > 0 {
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

// Tenure is 0 while this owner has no jobs, and so ignores views, and another number each
// time that it comes to have some: who told it of machines before has to tell it again.
func (o *Owner) Tenure() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.loaded) == 0 {
		return 0
	}
	return o.tenure
}

func (o *Owner) machineOf(name string) *mach {
	m := o.machines[name]
	if m == nil {
		m = &mach{index: len(o.byIndex), name: name, since: time.Now(), places: map[*place]struct{}{},
			images: map[int]*cached{}, blame: map[string]int{}}
		o.machines[name] = m
		o.byIndex = append(o.byIndex, m)
	}
	return m
}
