package scheduler

import (
	"context"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

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
	lctx, cancel := context.WithTimeout(statestore.In(ctx, statestore.Urgent), 8*time.Second)
	defer cancel()
	if err := o.load(lctx, gained, claimed); err != nil {
		o.log.Info("loading shards failed", "shards", gained, "err", err)
		statestore.Backoff(ctx, 0, 100*time.Millisecond, time.Second)
		poke(o.wake)
	}
}

func (o *Owner) unload(shard int) {
	delete(o.loaded, shard)
	delete(o.listed, shard)
	delete(o.logs, shard)
	o.lendShards()
	for uid, j := range o.jobs {
		if j.shard == shard {
			o.forget(uid, j)
		}
	}
	if len(o.loaded) == 0 {
		o.loose = nil // a successor may have written what they tell of
	}
	o.log.Info("shard lost", "shard", shard)
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
	jobs, listed, err := o.store.List(ctx, liveKey)
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
	n := o.adopt(shards, versions, want, jobs, listed, byJob, slots, fence)
	o.log.Info("took shards over", "shards", shards, "jobs", n, "fence", fence)
	poke(o.wake)
	poke(o.flush)
	return nil
}

// adopt makes living jobs of what a takeover has read, as of revision listed or later.
func (o *Owner) adopt(shards []int, versions map[int]uint64, want map[int]bool, jobs []wire.Item, listed uint64, byJob map[string][]wire.Item, slots []wire.Item, fence uint64) (n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fence = max(o.fence, fence-1)
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
	if len(o.loaded) == 0 {
		o.tenure++
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
		o.loaded[s], o.listed[s] = versions[s], listed
	}
	o.lendShards()
	if o.Accounts {
		o.book = accounting.NewBook(fence, o.valueBytes())
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
		shape: matching.Shape{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB},
		class: o.classOf(spec.Class), team: o.teams[spec.Team],
	}
	if r.Terms != nil {
		j.asked = newAsked(r.Terms)
	}
	if r.Cancelled && o.Cancels != nil {
		o.Cancels.Learn(spec.UID)
	}
	if j.team == nil {
		j.team = &team{}
	}
	j.large = j.class.sizes.add(float64(spec.Tasks) * spec.CPUs)
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
		for i := 0; i < len(rec.Failed); i += 3 {
			if t := rec.Failed[i]; t/chunkSize == uint64(n) {
				c.setFailed(int(t), rec.Failed[i+1], rec.Failed[i+2])
			}
		}
		c.next, c.saved = max(1, rec.Next), rec.Seq
		for i := 0; i < len(rec.Places); i += 3 {
			o.found(j, int(rec.Places[i]), rec.Places[i+1], rec.Machines[rec.Places[i+2]], fence)
		}
	}
	for _, e := range entries {
		o.replay(j, e, fence)
	}
	o.dropTasks(j)
	for _, c := range j.chunks {
		for _, p := range append([]*place(nil), c.places...) {
			if c.isDone(p.task) && c.failed[p.task].how != howCancelled {
				o.drop(p)
				continue
			}
			o.count(p, 1)
		}
	}
	for t := spec.Tasks - 1; t >= 0; t-- {
		if j.chunks[t/chunkSize].isDone(t) {
			j.over++
			if _, failed := j.chunks[t/chunkSize].failed[t]; !failed {
				j.done++
			}
		} else if len(j.places[t]) == 0 {
			j.pending = append(j.pending, t)
		}
	}
	if j.done > 0 {
		j.begin(time.Now()) // earlier, under a predecessor: nobody knows when
	}
	if fence == 0 && !spec.Service() && (j.asked == nil || o.waits(j, time.Now()) == "") {
		work := float64(spec.Tasks) * spec.CPUs * j.runEstimate()
		o.admitted += work
		a := o.arriving[spec.Class]
		if a == nil {
			a = &arriving{}
			o.arriving[spec.Class] = a
		}
		a.admitted += work
		a.rank = spec.Rank()
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
