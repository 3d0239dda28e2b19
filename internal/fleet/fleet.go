package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"sort"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/owner"
	"github.com/wallrack/wallrack/internal/placement"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	hireKey      = "fleet/hire/"
	minimumS     = 60 // a machine costs at least so many seconds
	maxHire      = 50 // machines in one request
	maxRelease   = 100
	planEvery    = time.Second
	tellEvery    = 10 * time.Second
	settleFor    = 20 * time.Second // a new leader closes nothing for so long
	takenAfter   = 30 * time.Second // unlisted and unheard for so long: taken
	refusedPause = 12 * time.Second // before asking again for what was refused, if some of it was lost since
	refusedLong  = 40 * time.Second // if not
)

// Owner is what the fleet needs of the jobs' owner.
type Owner interface {
	Ready() bool
	Demand(boot float64) ([]owner.Demand, []owner.Load)
	Admitted() float64
	Suspects() map[string]time.Duration
	Gone(name string)
	Closing(names map[string]bool)
}

// Holder is what the fleet needs of the machines' holder.
type Holder interface {
	Drain(name string) bool
	Gone(name string)
	Probe(ctx context.Context, endpoints map[string]string, unheard time.Duration)
}

// Membership guards what the fleet writes.
type Membership interface {
	Term() uint64
	Claimed() map[int]uint64
	ShardKey(shard int) string
}

// offer is a kind of machine to be had.
type offer struct {
	Type string
	Zone string
	Spot bool
}

// box is a machine as the fleet knows it.
type box struct {
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
	load     *owner.Load
}

// refusal is when an offer was refused, and how many of it were had then.
type refusal struct {
	at   time.Time
	held int
}

// Fleet rents and returns machines.
type Fleet struct {
	cfg     *config.Platform
	op      *config.Operator
	cloud   *Cloud
	catalog *Catalog
	store   Store
	member  Membership
	owner   Owner
	holder  Holder
	log     *slog.Logger

	mu      sync.Mutex
	boxes   map[string]*box
	hires   map[string]*hire
	seq     int
	refused map[offer]refusal
	leading bool
	loaded  bool
	busy    float64 // running average of CPUs in use
	rate    float64 // running average of CPUs that new work keeps busy
	work    float64 // work accepted when the rate was last taken
	workAt  time.Time
	listAt  time.Time
	pages   int // of the last list
	toldAt  time.Time
	ledAt   time.Time
	backAt  time.Time
	sending map[string]bool // being returned
}

type hire struct {
	req     wire.HireRequest
	made    time.Time
	sending bool
}

// New returns a fleet that knows no machines yet.
func New(cfg *config.Platform, op *config.Operator, cloud *Cloud, catalog *Catalog, store Store, member Membership, o Owner, h Holder, log *slog.Logger) *Fleet {
	return &Fleet{cfg: cfg, op: op, cloud: cloud, catalog: catalog, store: store, member: member, owner: o, holder: h, log: log,
		boxes: map[string]*box{}, hires: map[string]*hire{}, refused: map[offer]refusal{}, sending: map[string]bool{}}
}

// Run leads the fleet whenever it is this controller's to lead.
func (f *Fleet) Run(ctx context.Context) error {
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
		if !f.owner.Ready() {
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
			f.boxes, f.hires = map[string]*box{}, map[string]*hire{}
			f.ledAt = time.Now()
			f.mu.Unlock()
		}
		if !f.loaded {
			if err := f.load(ctx); err != nil {
				f.log.Info("loading hires failed", "err", err)
				continue
			}
			f.loaded = true
		}
		if time.Since(f.listAt) > seconds(max(3, listShare*float64(max(1, f.pages))/f.cfg.Params.Cloud.RPS)) {
			f.listAt = time.Now()
			wg.Add(1)
			go func() { defer wg.Done(); f.refresh(ctx) }()
		}
		f.step(ctx, &wg)
	}
}

// listShare is the seconds between lists, for each request a second that the
// cloud allows and each page: lists take a fifth of the budget.
const listShare = 5

