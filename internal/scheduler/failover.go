package scheduler

import (
	"context"
	"strings"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/shardlog"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// syncShards loads shards that were gained and forgets those that were lost.
func (o *Scheduler) syncShards(ctx context.Context) {
	claimed := o.state.Member.ClaimedShards()
	var gained []int
	o.state.Mu.Lock()
	for s, v := range o.state.Loaded {
		if claimed[s] != v {
			o.unload(s)
		}
	}
	for s := range claimed {
		if _, ok := o.state.Loaded[s]; !ok {
			gained = append(gained, s)
		}
	}
	o.state.Mu.Unlock()
	if len(gained) == 0 || o.state.Member.LeaseRemaining() <= 0 {
		return
	}
	lctx, cancel := context.WithTimeout(statestore.WithPriority(ctx, statestore.Urgent), 8*time.Second)
	defer cancel()
	if err := o.load(lctx, gained, claimed); err != nil {
		o.log.Info("loading shards failed", "shards", gained, "err", err)
		statestore.Backoff(ctx, 0, 100*time.Millisecond, time.Second)
		jobstate.Notify(o.state.PlanSignal)
	}
}

func (s *Scheduler) unload(shard int) {
	delete(s.state.Loaded, shard)
	delete(s.listedRevision, shard)
	s.writer.ForgetLog(shard)
	s.quota.OwnershipChanged()
	for uid, job := range s.state.Jobs {
		if job.Shard == shard {
			s.state.ForgetJob(uid, job)
		}
	}
	if len(s.state.Loaded) == 0 {
		s.state.LooseRows = nil // a successor may have written what they tell of
	}
	s.log.Info("shard lost", "shard", shard)
}

// load takes over shards. Every place found in the store is unsettled: the
// last owner may have granted it. All tokens given out so far are below the
// fresh one, so a report that shows it, and not the task, settles the place.
func (o *Scheduler) load(ctx context.Context, shards []int, versions map[int]uint64) error {
	o.state.Mu.Lock()
	o.loading, o.early = true, nil
	o.state.Mu.Unlock()
	defer func() {
		o.state.Mu.Lock()
		o.loading, o.early = false, nil
		o.state.Mu.Unlock()
	}()
	fence, err := o.state.Member.NextToken(ctx)
	if err != nil {
		return err
	}
	chunks, _, err := o.store.List(ctx, jobrecord.ChunkPrefix)
	if err != nil {
		return err
	}
	jobs, listed, err := o.store.List(ctx, jobrecord.LivePrefix)
	if err != nil {
		return err
	}
	slots, _, err := o.store.List(ctx, jobrecord.LogPrefix)
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
		uid, _, _ := strings.Cut(strings.TrimPrefix(it.Key, jobrecord.ChunkPrefix), "/")
		byJob[uid] = append(byJob[uid], it)
	}
	n := o.adopt(shards, versions, want, jobs, listed, byJob, slots, fence)
	o.log.Info("took shards over", "shards", shards, "jobs", n, "fence", fence)
	jobstate.Notify(o.state.PlanSignal)
	jobstate.Notify(o.state.WriteSignal)
	return nil
}

// adopt makes living jobs of what a takeover has read, as of revision listed or later.
func (o *Scheduler) adopt(shards []int, versions map[int]uint64, want map[int]bool, jobs []wire.Item, listed uint64, byJob map[string][]wire.Item, slots []wire.Item, fence uint64) (n int) {
	o.state.Mu.Lock()
	defer o.state.Mu.Unlock()
	o.state.PredecessorToken = max(o.state.PredecessorToken, fence-1)
	logs, entries := o.writer.ReadLogs(slots, want)
	for _, it := range jobs {
		var r jobrecord.LiveRecord
		if err := json.Unmarshal(it.Value, &r); err != nil {
			o.log.Error("unreadable job record", "key", it.Key, "err", err)
			continue
		}
		own := byJob[r.Job.UID]
		delete(byJob, r.Job.UID)
		if !want[r.Shard] || o.state.Jobs[r.Job.UID] != nil {
			continue
		}
		o.writer.Admit(&shardlog.JobRecords{Live: &r, Version: it.Version, Chunks: own, Entries: entries[r.Job.UID]}, fence)
		n++
	}
	if len(o.state.Loaded) == 0 {
		o.ownershipEpoch++
	}
	o.writer.AddLogs(logs)
	for uid, items := range byJob {
		if o.state.Jobs[uid] == nil && len(o.state.Loaded)+len(shards) == o.state.Operator.Shards {
			for _, it := range items {
				o.writer.DeleteChunks(it.Key)
			}
		}
	}
	for _, s := range shards {
		o.state.Loaded[s], o.listedRevision[s] = versions[s], listed
	}
	o.quota.OwnershipChanged()
	if o.state.AccountingEnabled {
		o.writer.StartAccounting(fence)
	}
	o.state.LoadedAt = time.Now()
	for _, worker := range o.state.Workers {
		worker.KnownSince = time.Now()
	}
	for i := range o.early {
		o.takeRecord(&o.early[i].record, o.early[i].version)
	}
	o.loading, o.early = false, nil
	o.state.Stats.Failovers++
	for _, worker := range o.state.Workers {
		if len(worker.Placements) > 0 {
			worker.RecordedFailover = o.state.Stats.Failovers
		}
	}
	return n
}
