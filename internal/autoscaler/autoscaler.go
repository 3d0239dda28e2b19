// Package autoscaler provisions cloud machines for work that would otherwise wait too long, and
// deletes machines that are idle, faulty or lost. Only the controller that leads the first shard
// does so.
//
// An Autoscaler holds its view of the machines in memory. Only provisions are written to the
// state service, each before it is requested from the cloud, so that a successor repeats it
// under the same name instead of provisioning twice. The package neither starts nor moves tasks:
// it cordons and drains workers and leaves the rest to the scheduler.
package autoscaler

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/usage"
)

const (
	minBillingS         = 60 // the cloud bills a machine for at least this many seconds
	maxProvision        = 50 // machines in one request
	maxDelete           = 100
	planInterval        = time.Second
	leaderCheckInterval = planInterval / 4
	logInterval         = 10 * time.Second
	cordonDelay         = 20 * time.Second // time that a new leader waits before it cordons workers
	forgetAfter         = 30 * time.Second // time without a listing after which a machine without heartbeats is forgotten, because it is gone
	refusalBackoff      = 12 * time.Second // time until a refused offer is requested again if machines of it were lost or deleted since
	longRefusalBackoff  = 40 * time.Second // time until a refused offer is requested again otherwise
	usedSmoothing       = 0.1              // weight of the newest sample in the average of CPUs in use
	scaleInRequestGap   = 2                // minimum time between scale-ins, in multiples of the request interval at the rate limit
)

// Scheduler is the part of the job scheduler that the autoscaler uses. Ready and WorkerDeleted
// must be safe for concurrent use; the goroutine of Run calls the other methods.
type Scheduler interface {
	// Ready reports whether this controller leads the autoscaler and knows its state.
	Ready() bool
	// Demand returns the pending work and the load of each worker. bootS is the boot time in
	// seconds of the machine type that boots fastest.
	Demand(bootS float64) ([]planner.Demand, []planner.WorkerLoad)
	// AdmittedWork returns the sum of the work that all leaders have accepted, in CPU-seconds; see
	// planner.Planner.AdmittedWork for the jobs that are left out.
	AdmittedWork() float64
	// FailedWorkers returns the lost machines to be deleted, with the reasons.
	FailedWorkers() map[string]string
	// WorkerDeleted notifies the scheduler that a machine was deleted, so that its tasks have ended.
	WorkerDeleted(name string)
	// SetCordoned replaces the set of cordoned workers, by name. A cordoned worker gets only tasks
	// that are expected to end well before tasks that already run on it.
	SetCordoned(names map[string]bool)
}

// Dispatcher is the part of the worker dispatcher that the autoscaler uses.
type Dispatcher interface {
	// Drain stops a worker from accepting tasks. It returns false if the worker is unknown.
	Drain(name string) bool
	RemoveWorker(name string)
	// PollReports polls the workers without a heartbeat for at least sinceHeartbeat.
	PollReports(ctx context.Context, endpoints map[string]string, sinceHeartbeat time.Duration)
}

// Membership provides the fencing token, and the versions of shard keys that guard writes.
type Membership interface {
	FencingToken() uint64
	// ClaimedShards returns the versions of the keys of the shards that this controller leads.
	ClaimedShards() map[int]uint64
	ShardKey(shard int) string
}

// refusal records when an offer was refused, and the number of its machines at that time.
type refusal struct {
	at       time.Time
	machines int
}

// Autoscaler provisions and deletes machines while Run runs.
type Autoscaler struct {
	reservedCPUs func() float64 // CPUs of idle machines that must not be deleted

	cfg        *config.Platform
	op         *config.Operator
	cloud      *Cloud
	catalog    *Catalog
	store      Store
	member     Membership
	scheduler  Scheduler
	dispatcher Dispatcher
	log        *slog.Logger

	// Accessed by Run only.
	leading         bool
	loaded          bool // the records of provisions were read
	listRequestedAt time.Time

	mu                 sync.Mutex
	instances          map[string]*instance
	provisions         map[string]*provision         // whose outcome is unknown, by name
	answeredProvisions map[string]*answeredProvision // whose records are still to be updated or deleted, by name
	recordingAnswers   bool                          // a transaction for answeredProvisions is in flight
	lastSeq            int                           // number in the name of the last provision
	refusals           map[offer]refusal
	deleting           map[string]time.Time // zero while the machine is being deleted, then the time until which lists may contain it

	usedCPUs       float64   // running average of CPUs in use
	arrivalCPUs    float64   // running average of CPUs that newly accepted work occupies
	admittedWork   float64   // at the last update of arrivalCPUs
	admittedWorkAt time.Time // time of the last update of arrivalCPUs, zero if there was none

	newestListAt  time.Time // when the newest list received was requested
	listPages     int       // pages of the last list
	stateLoggedAt time.Time
	leadingSince  time.Time
	lastScaleInAt time.Time
}

// Options are the settings and dependencies of an Autoscaler.
type Options struct {
	Platform   *config.Platform
	Operator   *config.Operator
	Cloud      *Cloud
	Catalog    *Catalog
	Store      Store
	Member     Membership
	Scheduler  Scheduler
	Dispatcher Dispatcher
	Log        *slog.Logger

	ReservedCPUs func() float64 // CPUs to be retained for work that may return; nil if none
}

