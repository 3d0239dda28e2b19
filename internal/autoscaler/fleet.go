package autoscaler

import (
	"context"
	"fmt"
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
	minimumS     = 60 // a machine costs at least so many seconds
	maxProvision = 50 // machines in one request
	maxRelease   = 100
	planEvery    = time.Second
	tellEvery    = 10 * time.Second
	settleFor    = 20 * time.Second // a new leader closes nothing for so long
	takenAfter   = 30 * time.Second // unlisted and unheard for so long: taken
	refusedPause = 12 * time.Second // before asking again for what was refused, if some of it was lost since
	refusedLong  = 40 * time.Second // if not
)

// Scheduler is what the fleet needs of the jobs' owner.
type Scheduler interface {
	Ready() bool
	Demand(boot float64) ([]planner.Demand, []planner.WorkerLoad)
	AdmittedWork() float64
	// FailedWorkers names the machines to be returned that are lost, and why.
	FailedWorkers() map[string]string
	WorkerGone(name string)
	SetCordoned(names map[string]bool)
}

// Dispatcher is what the fleet needs of the machines' holder.
type Dispatcher interface {
	Drain(name string) bool
	RemoveWorker(name string)
	PollReports(ctx context.Context, endpoints map[string]string, unheard time.Duration)
}

// Membership guards what the fleet writes.
type Membership interface {
	FencingToken() uint64
	ClaimedShards() map[int]uint64
	ShardKey(shard int) string
}

// offer is a kind of machine to be had.
type offer struct {
	Type string
	Zone string
	Spot bool
}

// instance is a machine as the fleet knows it.
type instance struct {
	name     string
	offer    offer
	hired    time.Time // when it was rented, as near as known
	known    time.Time // when the fleet first knew of it
	listed   time.Time // when it last was in the cloud's list
	heard    time.Time
	idle     time.Time // since when it does nothing
	draining time.Time
	closing  bool // takes no new work
	stage    string
	load     *planner.WorkerLoad
}

// refusal is when an offer was refused, and how many of it were had then.
type refusal struct {
	at   time.Time
	held int
}

// Autoscaler rents and returns machines.
type Autoscaler struct {
	reservedCPUs func() float64

	cfg        *config.Platform
	op         *config.Operator
	cloud      *Cloud
	catalog    *Catalog
	store      Store
	member     Membership
	scheduler  Scheduler
	dispatcher Dispatcher
	log        *slog.Logger

	mu         sync.Mutex
	instances  map[string]*instance
	provisions map[string]*provision
	// answered are hires whose records are still to be changed, by name.
	answered  map[string]*answeredProvision
	recording bool // a transaction for them is under way
	seq       int
	refused   map[offer]refusal
	leading   bool
	loaded    bool
	busy      float64 // running average of CPUs in use
	rate      float64 // running average of CPUs that new work keeps busy
	work      float64 // work accepted when the rate was last taken
	workAt    time.Time
	listAt    time.Time // when a list was last asked for
	listedAt  time.Time // when the newest list that came was asked for
	pages     int       // of the last list
	toldAt    time.Time
	ledAt     time.Time
	backAt    time.Time
	sending   map[string]bool // being returned
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
	return &Autoscaler{
		reservedCPUs: o.ReservedCPUs,
		cfg:          o.Platform, op: o.Operator, cloud: o.Cloud, catalog: o.Catalog, store: o.Store, member: o.Member, scheduler: o.Scheduler, dispatcher: o.Dispatcher, log: o.Log,
		instances: map[string]*instance{}, provisions: map[string]*provision{}, answered: map[string]*answeredProvision{}, refused: map[offer]refusal{}, sending: map[string]bool{},
	}
}

// Run leads the fleet whenever it is this controller's to lead.
func (f *Autoscaler) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(planEvery / 4)
	defer tick.Stop()
	var stepped time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if !f.scheduler.Ready() {
			f.leading, f.loaded = false, false
			continue
		}
		if f.leading && time.Since(stepped) < planEvery {
			continue
		}
		stepped = time.Now()
		if !f.leading {
			f.leading = true
			f.mu.Lock()
			f.instances, f.provisions, f.answered = map[string]*instance{}, map[string]*provision{}, map[string]*answeredProvision{}
			f.ledAt, f.listAt, f.listedAt = time.Now(), time.Time{}, time.Time{}
			f.mu.Unlock()
		}
		if !f.loaded {
			old, err := f.load(ctx)
			if err != nil {
				f.log.Info("loading hires failed", "err", err)
				continue
			}
			f.loaded = true
			if len(old) > 0 {
				f.log.Info("hires are too old to be repeated", "hires", old)
			}
		}
		if time.Since(f.listAt) > seconds(max(3, listShare*float64(max(1, f.pages))/f.cfg.Params.Cloud.RPS)) {
			f.listAt = time.Now()
			wg.Add(1)
			go func() { defer wg.Done(); f.refresh(ctx) }()
		}
		f.step(ctx, &wg)
	}
}