// inFlight is how many hires may be out at once. More would only queue for the
// cloud's budget, and the plan would count on machines that nobody asked for.
func (f *Fleet) inFlight() int { return max(2, int(2*f.cfg.Params.Cloud.RPS)) }

var seconds = config.Seconds

// load finds hires that were recorded but perhaps not answered: they are
// repeated under their names.
func (f *Fleet) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	items, _, err := f.store.List(ctx, hireKey)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, it := range items {
		var r wire.HireRequest
		if err := json.Unmarshal(it.Value, &r); err != nil {
			f.log.Error("unreadable hire", "key", it.Key, "err", err)
			continue
		}
		f.hires[r.Name] = &hire{req: r, made: time.Now()}
	}
	return nil
}

// refresh reads the cloud's list, which lags and may be older than the last.
func (f *Fleet) refresh(ctx context.Context) {
	asked := time.Now()
	list, err := f.cloud.list(ctx)
	if err != nil {
		f.log.Info("no machine list", "err", err)
		return
	}
	f.mu.Lock()
	f.pages = 1 + len(list)/listPage
	failed := map[string]string{}
	for _, l := range list {
		if f.sending[l.Name] {
			continue
		}
		b := f.boxes[l.Name]
		if b == nil {
			b = &box{name: l.Name, known: asked, hired: asked.Add(-seconds(l.AgeS))}
			f.boxes[l.Name] = b
		}
		b.offer, b.listed, b.stage = offer{l.Type, l.Zone, l.Spot}, asked, l.Stage
		if l.Stage == wire.MachineFailed {
			failed[l.Name] = "failed"
		}
	}
	endpoints := map[string]string{}
	for _, l := range list {
		if l.Stage == wire.MachineRunning && !f.sending[l.Name] && l.Endpoint != "" {
			endpoints[l.Name] = l.Endpoint
		}
	}
	f.mu.Unlock()
	if len(failed) > 0 {
		f.giveBack(ctx, failed)
	}
	f.holder.Probe(ctx, endpoints, seconds(1.5*f.cfg.Params.Workers.ReportS))
}

// step looks at everything once.
func (f *Fleet) step(ctx context.Context, wg *sync.WaitGroup) {
	defer usage.Count(usage.Fleet, time.Now())
	demand, loads := f.owner.Demand(f.boot())
	suspects := f.owner.Suspects()
	now := time.Now()
	f.mu.Lock()
	busy := 0.0
	for i := range loads {
		l := &loads[i]
		busy += l.Used.CPUs
		if l.Heard.IsZero() {
			continue
		}
		b := f.boxes[l.Name]
		if b == nil {
			if f.sending[l.Name] {
				continue
			}
			b = &box{name: l.Name, known: now, hired: now}
			f.boxes[l.Name] = b
		}
		b.load, b.heard, b.offer = l, l.Heard, offer{l.Type, l.Zone, l.Spot}
	}
	f.busy += 0.1 * (busy - f.busy)
	f.measure(now, f.owner.Admitted())
	back := map[string]string{} // why, by name
	for name, silent := range suspects {
		back[name] = fmt.Sprintf("silent for %.0f s with tasks on it", silent.Seconds())
	}
	f.sortOut(now, back)
	f.tell(now, demand, loads)
	wants, first := f.plan(now, demand)
	closing := f.shut(now, demand)
	f.idle(now, wants)
	var send []*hire
	for _, h := range f.hires {
		if !h.sending {
			h.sending = true
			send = append(send, h)
		}
	}
	free := f.inFlight() - len(f.hires)
	giveBack := len(back) > 0 && now.Sub(f.backAt) > seconds(2/f.cfg.Params.Cloud.RPS)
	if giveBack {
		f.backAt = now
	}
	f.mu.Unlock()
	f.owner.Closing(closing)
	if giveBack {
		wg.Add(1)
		go func() { defer wg.Done(); f.giveBack(ctx, back) }()
	}
	for _, h := range send {
		wg.Add(1)
		go func() { defer wg.Done(); f.rent(ctx, h, false) }()
	}
	for _, o := range first {
		for n := wants[o]; n > 0 && free > 0; n -= maxHire {
			free--
			f.mu.Lock()
			f.seq++
			// Terms are never shared, so neither is the name.
			name := fmt.Sprintf("r-%d-%d", f.member.Term(), f.seq)
			h := &hire{req: wire.HireRequest{Name: name, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Number: min(n, maxHire)}, made: now, sending: true}
			f.hires[name] = h
			f.mu.Unlock()
			wg.Add(1)
			go func() { defer wg.Done(); f.rent(ctx, h, true) }()
		}
	}
}

