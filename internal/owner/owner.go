// Package owner is the life of jobs at the controller that owns their shard:
// their tasks' places, the single grant to start, completions, cancels, and
// what is written of it in the state service before it is acted on.
package owner

import (
	"context"
	"log/slog"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/machine"
	"github.com/wallrack/wallrack/internal/placement"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

// Store is what owners need of the state service.
type Store interface {
	Reader
	List(ctx context.Context, prefix string) ([]wire.Item, uint64, error)
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	// BulkTxn is Txn for writes that must not hold up others.
	BulkTxn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	Watch(ctx context.Context, prefix string, hold time.Duration, reset func([]wire.Item), change func([]wire.Event))
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
	Direct(ctx context.Context, holder string, d machine.Direction) (machine.Unlaunched, error)
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
	job     *job
	chunk   *chunk
	task    int
	attempt uint64
	mach    *mach
	ref     machine.Ref
	state   placeState
	token   uint64 // highest token a start command may carry
	session uint64 // highest session a start command may be for
	logged  bool   // the store may know of it
	planned float64
	made    time.Time
	sentTo  string // holder that was told
	sentAt  time.Time
	running time.Time // when it was first seen running
	whole   bool      // its start was seen, so its run time is known
	haltAt  time.Time // when it was last told to stop
	halted  time.Time // when it was first told to stop
	exited  bool      // done, kept until the completion is recorded
	shownIn uint64    // the last view that listed it, see Owner.views
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
	over    bool // the job has ended, or left this owner
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
	unsure    bool   // a cancel was sent, and may have been applied
	ended     string // stage to finish with
	chunks    []*chunk
	pending   []int // tasks with no place, a stack
	places    map[int][]*place
	done      int
	running   int
	shape     placement.Shape
	class     *class
	team      *team
	runs      average
	errors    int
	notBefore time.Time
	avoid     map[int]time.Time
	zones     map[string]int
	unzoned   int          // places that count in every zone
	started   int          // tasks that were ever seen running
	ends      []float64    // see limits
	moved     map[int]bool // tasks that were stopped to empty a machine
}

type average struct {
	n   int
	sum float64
}

func (a *average) add(v float64) { a.n++; a.sum += v }
func (a *average) mean() float64 {
	if a.n == 0 {
		return 0
	}
	return a.sum / float64(a.n)
}

// class is what was learnt of a class of jobs.
type class struct {
	name   string
	ratio  float64 // real run time to the owner's estimate
	runs   average
	starts []float64 // aims for its tasks' starts, in seconds
}

// team is a team's use.
type team struct {
	config.Team
	use placement.Shape // of all that may be on
}

type cached struct {
	gb   float64
	used time.Time
}

// mach is a machine as its views show it.
type mach struct {
	index   int
	name    string
	view    machine.View
	at      time.Time // when the view came; zero if none did
	heard   time.Time // when the report in it came to its holder
	since   time.Time // when this owner first knew of it
	matrix  placement.Matrix
	held    bool // the matrix holds room for this pass only
	places  map[*place]struct{}
	images  map[int]*cached
	notice  time.Time // when the cloud takes it, if it said so
	done    float64
	lost    float64
	errors  int
	errJobs map[string]bool
	gone    bool
	closing bool // the fleet wants it empty
	// recorded is the last takeover whose records had tasks on it.
	recorded int
	kind     wire.MachineType
}

// Owner owns jobs.
type Owner struct {
	KeepSlots int // log records of a shard that are kept before they are written over; set it before Run

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

	mu       sync.Mutex
	loaded   map[int]uint64 // shard -> version of its key when loaded
	loadedAt time.Time
	loading  bool    // shards are being read
	early    []early // what came in the meantime
	jobs     map[string]*job
	order    []*job
	machines map[string]*mach
	byIndex  []*mach
	returned names     // machines that the cloud deleted: late views of them say nothing
	now      time.Time // when the pass in progress began

	preemptAt int                // machine that preemption looked at last
	roomyOut  []*mach            // see roomy
	views     uint64             // counts views, to tell which places one lists
	arena     []placement.Option // see batch
	options   []placement.Option
	images    wire.Index
	classes   map[string]*class
	logs      map[int]*shardLog
	open      *batch                 // a transaction whose outcome is open
	final     map[string]finalRecord // of jobs that ended here, for answers
	finalQ    []string
	garbage   []string // chunk keys of ended jobs
	pend      map[string]*machine.Direction
	admitted  float64 // CPU-seconds of work
	spotDone  float64
	spotLost  float64
	stats     Stats
}

// Stats are counters for operators.
type Stats struct {
	Placed, Duplicates, Granted, Refused, Lost, Done, Errors, Preempted, Evacuated, Takeovers int
}

// New returns an owner of nothing yet.
func New(cfg *config.Platform, op *config.Operator, store Store, member Membership, holders Holders, types Types, log *slog.Logger) *Owner {
	o := &Owner{
		KeepSlots: defaultSlots,
		cfg:       cfg, op: op, store: store, member: member, holders: holders, types: types, log: log,
		teams: map[string]*team{},
		wake:  make(chan struct{}, 1), flush: make(chan struct{}, 1), out: make(chan struct{}, 1),
		loaded: map[int]uint64{}, jobs: map[string]*job{}, machines: map[string]*mach{}, classes: map[string]*class{},
		logs: map[int]*shardLog{}, final: map[string]finalRecord{}, pend: map[string]*machine.Direction{},
	}
	for _, t := range cfg.Params.Teams {
		o.teams[t.Name] = &team{Team: t}
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
	for _, f := range []func(context.Context){o.write, o.direct, o.watch} {
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

// syncShards loads shards that were gained and forgets those that were lost.
func (o *Owner) syncShards(ctx context.Context) {
	claimed := o.member.Claimed()
	var gained []int
	o.mu.Lock()
	for s, v := range o.loaded {
		if claimed[s] != v {
			o.unload(s)
		}
	}
	for s := range claimed {
		if _, ok := o.loaded[s]; !ok {
			gained = append(gained, s)
		}
	}
	o.mu.Unlock()
	if len(gained) == 0 || o.member.Held() <= 0 {
		return
	}
	lctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	if err := o.load(lctx, gained, claimed); err != nil {
		o.log.Info("loading shards failed", "shards", gained, "err", err)
		statestore.Backoff(ctx, 0, 100*time.Millisecond, time.Second)
		poke(o.wake)
	}
}

func (o *Owner) unload(shard int) {
	delete(o.loaded, shard)
	delete(o.logs, shard)
	for uid, j := range o.jobs {
		if j.shard == shard {
			o.forget(uid, j)
		}
	}
	o.log.Info("shard lost", "shard", shard)
}

// forget drops a job from memory.
func (o *Owner) forget(uid string, j *job) {
	for _, ps := range j.places {
		for _, p := range ps {
			o.count(p, -1)
			delete(p.mach.places, p)
		}
	}
	for _, c := range j.chunks {
		c.over = true
	}
	delete(o.jobs, uid)
	for i, x := range o.order {
		if x == j {
			o.order = append(o.order[:i], o.order[i+1:]...)
			break
		}
	}
}

// load takes over shards. Every place found in the store is unsettled: the
// last owner may have granted it. All tokens given out so far are below the
// fresh one, so a report that shows it, and not the task, settles the place.
func (o *Owner) load(ctx context.Context, shards []int, versions map[int]uint64) error {
	o.mu.Lock()
	o.loading, o.early = true, nil
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		o.loading, o.early = false, nil
		o.mu.Unlock()
	}()
	fence, err := o.member.Fresh(ctx)
	if err != nil {
		return err
	}
	chunks, _, err := o.store.List(ctx, taskKey)
	if err != nil {
		return err
	}
	jobs, _, err := o.store.List(ctx, liveKey)
	if err != nil {
		return err
	}
	slots, _, err := o.store.List(ctx, logKey)
	if err != nil {
		return err
	}
	// Nobody else writes chunks and logs of the shards any more, since every
	// such write is guarded by the shard's key. A chunk whose job ended is
	// garbage.
	want := map[int]bool{}
	for _, s := range shards {
		want[s] = true
	}
	byJob := map[string][]wire.Item{}
	for _, it := range chunks {
		uid, _, _ := strings.Cut(strings.TrimPrefix(it.Key, taskKey), "/")
		byJob[uid] = append(byJob[uid], it)
	}
	n := o.adopt(shards, versions, want, jobs, byJob, slots, fence)
	o.log.Info("took shards over", "shards", shards, "jobs", n, "fence", fence)
	poke(o.wake)
	poke(o.flush)
	return nil
}

// adopt makes living jobs of what a takeover has read.
func (o *Owner) adopt(shards []int, versions map[int]uint64, want map[int]bool, jobs []wire.Item, byJob map[string][]wire.Item, slots []wire.Item, fence uint64) (n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	logs, entries := o.readLogs(slots, want)
	for _, it := range jobs {
		var r liveRecord
		if err := json.Unmarshal(it.Value, &r); err != nil {
			o.log.Error("unreadable job record", "key", it.Key, "err", err)
			continue
		}
		own := byJob[r.Job.UID]
		delete(byJob, r.Job.UID)
		if !want[r.Shard] || o.jobs[r.Job.UID] != nil {
			continue
		}
		o.admit(&r, it.Version, own, entries[r.Job.UID], fence)
		n++
	}
	for s, l := range logs {
		o.logs[s] = l
		for _, sl := range l.slots {
			o.touchSlot(sl)
		}
	}
	for uid, items := range byJob {
		if o.jobs[uid] == nil && len(o.loaded)+len(shards) == o.op.Shards {
			for _, it := range items {
				o.garbage = append(o.garbage, it.Key)
			}
		}
	}
	for _, s := range shards {
		o.loaded[s] = versions[s]
	}
	o.loadedAt = time.Now()
	for _, m := range o.machines {
		m.since = time.Now()
	}
	for i := range o.early {
		o.take(&o.early[i].record, o.early[i].version)
	}
	o.loading, o.early = false, nil
	o.stats.Takeovers++
	for _, m := range o.machines {
		if len(m.places) > 0 {
			m.recorded = o.stats.Takeovers
		}
	}
	return n
}

// admit makes a living job of its records.
func (o *Owner) admit(r *liveRecord, version uint64, chunks []wire.Item, entries []logged, fence uint64) *job {
	spec := r.Job
	j := &job{
		spec: &spec, shard: r.Shard, version: version, atMs: r.AtMs, cancelled: r.Cancelled,
		accepted: time.Now().Add(-max(0, time.Since(time.UnixMilli(r.AtMs)))),
		places:   map[int][]*place{}, avoid: map[int]time.Time{}, zones: map[string]int{},
		shape: placement.Shape{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB},
		class: o.classOf(spec.Class), team: o.teams[spec.Team],
	}
	if j.team == nil {
		j.team = &team{}
	}
	for n := 0; n*chunkSize < spec.Tasks; n++ {
		j.chunks = append(j.chunks, &chunk{n: n, done: make([]byte, chunkSize/8), next: 1, job: j})
	}
	for _, it := range chunks {
		_, num, _ := strings.Cut(strings.TrimPrefix(it.Key, taskKey), "/")
		n, err := strconv.Atoi(num)
		if err != nil || n < 0 || n >= len(j.chunks) {
			o.log.Error("chunk beyond its job", "key", it.Key)
			continue
		}
		c := j.chunks[n]
		c.version = it.Version
		rec, err := parseChunk(it.Value, spec.Tasks)
		if err != nil {
			o.log.Error("unreadable chunk record", "key", it.Key, "err", err)
			continue
		}
		copy(c.done, rec.Done)
		c.next, c.saved = max(1, rec.Next), rec.Seq
		for i := 0; i < len(rec.Places); i += 3 {
			o.found(j, int(rec.Places[i]), rec.Places[i+1], rec.Machines[rec.Places[i+2]], fence)
		}
	}
	for _, e := range entries {
		o.replay(j, e, fence)
	}
	for _, c := range j.chunks {
		for _, p := range append([]*place(nil), c.places...) {
			if c.isDone(p.task) {
				o.drop(p)
				continue
			}
			o.count(p, 1)
		}
	}
	for t := spec.Tasks - 1; t >= 0; t-- {
		if j.chunks[t/chunkSize].isDone(t) {
			j.done++
		} else if len(j.places[t]) == 0 {
			j.pending = append(j.pending, t)
		}
	}
	if fence == 0 && !spec.Service() {
		o.admitted += float64(spec.Tasks) * spec.CPUs * j.runEstimate()
	}
	o.jobs[spec.UID] = j
	o.order = append(o.order, j)
	o.finish(j)
	return j
}

// found attaches a place that the store knows of.
func (o *Owner) found(j *job, task int, attempt uint64, machine string, fence uint64) {
	c := j.chunks[task/chunkSize]
	c.next = max(c.next, attempt+1)
	for _, p := range j.places[task] {
		if p.attempt == attempt {
			return
		}
	}
	o.attach(&place{job: j, chunk: c, task: task, attempt: attempt, mach: o.machineOf(machine), state: placeUnsettled,
		token: fence - 1, session: math.MaxUint64, made: time.Now(), logged: true})
}

// drop takes a place out of the books.
func (o *Owner) drop(p *place) {
	delete(p.mach.places, p)
	p.chunk.places = remove(p.chunk.places, p)
	if rest := remove(p.job.places[p.task], p); len(rest) > 0 {
		p.job.places[p.task] = rest
	} else {
		delete(p.job.places, p.task)
	}
}

func (o *Owner) classOf(name string) *class {
	c := o.classes[name]
	if c == nil {
		if len(o.classes) > 1000 {
			return &class{name: name, ratio: 1}
		}
		c = &class{name: name, ratio: 1}
		for _, aim := range o.cfg.Params.Objectives {
			if aim.Kind == "wait" && aim.Class == name {
				c.starts = append(c.starts, aim.WithinS)
			}
		}
		o.classes[name] = c
	}
	return c
}

func (o *Owner) machineOf(name string) *mach {
	m := o.machines[name]
	if m == nil {
		m = &mach{index: len(o.byIndex), name: name, since: time.Now(), places: map[*place]struct{}{},
			images: map[int]*cached{}, errJobs: map[string]bool{}}
		o.machines[name] = m
		o.byIndex = append(o.byIndex, m)
	}
	return m
}

func (o *Owner) attach(p *place) {
	p.ref = machine.Ref{Machine: p.mach.name, Task: wire.TaskName(p.job.spec.UID, p.task), Attempt: p.attempt}
	p.job.places[p.task] = append(p.job.places[p.task], p)
	p.chunk.places = append(p.chunk.places, p)
	p.mach.places[p] = struct{}{}
}

// count adds what a place may use to its team and zone, or takes it off.
func (o *Owner) count(p *place, sign int) {
	if !p.on() {
		return
	}
	p.job.team.use = p.job.team.use.Add(p.job.shape, float64(sign))
	if p.mach.view.Zone == "" {
		p.job.unzoned += sign
		return
	}
	p.job.zones[p.mach.view.Zone] += sign
}

// detach ends a place: the task is surely not on that machine, or never was.
func (o *Owner) detach(p *place) {
	if _, ok := p.mach.places[p]; !ok {
		return
	}
	o.count(p, -1)
	if !p.running.IsZero() {
		p.job.running--
	}
	o.drop(p)
	if len(p.job.places[p.task]) == 0 && !p.chunk.isDone(p.task) {
		p.job.pending = append(p.job.pending, p.task)
	}
	if p.logged && !p.job.cancelled && !p.chunk.isDone(p.task) {
		// Not urgent: a new owner would only have to settle it.
		o.record(change{goneChange, p})
	}
	o.finish(p.job)
	poke(o.wake)
}

func remove(ps []*place, p *place) []*place {
	for i, x := range ps {
		if x == p {
			out := append([]*place(nil), ps[:i]...)
			return append(out, ps[i+1:]...)
		}
	}
	return ps
}

// finish marks a job that has nothing left to do.
func (o *Owner) finish(j *job) {
	switch {
	case j.ended != "":
		return
	case j.cancelled:
		if len(j.places) > 0 {
			return
		}
		j.ended = wire.StageCancelled
	case j.done == j.spec.Tasks:
		j.ended = wire.StageDone
	default:
		return
	}
	poke(o.flush)
}

// watch follows accepted jobs, which any controller may record.
func (o *Owner) watch(ctx context.Context) {
	take := func(key string, value json.RawMessage, version uint64) {
		var r liveRecord
		if err := json.Unmarshal(value, &r); err != nil {
			o.log.Error("unreadable job record", "key", key, "err", err)
			return
		}
		o.take(&r, version)
	}
	o.store.Watch(ctx, liveKey, 20*time.Second, func(items []wire.Item) {
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, it := range items {
			take(it.Key, it.Value, it.Version)
		}
	}, func(events []wire.Event) {
		defer usage.Count(usage.Watches, time.Now())
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, e := range events {
			if e.Put != "" {
				take(e.Put, e.Value, e.Version)
			}
		}
	})
}

// early is a living job's record that came while shards were being loaded.
type early struct {
	record  liveRecord
	version uint64
}

// take takes a living job's record that was written just now.
func (o *Owner) take(r *liveRecord, version uint64) {
	if _, mine := o.loaded[r.Shard]; !mine {
		if o.loading {
			// The listing that is being read may be from before: without
			// this, the job would wait until the next takeover.
			o.early = append(o.early, early{*r, version})
		}
		return
	}
	if _, over := o.final[r.Job.UID]; over {
		return
	}
	j := o.jobs[r.Job.UID]
	if j == nil {
		o.admit(r, version, nil, nil, 0)
		poke(o.wake)
		return
	}
	if version > j.version {
		j.version = version
		if r.Cancelled {
			o.cancelLocked(j)
		}
	}
}

// Accepted adds a job that this process has just recorded.
func (o *Owner) Accepted(spec *wire.Job, shard int, atMs int64, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.jobs[spec.UID] == nil {
		o.take(&liveRecord{Job: *spec, Shard: shard, AtMs: atMs}, version)
	}
}

// runEstimate is the expected run time of a task of the job.
func (j *job) runEstimate() float64 {
	switch {
	case j.runs.n >= 2:
		return j.runs.mean()
	case j.spec.Estimate > 0:
		return j.spec.Estimate * j.class.ratio
	case j.class.runs.n > 0:
		return j.class.runs.mean()
	}
	return 60
}

func (j *job) dueAt() float64 {
	at := float64(j.atMs) / 1000
	if j.spec.DueS != nil {
		return at + *j.spec.DueS
	}
	return at + 60
}

// fetchTime is the image fetch that a task would wait for on the machine.
func (o *Owner) fetchTime(j *job, m *mach) float64 {
	if j.spec.Image == "" || m.images[o.images.Of(j.spec.Image)] != nil {
		return 0
	}
	if t := o.typeOf(m); t.FetchGBPerS > 0 {
		return j.spec.ImageGB / t.FetchGBPerS
	}
	return j.spec.ImageGB
}

// typeOf is the machine's type, without a name if it is not known.
func (o *Owner) typeOf(m *mach) *wire.MachineType {
	if m.kind.Name != m.view.Type {
		m.kind, _ = o.types.Type(m.view.Type)
	}
	return &m.kind
}

// cache notes that a machine has a job's image.
func (o *Owner) cache(j *job, m *mach) {
	i := o.images.Of(j.spec.Image)
	if c := m.images[i]; c != nil {
		c.used = time.Now()
		return
	}
	m.images[i] = &cached{gb: j.spec.ImageGB, used: time.Now()}
	t, ok := o.types.Type(m.view.Type)
	for ok && len(m.images) > 1 {
		sum, oldest, first := 0.0, 0, time.Now().Add(time.Hour)
		for k, c := range m.images {
			sum += c.gb
			if c.used.Before(first) {
				oldest, first = k, c.used
			}
		}
		if sum <= t.CacheGB && len(m.images) < 256 {
			break
		}
		delete(m.images, oldest)
	}
}

// success is P: the recent share of tasks not lost on the machine.
func (o *Owner) success(m *mach) float64 {
	done, lost := 20+m.done, 0.2+m.lost
	if m.view.Spot {
		done, lost = done+o.spotDone/4, lost+o.spotLost/4
	}
	lost += 2 * float64(m.errors)
	return done / (done + lost)
}
