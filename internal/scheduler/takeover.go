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
func (o *Scheduler) syncShards(ctx context.Context) {
	claimed := o.member.ClaimedShards()
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
	if len(gained) == 0 || o.member.LeaseRemaining() <= 0 {
		return
	}
	lctx, cancel := context.WithTimeout(statestore.WithPriority(ctx, statestore.Urgent), 8*time.Second)
	defer cancel()
	if err := o.load(lctx, gained, claimed); err != nil {
		o.log.Info("loading shards failed", "shards", gained, "err", err)
		statestore.Backoff(ctx, 0, 100*time.Millisecond, time.Second)
		poke(o.wake)
	}
}

func (o *Scheduler) unload(shard int) {
	delete(o.loaded, shard)
	delete(o.listed, shard)
	delete(o.logs, shard)
	o.lendShards()
	for uid, j := range o.jobs {
		if j.Shard == shard {
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
func (o *Scheduler) load(ctx context.Context, shards []int, versions map[int]uint64) error {
	o.mu.Lock()
	o.loading, o.early = true, nil
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		o.loading, o.early = false, nil
		o.mu.Unlock()
	}()
	fence, err := o.member.NextToken(ctx)
	if err != nil {
		return err
	}
	chunks, _, err := o.store.List(ctx, ChunkPrefix)
	if err != nil {
		return err
	}
	jobs, listed, err := o.store.List(ctx, LivePrefix)
	if err != nil {
		return err
	}
	slots, _, err := o.store.List(ctx, LogPrefix)
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
		uid, _, _ := strings.Cut(strings.TrimPrefix(it.Key, ChunkPrefix), "/")
		byJob[uid] = append(byJob[uid], it)
	}
	n := o.adopt(shards, versions, want, jobs, listed, byJob, slots, fence)
	o.log.Info("took shards over", "shards", shards, "jobs", n, "fence", fence)
	poke(o.wake)
	poke(o.flush)
	return nil
}

// adopt makes living jobs of what a takeover has read, as of revision listed or later.
func (o *Scheduler) adopt(shards []int, versions map[int]uint64, want map[int]bool, jobs []wire.Item, listed uint64, byJob map[string][]wire.Item, slots []wire.Item, fence uint64) (n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fence = max(o.fence, fence-1)
	logs, entries := o.readLogs(slots, want)
	for _, it := range jobs {
		var r LiveRecord
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
	if o.AccountingEnabled {
		o.book = accounting.NewBook(fence, o.valueBytes())
	}
	o.loadedAt = time.Now()
	for _, m := range o.machines {
		m.KnownSince = time.Now()
	}
	for i := range o.early {
		o.take(&o.early[i].record, o.early[i].version)
	}
	o.loading, o.early = false, nil
	o.stats.Failovers++
	for _, m := range o.machines {
		if len(m.Placements) > 0 {
			m.RecordedFailover = o.stats.Failovers
		}
	}
	return n
}

// admit makes a living job of its records.
func (o *Scheduler) admit(r *LiveRecord, version uint64, chunks []wire.Item, entries []replayEntry, fence uint64) *Job {
	spec := r.Job
	j := &Job{
		Spec: &spec, Shard: r.Shard, Version: version, AcceptedMs: r.AtMs, Cancelled: r.Cancelled,
		AcceptedAt: time.Now().Add(-max(0, time.Since(time.UnixMilli(r.AtMs)))),
		Placements: map[int][]*Placement{}, Avoid: map[int]time.Time{}, Zones: map[string]int{},
		Resources: matching.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB},
		Class:     o.classOf(spec.Class), Team: o.teams[spec.Team],
	}
	if r.Terms != nil {
		j.Constraints = NewConstraintState(r.Terms)
	}
	if r.Cancelled && o.Cancellations != nil {
		o.Cancellations.RecordCancelled(spec.UID)
	}
	if j.Team == nil {
		j.Team = &Team{}
	}
	j.Large = j.Class.Sizes.Add(float64(spec.Tasks) * spec.CPUs)
	for n := 0; n*ChunkSize < spec.Tasks; n++ {
		j.Chunks = append(j.Chunks, &Chunk{Number: n, DoneBits: make([]byte, ChunkSize/8), NextAttempt: 1, Job: j})
	}
	for _, it := range chunks {
		_, num, _ := strings.Cut(strings.TrimPrefix(it.Key, ChunkPrefix), "/")
		n, err := strconv.Atoi(num)
		if err != nil || n < 0 || n >= len(j.Chunks) {
			o.log.Error("chunk beyond its job", "key", it.Key)
			continue
		}
		c := j.Chunks[n]
		c.Version = it.Version
		rec, err := ParseChunk(it.Value, spec.Tasks)
		if err != nil {
			o.log.Error("unreadable chunk record", "key", it.Key, "err", err)
			continue
		}
		copy(c.DoneBits, rec.Done)
		for i := 0; i < len(rec.Failed); i += 3 {
			if t := rec.Failed[i]; t/ChunkSize == uint64(n) {
				c.SetFailed(int(t), rec.Failed[i+1], rec.Failed[i+2])
			}
		}
		c.NextAttempt, c.SavedSeq = max(1, rec.Next), rec.Seq
		for i := 0; i < len(rec.Places); i += 3 {
			o.found(j, int(rec.Places[i]), rec.Places[i+1], rec.Machines[rec.Places[i+2]], fence)
		}
	}
	for _, e := range entries {
		o.replay(j, e, fence)
	}
	o.dropTasks(j)
	for _, c := range j.Chunks {
		for _, p := range append([]*Placement(nil), c.Placements...) {
			if c.IsDone(p.Task) && c.Failed[p.Task].Outcome != OutcomeCancelled {
				o.drop(p)
				continue
			}
			o.count(p, 1)
		}
	}
	for t := spec.Tasks - 1; t >= 0; t-- {
		if j.Chunks[t/ChunkSize].IsDone(t) {
			j.Finished++
			if _, failed := j.Chunks[t/ChunkSize].Failed[t]; !failed {
				j.Done++
			}
		} else if len(j.Placements[t]) == 0 {
			j.Pending = append(j.Pending, t)
		}
	}
	if j.Done > 0 {
		j.RecordBegin(time.Now()) // earlier, under a predecessor: nobody knows when
	}
	if fence == 0 && !spec.Service() && (j.Constraints == nil || o.waits(j, time.Now()) == "") {
		work := float64(spec.Tasks) * spec.CPUs * j.RunEstimate()
		o.admitted += work
		a := o.arriving[spec.Class]
		if a == nil {
			a = &ArrivingWork{}
			o.arriving[spec.Class] = a
		}
		a.Admitted += work
		a.Rank = spec.Rank()
	}
	o.jobs[spec.UID] = j
	o.order = append(o.order, j)
	o.finish(j)
	return j
}

// found attaches a place that the store knows of.
func (o *Scheduler) found(j *Job, task int, attempt uint64, machine string, fence uint64) {
	c := j.Chunks[task/ChunkSize]
	c.NextAttempt = max(c.NextAttempt, attempt+1)
	for _, p := range j.Placements[task] {
		if p.Attempt == attempt {
			return
		}
	}
	o.attach(&Placement{Job: j, Chunk: c, Task: task, Attempt: attempt, Worker: o.machineOf(machine), State: PlacementUnconfirmed,
		MaxToken: fence - 1, Session: math.MaxUint64, CreatedAt: time.Now(), InStore: true})
}