// tell logs the fleet's state now and then.
func (f *Fleet) tell(now time.Time, demand []owner.Demand, loads []owner.Load) {
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
	f.log.Info("fleet", "machines", len(f.boxes), "up", up, "cpus", size, "spot_cpus", spot, "used", used, "waiting", waiting, "arriving", math.Round(f.rate))
}

// sortOut forgets machines that the cloud took and returns those that never
// came up or went silent.
func (f *Fleet) sortOut(now time.Time, back map[string]string) {
	lag := seconds(2*f.cfg.Params.Cloud.ListLagS) + 5*time.Second
	silence := seconds(2.5 * f.op.SilentS)
	up, silent := 0, 0
	for _, b := range f.boxes {
		if !b.heard.IsZero() {
			up++
			if now.Sub(b.heard) > silence {
				silent++
			}
		}
	}
	if 2*silent > up {
		// Most at once: they are not heard, but may well be there.
		silence = max(silence, seconds(f.cfg.Params.Workers.LeaseS+2.5*f.op.SilentS))
	}
	for name, b := range f.boxes {
		t, _ := f.catalog.Type(b.offer.Type)
		switch {
		case f.sending[name]:
		case !b.draining.IsZero() && b.load != nil && b.load.Places == 0 && now.Sub(b.draining) > planEvery:
			back[name] = "idle"
		case b.heard.IsZero() && now.Sub(later(b.hired, b.known)) > seconds(3*t.BootS+25) && now.Sub(b.hired) > seconds(3*t.BootS+25):
			back[name] = "did not come up"
		case !b.heard.IsZero() && now.Sub(b.heard) > silence && now.Sub(b.known) > silence:
			back[name] = "silent"
		case b.heard.IsZero() && now.Sub(b.listed) > takenAfter && now.Sub(b.known) > lag+takenAfter:
			delete(f.boxes, name)
		case b.load != nil && b.load.Faulty && b.load.Places == 0:
			back[name] = "faulty"
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sim is a machine in the plan: one that is up, one that boots, or one to be
// rented.
type sim struct {
	offer  offer
	matrix placement.Matrix
	boot   float64
	box    *box
}

func (f *Fleet) fits(d *owner.Demand, o offer) bool {
	if o.Spot && !d.Job.Spot || d.Job.Zone != nil && *d.Job.Zone != o.Zone {
		return false
	}
	if d.Job.Types == nil {
		return true
	}
	for _, t := range d.Job.Types {
		if t == o.Type {
			return true
		}
	}
	return false
}

// plan simulates the waiting work on what there is, and returns what to rent
// for the work that would wait longer than a new machine takes to boot, and
// the offers in the order in which they are needed.
func (f *Fleet) plan(now time.Time, demand []owner.Demand) (wants map[offer]int, first []offer) {
	var sims, closing []*sim
	for name, b := range f.boxes {
		if f.sending[name] || !b.draining.IsZero() || b.load != nil && (b.load.Notice || b.load.Faulty) {
			continue
		}
		t, ok := f.catalog.Type(b.offer.Type)
		if !ok {
			continue
		}
		switch {
		case b.load != nil && len(b.load.Matrix) > 0 && now.Sub(b.heard) < seconds(f.op.SilentS):
			s := &sim{offer: b.offer, matrix: b.load.Matrix, box: b}
			if b.closing {
				closing = append(closing, s)
			} else {
				sims = append(sims, s)
			}
		case b.heard.IsZero() && b.stage != wire.MachineFailed:
			left := max(3, t.BootS-now.Sub(b.hired).Seconds())
			sims = append(sims, &sim{offer: b.offer, matrix: placement.Matrix{{Wait: 0, Free: Size(t)}}, boot: left})
		}
	}
	for _, h := range f.hires {
		if t, ok := f.catalog.Type(h.req.Type); ok {
			for i := 0; i < h.req.Number; i++ {
				sims = append(sims, &sim{offer: offer{h.req.Type, h.req.Zone, h.req.Spot}, matrix: placement.Matrix{{Wait: 0, Free: Size(t)}}, boot: t.BootS})
			}
		}
	}
	offers := f.offers(now)
	wants = map[offer]int{}
	boot := f.boot()
	for i := range demand {
		d := &demand[i]
		if d.Job.Gang() || d.Job.Service() {
			// Its tasks run side by side: none can wait for another to end.
			d.Run = forever
		}
		// Spot machines are cheap: they are rented for what would wait for
		// about as long as they take to come up. Ordinary ones only for
		// what would be late without them.
		for _, spot := range []bool{true, false} {
			patience := min(boot, d.Slack)
			if !spot {
				patience = max(boot, d.Slack/2)
			}
			n := f.fill(d, sims, patience, !spot)
			if !spot {
				sims, closing, n = f.reopen(d, sims, closing, n, patience)
			}
			for n > 0 {
				o, t, ok := f.best(d, n, offers, wants, spot)
				if !ok {
					break
				}
				if wants[o]++; wants[o] == 1 {
					first = append(first, o)
				}
				s := &sim{offer: o, matrix: placement.Matrix{{Wait: 0, Free: Size(t)}}, boot: t.BootS}
				sims = append(sims, s)
				left := f.fillOne(d, s, n, patience+t.BootS)
				if left == n {
					break
				}
				n = left
			}
			d.Count = n
			if n == 0 {
				break
			}
		}
	}
	// With nothing waiting and much unused, arrivals are dying down.
	if len(demand) > 0 || f.busy > 0.7*f.capacity(sims) {
		first = f.headroom(sims, offers, wants, first)
	}
	return wants, first
}

// reopen lets closing machines take work again before others are rented.
func (f *Fleet) reopen(d *owner.Demand, sims, closing []*sim, n int, patience float64) (open, rest []*sim, left int) {
	for _, s := range closing {
		if n > 0 && f.fits(d, s.offer) {
			if left := f.fillOne(d, s, n, patience); left < n {
				n, s.box.closing = left, false
				sims = append(sims, s)
				continue
			}
		}
		rest = append(rest, s)
	}
	return sims, rest, n
}

// shut chooses dear machines to close, the emptiest first, while there is more
// than what runs and the headroom need. Without it, work that could as well
// run elsewhere keeps every one of them from falling idle.
func (f *Fleet) shut(now time.Time, demand []owner.Demand) map[string]bool {
	if now.Sub(f.ledAt) < settleFor {
		return nil // what runs is not known well yet
	}
	spare := -f.busy * (1 + f.op.DearHeadPct/100)
	for i := range demand {
		spare -= demand[i].Shape.CPUs * float64(demand[i].Count)
	}
	var dear []*box
	for name, b := range f.boxes {
		t, ok := f.catalog.Type(b.offer.Type)
		if !ok || b.load == nil || f.sending[name] || b.load.Notice || now.Sub(b.heard) > seconds(f.op.SilentS) {
			continue
		}
		if !b.closing {
			spare += t.CPUs
		}
		if !b.offer.Spot && t.SpotPrice > 0 {
			dear = append(dear, b)
		}
	}
	fullness := func(b *box) float64 {
		t, _ := f.catalog.Type(b.offer.Type)
		return b.load.Used.CPUs / max(1, t.CPUs)
	}
	sort.Slice(dear, func(i, j int) bool {
		if x, y := fullness(dear[i]), fullness(dear[j]); x != y {
			return x < y
		}
		return dear[i].name < dear[j].name
	})
	names := map[string]bool{}
	for _, b := range dear {
		if t, _ := f.catalog.Type(b.offer.Type); !b.closing && spare > t.CPUs {
			b.closing = true
			spare -= t.CPUs
		}
		if b.closing {
			names[b.name] = true
		}
	}
	return names
}

// forever is longer than any plan looks ahead.
const forever = 1e6

// boot is how long the quickest machine type takes to come up.
func (f *Fleet) boot() float64 {
	boot := math.Inf(1)
	for _, t := range f.catalog.All() {
		boot = min(boot, t.BootS)
	}
	if math.IsInf(boot, 1) {
		boot = 30
	}
	return boot
}

// rateWindow is the time over which arrivals are averaged.
const rateWindow = 40.0

// measure follows how many CPUs the arriving work keeps busy.
func (f *Fleet) measure(now time.Time, work float64) {
	if f.workAt.IsZero() || work < f.work {
		f.work, f.workAt = work, now
		return
	}
	dt := now.Sub(f.workAt).Seconds()
	if dt <= 0 {
		return
	}
	f.rate += (1 - math.Exp(-dt/rateWindow)) * ((work-f.work)/dt - f.rate)
	f.work, f.workAt = work, now
}

// target is the capacity, in CPUs, to be kept.
func (f *Fleet) target() float64 {
	return max(f.busy, f.rate) * (1 + f.op.HeadroomPct/100)
}

// fill puts waiting work on what there is. late says that a machine that
// still boots is no excuse for a longer wait.
func (f *Fleet) fill(d *owner.Demand, sims []*sim, patience float64, late bool) int {
	n := d.Count
	for _, s := range sims {
		if n == 0 {
			break
		}
		if f.fits(d, s.offer) {
			limit := patience
			if !late {
				limit = max(limit, s.boot+5)
			}
			n = f.fillOne(d, s, n, limit)
		}
	}
	return n
}

func (f *Fleet) fillOne(d *owner.Demand, s *sim, n int, patience float64) int {
	for n > 0 {
		w := s.matrix.Wait(d.Shape, d.Run)
		if s.boot+w > patience {
			break
		}
		s.matrix = s.matrix.Reserve(d.Shape, w, d.Run)
		n--
	}
	return n
}

// held counts the machines by kind.
func (f *Fleet) held() map[offer]int {
	n := map[offer]int{}
	for name, b := range f.boxes {
		if !f.sending[name] {
			n[b.offer]++
		}
	}
	return n
}

// refuse notes that no more of an offer is to be had: asking again is a waste
// of the cloud's budget unless machines of it were lost or returned since.
func (f *Fleet) refuse(o offer) { f.refused[o] = refusal{time.Now(), f.held()[o]} }

// offers lists what may be rented now.
func (f *Fleet) offers(now time.Time) []offer {
	var out []offer
	held := f.held()
	for _, t := range f.catalog.All() {
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := offer{t.Name, z, spot}
				if r, ok := f.refused[o]; !ok || now.Sub(r.at) > refusedLong || now.Sub(r.at) > refusedPause && held[o] < r.held {
					out = append(out, o)
				}
			}
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.Type != b.Type {
			return a.Type < b.Type
		}
		if a.Zone != b.Zone {
			return a.Zone < b.Zone
		}
		return a.Spot && !b.Spot
	})
	return out
}

func (f *Fleet) price(o offer, t wire.MachineType) float64 {
	if o.Spot {
		return t.SpotPrice
	}
	return t.Price
}

// best is the offer at which the waiting tasks cost least: the price of a
// machine by the tasks that it would run.
func (f *Fleet) best(d *owner.Demand, n int, offers []offer, wants map[offer]int, spot bool) (offer, wire.MachineType, bool) {
	var best offer
	var bestT wire.MachineType
	cost := math.Inf(1)
	for _, o := range offers {
		t, ok := f.catalog.Type(o.Type)
		if !ok || o.Spot != spot || wants[o] >= maxHire*f.inFlight() || !f.fits(d, o) || !d.Shape.Fits(Size(t)) {
			continue
		}
		k := tasksIn(d.Shape, Size(t))
		// A machine much larger than the work is mostly idle, but the
		// rest of it serves what comes next.
		used := min(float64(k), float64(n))
		c := f.price(o, t) / (0.5*used + 0.5*float64(k))
		w := float64(wants[o])
		c *= 1 + 0.1*t.BootS/minimumS + w/(w+maxHire)
		if c < cost {
			best, bestT, cost = o, t, c
		}
	}
	return best, bestT, !math.IsInf(cost, 1)
}

func tasksIn(s, size placement.Shape) int {
	k := math.Inf(1)
	if s.CPUs > 0 {
		k = min(k, size.CPUs/s.CPUs)
	}
	if s.GPUs > 0 {
		k = min(k, size.GPUs/s.GPUs)
	}
	if s.MemoryGB > 0 {
		k = min(k, size.MemoryGB/s.MemoryGB)
	}
	return max(1, int(min(k, 1e6)))
}

// capacity is the CPUs of all machines in the plan.
func (f *Fleet) capacity(sims []*sim) float64 {
	have := 0.0
	for _, s := range sims {
		if t, ok := f.catalog.Type(s.offer.Type); ok {
			have += t.CPUs
		}
	}
	return have
}

// headroom rents spot machines ahead of the demand, up to the target.
func (f *Fleet) headroom(sims []*sim, offers []offer, wants map[offer]int, first []offer) []offer {
	have := f.capacity(sims)
	for have < f.target() {
		missing := f.target() - have
		var best offer
		var size, cost float64 = 0, math.Inf(1)
		for _, o := range offers {
			t, ok := f.catalog.Type(o.Type)
			if ok && o.Spot && t.GPUs == 0 && t.CPUs <= 2*missing && t.SpotPrice/t.CPUs < cost {
				best, size, cost = o, t.CPUs, t.SpotPrice/t.CPUs
			}
		}
		if size == 0 || wants[best] >= maxHire*f.inFlight() {
			break
		}
		if wants[best]++; wants[best] == 1 {
			first = append(first, best)
		}
		have += size
	}
	return first
}

// idle drains machines that have done nothing for a while, the dearest
// first, as long as the headroom stays; none of a kind that is wanted.
func (f *Fleet) idle(now time.Time, wants map[offer]int) {
	var have float64
	var idle []*box
	wanted := map[bool]bool{}
	for o := range wants {
		wanted[o.Spot] = true
	}
	for name, b := range f.boxes {
		if b.load == nil || f.sending[name] || now.Sub(b.heard) > seconds(f.op.SilentS) {
			continue
		}
		if t, ok := f.catalog.Type(b.offer.Type); ok {
			have += t.CPUs
		}
		if b.load.Places > 0 {
			b.idle = time.Time{}
			continue
		}
		if b.idle.IsZero() {
			b.idle = now
		}
		idle = append(idle, b)
	}
	perCPU := func(b *box) float64 {
		t, _ := f.catalog.Type(b.offer.Type)
		return f.price(b.offer, t) / max(1, t.CPUs)
	}
	sort.Slice(idle, func(i, j int) bool {
		if pi, pj := perCPU(idle[i]), perCPU(idle[j]); pi != pj {
			return pi > pj
		}
		return idle[i].name < idle[j].name
	})
	cheapest := math.Inf(1)
	for _, t := range f.catalog.All() {
		cheapest = min(cheapest, min(t.SpotPrice, t.Price)/t.CPUs)
	}
	for _, b := range idle {
		t, _ := f.catalog.Type(b.offer.Type)
		// A closing machine gets no new work: waiting would only cost.
		if !b.closing && now.Sub(b.idle) < seconds(f.op.IdleS*cheapest/perCPU(b)) || now.Sub(b.hired) < (minimumS-5)*time.Second {
			continue
		}
		// The nearest number of machines to the target stays, so that the
		// last ones go too when nothing more comes. Dear machines are kept
		// for what runs, not for what may come: that can wait for them.
		target := f.target()
		if !b.offer.Spot && t.SpotPrice > 0 {
			target = f.busy * (1 + f.op.DearHeadPct/100)
		}
		if !b.closing && (wanted[b.offer.Spot] || have-t.CPUs < target-t.CPUs/2) {
			continue
		}
		have -= t.CPUs
		if b.draining.IsZero() && f.holder.Drain(b.name) {
			b.draining = now // returned by the next step
		}
	}
}

// rent asks for machines under a recorded name, and repeats that name until
// the cloud has answered.
func (f *Fleet) rent(ctx context.Context, h *hire, record bool) {
	key := hireKey + h.req.Name
	drop := true
	defer func() {
		f.mu.Lock()
		h.sending = false
		if drop {
			delete(f.hires, h.req.Name)
		}
		f.mu.Unlock()
	}()
	if record {
		v, ok := f.member.Claimed()[0]
		if !ok {
			return
		}
		tctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		_, err := f.store.Txn(tctx, []wire.Guard{{Key: f.member.ShardKey(0), Version: v}, {Key: key}}, wire.Op{Put: key, Value: h.req})
		cancel()
		if err != nil {
			// Nothing was rented, and the name is not used again.
			f.log.Info("hire not recorded", "hire", h.req.Name, "err", err)
			return
		}
	}
	names, err := f.cloud.hire(ctx, h.req)
	o := offer{h.req.Type, h.req.Zone, h.req.Spot}
	now := time.Now()
	switch {
	case err == nil:
		f.log.Info("rented", "hire", h.req.Name, "type", o.Type, "zone", o.Zone, "spot", o.Spot, "machines", len(names), "asked", h.req.Number)
		f.mu.Lock()
		for _, n := range names {
			if f.boxes[n] == nil && !f.sending[n] {
				f.boxes[n] = &box{name: n, offer: o, hired: h.made, known: now, listed: now, stage: wire.MachineBooting}
			}
		}
		if len(names) < h.req.Number {
			f.refuse(o)
		} else {
			delete(f.refused, o)
		}
		f.mu.Unlock()
	case errors.Is(err, errNoCapacity):
		f.log.Info("no capacity", "type", o.Type, "zone", o.Zone, "spot", o.Spot)
		f.mu.Lock()
		f.refuse(o)
		f.mu.Unlock()
	case errors.Is(err, errMalformed):
		f.log.Error("hire refused", "hire", h.req.Name, "err", err)
		f.mu.Lock()
		f.refuse(o)
		f.mu.Unlock()
	default:
		f.log.Info("hire unanswered", "hire", h.req.Name, "err", err)
		drop = false
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		return
	}
	tctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if _, err := f.store.Txn(tctx, nil, wire.Op{Delete: key}); err != nil {
		f.log.Debug("hire stays recorded", "hire", h.req.Name, "err", err)
	}
}

// giveBack returns machines; when the cloud has answered, they are gone.
func (f *Fleet) giveBack(ctx context.Context, names map[string]string) {
	f.mu.Lock()
	var batch []string
	for n := range names {
		if !f.sending[n] && len(batch) < maxRelease {
			f.sending[n] = true
			batch = append(batch, n)
		}
	}
	f.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	err := f.cloud.release(ctx, batch)
	if err != nil {
		f.log.Info("returning failed", "machines", batch, "err", err)
		f.mu.Lock()
		for _, n := range batch {
			delete(f.sending, n)
		}
		f.mu.Unlock()
		return
	}
	for _, n := range batch {
		f.log.Info("returned", "machine", n, "why", names[n])
		f.holder.Gone(n)
		f.owner.Gone(n)
	}
	f.mu.Lock()
	for _, n := range batch {
		delete(f.boxes, n)
	}
	f.mu.Unlock()
	// The list lags: for a while it may still show them.
	time.AfterFunc(seconds(4*f.cfg.Params.Cloud.ListLagS)+time.Minute, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, n := range batch {
			delete(f.sending, n)
		}
	})
}