var seconds = config.Seconds

// step looks at everything once.
func (f *Autoscaler) step(ctx context.Context, wg *sync.WaitGroup) {
	defer usage.Count(usage.Fleet, time.Now())
	demand, loads := f.scheduler.Demand(f.boot())
	back := f.scheduler.FailedWorkers()
	now := time.Now()
	f.mu.Lock()
	busy := 0.0
	for i := range loads {
		l := &loads[i]
		busy += l.Used.CPUs
		if f.vanished(l.Name, l.Existed) {
			back[l.Name] = "not in the cloud's list any more"
		}
		if l.Heard.IsZero() {
			continue
		}
		b := f.instances[l.Name]
		if b == nil {
			if f.sending[l.Name] {
				continue
			}
			b = &instance{name: l.Name, known: now, hired: now}
			f.instances[l.Name] = b
		}
		b.load, b.heard, b.offer = l, l.Heard, offer{l.Type, l.Zone, l.Spot}
	}
	f.busy += 0.1 * (busy - f.busy)
	f.measure(now, f.scheduler.AdmittedWork())
	f.sortOut(now, back)
	f.tell(now, demand, loads)
	wants, first := f.plan(now, demand)
	closing := f.cordon(now, demand)
	f.idle(now, wants)
	var send []*provision
	for _, h := range f.provisions {
		if !h.sending {
			h.sending = true
			send = append(send, h)
		}
	}
	free := f.inFlight() - len(f.provisions)
	if !f.mayScaleOut(now) {
		free = 0
	}
	record := len(f.answered) > 0 && !f.recording
	f.recording = f.recording || record
	giveBack := len(back) > 0 && now.Sub(f.backAt) > seconds(2/f.cfg.Params.Cloud.RPS)
	if giveBack {
		f.backAt = now
	}
	f.mu.Unlock()
	f.scheduler.SetCordoned(closing)
	if giveBack {
		wg.Add(1)
		go func() { defer wg.Done(); f.scaleIn(ctx, back) }()
	}
	if record {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.recordAnswers(ctx)
			f.mu.Lock()
			f.recording = false
			f.mu.Unlock()
		}()
	}
	for _, h := range send {
		wg.Add(1)
		go func() { defer wg.Done(); f.scaleOut(ctx, h) }()
	}
	for _, o := range first {
		for n := wants[o]; n > 0 && free > 0; n -= maxProvision {
			free--
			f.mu.Lock()
			f.seq++
			// Terms are never shared, so neither is the name.
			name := fmt.Sprintf("r-%d-%d", f.member.FencingToken(), f.seq)
			h := &provision{req: wire.HireRequest{Name: name, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Number: min(n, maxProvision)}, made: now, sending: true}
			f.provisions[name] = h
			f.mu.Unlock()
			wg.Add(1)
			go func() { defer wg.Done(); f.scaleOut(ctx, h) }()
		}
	}
}

// tell logs the fleet's state now and then.
func (f *Autoscaler) tell(now time.Time, demand []planner.Demand, loads []planner.WorkerLoad) {
	if now.Sub(f.toldAt) < tellEvery {
		return
	}
	f.toldAt = now
	var waiting, size, used, spot float64
	up := 0
	for i := range demand {
		waiting += demand[i].Shape.CPUs * float64(demand[i].Count)
	}
	for i := range loads {
		t, ok := f.catalog.Type(loads[i].Type)
		if !ok || loads[i].Heard.IsZero() {
			continue
		}
		up++
		size += t.CPUs
		used += loads[i].Used.CPUs
		if loads[i].Spot {
			spot += t.CPUs
		}
	}
	f.log.Info("fleet", "machines", len(f.instances), "up", up, "cpus", size, "spot_cpus", spot, "used", used, "waiting", waiting, "arriving", math.Round(f.rate))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
