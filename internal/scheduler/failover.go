package scheduler

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/shardlog"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// LoadTimeout bounds one attempt to load shards at a failover.
const LoadTimeout = 8 * time.Second

// syncShards unloads the shards that this controller no longer leads and loads the ones it has
// gained.
func (s *Scheduler) syncShards(ctx context.Context) {
	claimed := s.state.Membership.ClaimedShards()
	gained := s.unloadLost(claimed)
	if len(gained) == 0 || s.state.Membership.LeaseRemaining() <= 0 {
		return
	}
	loadCtx, cancel := context.WithTimeout(statestore.WithPriority(ctx, statestore.Urgent), LoadTimeout)
	defer cancel()
	if err := s.load(loadCtx, gained, claimed); err != nil {
		s.log.Info("loading shards failed", "shards", gained, "err", err)
		statestore.Backoff(ctx, 0, 100*time.Millisecond, time.Second)
		jobstate.Notify(s.state.PlanSignal)
	}
}

// unloadLost unloads the shards that are no longer claimed under the version with which they
// were loaded, and returns the claimed shards that are not loaded.
func (s *Scheduler) unloadLost(claimed map[int]uint64) (gained []int) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	for shard, version := range s.state.Loaded {
		if claimed[shard] != version {
			s.unload(shard)
		}
	}
	for shard := range claimed {
		if _, loaded := s.state.Loaded[shard]; !loaded {
			gained = append(gained, shard)
		}
	}
	return gained
}

// unload removes a shard and its jobs from the state.
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
		s.state.StandaloneRows = nil // a successor may have written rows for the same attempts
	}
	s.log.Info("shard lost", "shard", shard)
}

// failoverRecords holds the records read for the shards that this controller gains in a
// failover.
type failoverRecords struct {
	shards   []int
	versions map[int]uint64 // of the shards' keys, by shard
	token    uint64         // fencing token, higher than any under which a predecessor granted a start

	jobs     []wire.Item // live jobs of all shards, not only the gained ones
	revision uint64      // of the listing of jobs
	chunks   []wire.Item // of all shards
	logs     []wire.Item // of all shards

	readTime time.Duration // it took to read all of them
}

// load makes this controller the acting leader of the shards, whose keys must have the given
// versions. Each placement found in the state service is unconfirmed: the predecessor may have
// granted its start. All earlier fencing tokens are lower than the new one, so a heartbeat that
// reports the new token but not the task settles the placement: no earlier start command can
// still take effect.
func (s *Scheduler) load(ctx context.Context, shards []int, versions map[int]uint64) error {
	s.setLoading(true)
	defer s.setLoading(false)
	f, err := s.readShards(ctx, shards, versions)
	if err != nil {
		return err
	}
	chunksByJob := map[string][]wire.Item{}
	for _, item := range f.chunks {
		uid, _, _ := strings.Cut(strings.TrimPrefix(item.Key, jobrecord.ChunkPrefix), "/")
		chunksByJob[uid] = append(chunksByJob[uid], item)
	}
	jobs := s.applyFailover(&f, chunksByJob)
	s.log.Info("failover complete", "shards", shards, "jobs", jobs, "fencing_token", f.token, "revision", f.revision, "read_s", f.readTime.Seconds())
	jobstate.Notify(s.state.PlanSignal)
	jobstate.Notify(s.state.WriteSignal)
	return nil
}

// setLoading sets whether records of shards that aren't loaded are buffered for the load in
// progress, and discards the records buffered so far.
func (s *Scheduler) setLoading(loading bool) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	s.loading, s.bufferedRecords = loading, nil
}

