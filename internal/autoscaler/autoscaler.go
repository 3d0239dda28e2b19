// Package autoscaler provisions machines of the cloud for the work that would otherwise wait
// too long, and deletes those that are idle, faulty or lost. One controller does so at a
// time: the one that leads the first shard.
//
// An Autoscaler keeps its view of the machines in memory. Only provisions are written to
// the state service, each before the cloud gets the request, so that a successor repeats
// it under the same name instead of provisioning twice. The package starts no tasks and moves
// none: it cordons and drains workers and leaves the rest to the scheduler.
package autoscaler

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	minBillingS      = 60 // the cloud bills a machine for at least so many seconds
	maxProvision     = 50 // machines in one request
	maxDelete        = 100
	planInterval     = time.Second
	leaderCheck      = planInterval / 4
	logInterval      = 10 * time.Second
	settleTime       = 20 * time.Second // a new leader cordons nothing for so long
	forgottenAfter   = 30 * time.Second // without heartbeat and not listed for so long: the cloud took the machine
	refusalPause     = 12 * time.Second // before a refused offer is requested again, if machines of it went since
	longRefusalPause = 40 * time.Second // if none went
	usedSmoothing    = 0.1              // weight of the newest sample in the average of CPUs in use
	scaleInGap       = 2                // a scale in starts at most once in the time of so many cloud requests
)

// Scheduler is what the autoscaler needs of the scheduler of jobs. All methods are safe for
// concurrent use.
type Scheduler interface {
	// Ready reports whether this controller leads the autoscaler and knows its state.
	Ready() bool
	// Demand returns the waiting work, and the load of each worker. bootS is how long the
	// quickest machine type takes to boot.
	Demand(bootS float64) ([]planner.Demand, []planner.WorkerLoad)
	// AdmittedWork is the sum of all work accepted so far, in CPU-seconds.
	AdmittedWork() float64
	// FailedWorkers maps the lost machines that are to be deleted to the reason.
	FailedWorkers() map[string]string
	// WorkerDeleted reports that a machine was deleted: its tasks have ended.
	WorkerDeleted(name string)
	// SetCordoned replaces the set of workers that take no new tasks.
	SetCordoned(names map[string]bool)
}

// Dispatcher is what the autoscaler needs of the dispatcher of workers.
type Dispatcher interface {
	// Drain stops a worker from taking tasks; false if the worker is unknown.
	Drain(name string) bool
	RemoveWorker(name string)
	// PollReports polls those of the workers that had no heartbeat for so long.
	PollReports(ctx context.Context, endpoints map[string]string, sinceHeartbeat time.Duration)
}

// Membership guards what the autoscaler writes.
type Membership interface {
	FencingToken() uint64
	// ClaimedShards maps the shards that this controller leads to the versions of their keys.
	ClaimedShards() map[int]uint64
	ShardKey(shard int) string
}

// offer is a kind of machine that the cloud has.
type offer struct {
	Type string
	Zone string
	Spot bool
}

// price is what a machine of the offer costs an hour, given its type.
func (o offer) price(t wire.MachineType) float64 {
	if o.Spot {
		return t.SpotPrice
	}
	return t.Price
}

// instance is a machine as the autoscaler knows it.
type instance struct {
	name          string
	offer         offer
	provisioned   time.Time // as near as known
	discovered    time.Time // when the autoscaler first knew of it
	listed        time.Time // when the newest list with it was requested
	lastHeartbeat time.Time // zero: none yet
	idleSince     time.Time // zero: it runs tasks
	drainingSince time.Time // zero: it is not drained
	cordoned      bool
	stage         string              // by the cloud's list
	load          *planner.WorkerLoad // nil: no heartbeat yet
}

// refusal is when an offer was refused, and how many machines of it there were then.
type refusal struct {
	at       time.Time
	machines int
}

// Autoscaler provisions and deletes machines. Run drives it; it has no other entry.
type Autoscaler struct {
	reservedCPUs func() float64 // capacity that must not be deleted although nothing runs on it

	cfg        *config.Platform
	op         *config.Operator
	cloud      *Cloud
	catalog    *Catalog
	store      Store
	member     Membership
	scheduler  Scheduler
	dispatcher Dispatcher
	log        *slog.Logger

	// Of the goroutine of Run alone.
	leading       bool
	loaded        bool // the records of provisions are read
	listRequested time.Time

	mu         sync.Mutex
	instances  map[string]*instance
	provisions map[string]*provision         // without an outcome, by name
	answered   map[string]*answeredProvision // whose records are still to be changed, by name
	recording  bool                          // a transaction for answered is under way
	seq        int                           // of the last provision's name
	refusals   map[offer]refusal
	deleting   map[string]time.Time // machines to be deleted; if they are, until when lists may show them

	usedCPUs       float64   // running average of CPUs in use
	arrivalCPUs    float64   // running average of CPUs that new work keeps in use
	admittedWork   float64   // when arrivalCPUs was updated last
	admittedWorkAt time.Time // zero: never

	newestList   time.Time // when the newest list that came was requested
	listPages    int       // of the last list
	stateLogged  time.Time
	leadingSince time.Time
	lastScaleIn  time.Time
}