// New returns an autoscaler that knows no machines yet.
func New(o Options) *Autoscaler {
	if o.ReservedCPUs == nil {
		o.ReservedCPUs = func() float64 { return 0 }
	}
	return &Autoscaler{
		reservedCPUs: o.ReservedCPUs,
		cfg:          o.Platform, op: o.Operator, cloud: o.Cloud, catalog: o.Catalog, store: o.Store, member: o.Member,
		scheduler: o.Scheduler, dispatcher: o.Dispatcher, log: o.Log,
		instances: map[string]*instance{}, provisions: map[string]*provision{}, answeredProvisions: map[string]*answeredProvision{},
		refusals: map[offer]refusal{}, deleting: map[string]time.Time{},
	}
}

var seconds = config.Seconds

// Run scales while this controller leads autoscaling. It returns the context's error after the
// context and all of its own requests have ended.
func (a *Autoscaler) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(leaderCheckInterval)
	defer tick.Stop()
	var stepped time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if !a.scheduler.Ready() {
			a.leading, a.loaded = false, false
			continue
		}
		if a.leading && time.Since(stepped) < planInterval {
			continue
		}
		stepped = time.Now()
		if !a.leading {
			a.startLeading()
		}
		if !a.loaded && !a.loadProvisions(ctx) {
			continue
		}
		if time.Since(a.listRequestedAt) > a.listInterval() {
			a.listRequestedAt = time.Now()
			wg.Go(func() { a.refresh(ctx) })
		}
		a.step(ctx, &wg)
	}
}

// startLeading resets the state from an earlier term as leader.
func (a *Autoscaler) startLeading() {
	a.leading = true
	a.listRequestedAt = time.Time{}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.instances, a.provisions, a.answeredProvisions = map[string]*instance{}, map[string]*provision{}, map[string]*answeredProvision{}
	a.leadingSince, a.newestListAt = time.Now(), time.Time{}
	a.forgetDeleted(a.leadingSince)
}

// loadProvisions reads the records of provisions. It returns false if that failed.
func (a *Autoscaler) loadProvisions(ctx context.Context) bool {
	old, err := a.loadRecords(ctx)
	if err != nil {
		a.log.Info("loading provisions failed", "err", err)
		return false
	}
	a.loaded = true
	if len(old) > 0 {
		a.log.Info("expired provisions not repeated", "provisions", old)
	}
	return true
}

// decisions are the results of one planning step that are carried out without the lock.
type decisions struct {
	cordoned map[string]bool
	scaleIn  map[string]string // reason by machine; nil if nothing is to be deleted now
	record   bool              // the answers of provisions are to be recorded
	repeat   []*provision
	slots    int // number of provisions that may be started
	wanted   map[offer]int
	order    []offer // keys of wanted, most needed first
}

// step plans once and starts the resulting requests.
func (a *Autoscaler) step(ctx context.Context, wg *sync.WaitGroup) {
	defer usage.AddTime(usage.Autoscaling, time.Now())
	demand, loads := a.scheduler.Demand(a.shortestBootS())
	unwanted := a.scheduler.FailedWorkers()
	now := time.Now()
	todo := a.decide(now, demand, loads, unwanted)
	a.scheduler.SetCordoned(todo.cordoned)
	if todo.scaleIn != nil {
		wg.Go(func() { a.scaleIn(ctx, todo.scaleIn) })
	}
	if todo.record {
		wg.Go(func() {
			a.recordAnswers(ctx)
			a.mu.Lock()
			a.recordingAnswers = false
			a.mu.Unlock()
		})
	}
	for _, p := range todo.repeat {
		wg.Go(func() { a.scaleOut(ctx, p) })
	}
	for _, o := range todo.order {
		for n := todo.wanted[o]; n > 0 && todo.slots > 0; n -= maxProvision {
			todo.slots--
			p := a.newProvision(o, min(n, maxProvision), now)
			wg.Go(func() { a.scaleOut(ctx, p) })
		}
	}
}

// decide updates the instances and plans. unwanted holds the machines to be deleted with the
// reasons; decide adds to it.
func (a *Autoscaler) decide(now time.Time, demand []planner.Demand, loads []planner.WorkerLoad, unwanted map[string]string) decisions {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetDeleted(now)
	a.observe(now, loads, unwanted)
	a.updateArrivals(now, a.scheduler.AdmittedWork())
	a.collectUnwanted(now, unwanted)
	waitingCPUs := demandedCPUs(demand)
	var todo decisions
	sim := a.plan(now, demand)
	todo.wanted, todo.order = sim.wanted, sim.order
	a.logState(now, loads, waitingCPUs, demandedCPUs(demand), todo.wanted)
	todo.cordoned = a.cordon(now, demand, sim)
	a.drainIdle(now, todo.wanted)
	for _, p := range a.provisions {
		if !p.sending {
			p.sending = true
			todo.repeat = append(todo.repeat, p)
		}
	}
	if a.mayScaleOut(now) {
		todo.slots = a.maxInFlight() - len(a.provisions)
	}
	todo.record = len(a.answeredProvisions) > 0 && !a.recordingAnswers
	a.recordingAnswers = a.recordingAnswers || todo.record
	if len(unwanted) > 0 && now.Sub(a.lastScaleInAt) > seconds(scaleInRequestGap/a.cfg.Params.Cloud.RPS) {
		a.lastScaleInAt = now
		todo.scaleIn = unwanted
	}
	return todo
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