// readShards obtains a fencing token and reads the records of the shards. No other controller
// writes the shards' chunks and logs any more, because each such write is guarded by the
// shard's key.
func (s *Scheduler) readShards(ctx context.Context, shards []int, versions map[int]uint64) (f failoverRecords, err error) {
	f.shards, f.versions = shards, versions
	start := time.Now()
	if f.token, err = s.state.Membership.NextToken(ctx); err != nil {
		return f, fmt.Errorf("obtain a fencing token: %w", err)
	}
	if f.chunks, _, err = s.store.List(ctx, jobrecord.ChunkPrefix); err != nil {
		return f, fmt.Errorf("list chunk records: %w", err)
	}
	if f.jobs, f.revision, err = s.store.List(ctx, jobrecord.LivePrefix); err != nil {
		return f, fmt.Errorf("list live jobs: %w", err)
	}
	if f.logs, _, err = s.store.List(ctx, jobrecord.LogPrefix); err != nil {
		return f, fmt.Errorf("list log records: %w", err)
	}
	f.readTime = time.Since(start)
	return f, nil
}

// applyFailover adds the live jobs of the gained shards to the state, starts leading the
// shards, and returns the number of jobs added.
func (s *Scheduler) applyFailover(f *failoverRecords, chunksByJob map[string][]wire.Item) (jobs int) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	s.state.PredecessorToken = max(s.state.PredecessorToken, f.token-1)
	logs, entries := s.writer.ReadLogs(f.logs, f.shards)
	jobs = s.admitJobs(f, chunksByJob, entries)
	if len(s.state.Loaded) == 0 {
		s.leadershipEpoch++
	}
	s.writer.AddLogs(logs)
	if len(s.state.Loaded)+len(f.shards) == s.state.Operator.Shards {
		// Only with all shards loaded: a chunk's key does not name its shard, so the chunk may
		// otherwise belong to another leader's job.
		s.deleteOrphanedChunks(chunksByJob)
	}
	for _, shard := range f.shards {
		s.state.Loaded[shard], s.listedRevision[shard] = f.versions[shard], f.revision
	}
	s.quota.OwnershipChanged()
	if s.state.AccountingEnabled {
		s.writer.StartAccounting(f.token)
	}
	s.state.LoadedAt = time.Now()
	for _, worker := range s.state.Workers {
		worker.KnownSince = time.Now()
	}
	for i := range s.bufferedRecords {
		s.applyRecord(&s.bufferedRecords[i].record, s.bufferedRecords[i].version)
	}
	s.loading, s.bufferedRecords = false, nil
	s.state.Stats.Failovers++
	for _, worker := range s.state.Workers {
		if len(worker.Placements) > 0 {
			worker.RecordedFailover = s.state.Stats.Failovers
		}
	}
	return jobs
}

// admitJobs admits the live jobs of the gained shards and returns their number. From
// chunksByJob it removes the chunks of every live job, whatever its shard.
func (s *Scheduler) admitJobs(f *failoverRecords, chunksByJob map[string][]wire.Item, entries map[string][]shardlog.LogEntry) (admitted int) {
	for _, item := range f.jobs {
		var record jobrecord.LiveRecord
		if err := json.Unmarshal(item.Value, &record); err != nil {
			s.log.Error("unreadable job record", "key", item.Key, "err", err)
			continue
		}
		uid := record.Job.UID
		chunks := chunksByJob[uid]
		delete(chunksByJob, uid)
		if !slices.Contains(f.shards, record.Shard) || s.state.Jobs[uid] != nil {
			continue
		}
		s.writer.Admit(&shardlog.JobRecords{Live: &record, Version: item.Version, Chunks: chunks, Entries: entries[uid]}, f.token)
		admitted++
	}
	return admitted
}

// deleteOrphanedChunks queues the chunk records of jobs that are no longer live for deletion.
func (s *Scheduler) deleteOrphanedChunks(chunksByJob map[string][]wire.Item) {
	for uid, items := range chunksByJob {
		if s.state.Jobs[uid] != nil {
			continue
		}
		for _, item := range items {
			s.writer.QueueChunkDeletions(item.Key)
		}
	}
}