// Options are what an autoscaler needs of the rest of its process.
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

	ReservedCPUs func() float64 // CPUs to be kept for what may come back; nil: none
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
		instances: map[string]*instance{}, provisions: map[string]*provision{}, answered: map[string]*answeredProvision{},
		refusals: map[offer]refusal{}, deleting: map[string]time.Time{},
	}
}

var seconds = config.Seconds

// Run scales whenever this controller leads the autoscaler. It returns the context's error
// once the context has ended and all requests of its own have.
func (a *Autoscaler) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(leaderCheck)
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
		if time.Since(a.listRequested) > a.listInterval() {
			a.listRequested = time.Now()
			wg.Go(func() { a.refresh(ctx) })
		}
		a.step(ctx, &wg)
	}
}

// startLeading forgets what an earlier time as leader left.
func (a *Autoscaler) startLeading() {
	a.leading = true
	a.listRequested = time.Time{}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.instances, a.provisions, a.answered = map[string]*instance{}, map[string]*provision{}, map[string]*answeredProvision{}
	a.leadingSince, a.newestList = time.Now(), time.Time{}
	a.forgetDeleted(a.leadingSince)
}

// loadProvisions reads the records of provisions; false if that failed.
func (a *Autoscaler) loadProvisions(ctx context.Context) bool {
	old, err := a.load(ctx)
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

// decisions are what a step found to be done outside the lock.
type decisions struct {
	cordoned map[string]bool
	scaleIn  map[string]string // the reason by machine; nil: nothing now
	record   bool              // the answers of provisions are to be recorded
	repeat   []*provision
	slots    int // provisions that may be made
	wants    map[offer]int
	order    []offer // of wants, by need
}

// step plans once and starts what the plan asks for.
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
			a.recording = false
			a.mu.Unlock()
		})
	}
	for _, p := range todo.repeat {
		wg.Go(func() { a.scaleOut(ctx, p) })
	}
	for _, o := range todo.order {
		for n := todo.wants[o]; n > 0 && todo.slots > 0; n -= maxProvision {
			todo.slots--
			p := a.newProvision(o, min(n, maxProvision), now)
			wg.Go(func() { a.scaleOut(ctx, p) })
		}
	}
}

// decide updates the instances and plans. unwanted maps machines to be deleted to the
// reason; decide adds to it.
func (a *Autoscaler) decide(now time.Time, demand []planner.Demand, loads []planner.WorkerLoad, unwanted map[string]string) decisions {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetDeleted(now)
	a.observe(now, loads, unwanted)
	a.updateArrivals(now, a.scheduler.AdmittedWork())
	a.triage(now, unwanted)
	a.logState(now, demand, loads)
	var todo decisions
	todo.wants, todo.order = a.plan(now, demand)
	todo.cordoned = a.cordon(now, demand)
	a.drainIdle(now, todo.wants)
	for _, p := range a.provisions {
		if !p.sending {
			p.sending = true
			todo.repeat = append(todo.repeat, p)
		}
	}
	if a.mayScaleOut(now) {
		todo.slots = a.maxInFlight() - len(a.provisions)
	}
	todo.record = len(a.answered) > 0 && !a.recording
	a.recording = a.recording || todo.record
	if len(unwanted) > 0 && now.Sub(a.lastScaleIn) > seconds(scaleInGap/a.cfg.Params.Cloud.RPS) {
		a.lastScaleIn = now
		todo.scaleIn = unwanted
	}
	return todo
}

// observe takes in the workers' loads, and adds vanished machines to unwanted. Called with
// mu held.
func (a *Autoscaler) observe(now time.Time, loads []planner.WorkerLoad, unwanted map[string]string) {
	used := 0.0
	for i := range loads {
		load := &loads[i]
		used += load.Used.CPUs
		if a.vanished(load.Name, load.LastKnown) {
			unwanted[load.Name] = "not in the cloud's list any more"
		}
		if load.LastHeartbeat.IsZero() {
			continue
		}
		inst := a.instances[load.Name]
		if inst == nil {
			if a.isDeleting(load.Name) {
				continue
			}
			inst = &instance{name: load.Name, discovered: now, provisioned: now}
			a.instances[load.Name] = inst
		}
		inst.load, inst.lastHeartbeat, inst.offer = load, load.LastHeartbeat, offer{load.Type, load.Zone, load.Spot}
	}
	a.usedCPUs += usedSmoothing * (used - a.usedCPUs)
}

// logState logs the state each logInterval. Called with mu held.
func (a *Autoscaler) logState(now time.Time, demand []planner.Demand, loads []planner.WorkerLoad) {
	if now.Sub(a.stateLogged) < logInterval {
		return
	}
	a.stateLogged = now
	var waiting, total, used, spot float64
	up := 0
	for i := range demand {
		waiting += demand[i].Resources.CPUs * float64(demand[i].Count)
	}
	for i := range loads {
		t, ok := a.catalog.Type(loads[i].Type)
		if !ok || loads[i].LastHeartbeat.IsZero() {
			continue
		}
		up++
		total += t.CPUs
		used += loads[i].Used.CPUs
		if loads[i].Spot {
			spot += t.CPUs
		}
	}
	a.log.Info("autoscaler", "machines", len(a.instances), "up", up, "cpus", total, "spot_cpus", spot, "used", used, "waiting", waiting, "arriving", math.Round(a.arrivalCPUs))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
