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

const loadTimeout = 8 * time.Second

// syncShards loads shards that were gained and unloads those that were lost.
func (s *Scheduler) syncShards(ctx context.Context) {
	claimed := s.state.Membership.ClaimedShards()
	gained := s.unloadLost(claimed)
	if len(gained) == 0 || s.state.Membership.LeaseRemaining() <= 0 {
		return
	}
	loadCtx, cancel := context.WithTimeout(statestore.WithPriority(ctx, statestore.Urgent), loadTimeout)
	defer cancel()
	if err := s.load(loadCtx, gained, claimed); err != nil {
		s.log.Info("loading shards failed", "shards", gained, "err", err)
		statestore.Backoff(ctx, 0, 100*time.Millisecond, time.Second)
		jobstate.Notify(s.state.PlanSignal)
	}
}

// unloadLost unloads the shards that are not claimed as they were loaded, and returns the
// claimed ones that are to be loaded.
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

// unload forgets a shard and its jobs.
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
		s.state.UnattachedRows = nil // a successor may have written the same attempts' rows
	}
	s.log.Info("shard lost", "shard", shard)
}

// failoverRecords is what is read of shards when their leadership is gained.
type failoverRecords struct {
	shards   []int
	versions map[int]uint64 // of the shards' keys
	token    uint64         // fencing token, above all that predecessors granted starts under

	jobs     []wire.Item // living jobs of all shards
	revision uint64      // of the listing of jobs
	chunks   []wire.Item // of all shards
	logs     []wire.Item // of all shards
}

// load makes this controller the acting leader of shards whose keys have the versions. Each
// placement found in the state service is unconfirmed: the last leader may have granted its
// start. All tokens given out so far are below the fresh one, so a heartbeat that shows the
// fresh one, and not the task, settles the placement.
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
	s.log.Info("failover complete", "shards", shards, "jobs", jobs, "fencing_token", f.token)
	jobstate.Notify(s.state.PlanSignal)
	jobstate.Notify(s.state.WriteSignal)
	return nil
}

// setLoading says whether records of shards that aren't loaded are kept for a load under way.
func (s *Scheduler) setLoading(loading bool) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	s.loading, s.bufferedRecords = loading, nil
}

// readShards takes a fencing token and reads what predecessors have recorded. Nobody else
// writes chunks and logs of the shards any more, since each such write is guarded by the
// shard's key.
func (s *Scheduler) readShards(ctx context.Context, shards []int, versions map[int]uint64) (f failoverRecords, err error) {
	f.shards, f.versions = shards, versions
	if f.token, err = s.state.Membership.NextToken(ctx); err != nil {
		return f, fmt.Errorf("take a fencing token: %w", err)
	}
	if f.chunks, _, err = s.store.List(ctx, jobrecord.ChunkPrefix); err != nil {
		return f, fmt.Errorf("list chunk records: %w", err)
	}
	if f.jobs, f.revision, err = s.store.List(ctx, jobrecord.LivePrefix); err != nil {
		return f, fmt.Errorf("list living jobs: %w", err)
	}
	if f.logs, _, err = s.store.List(ctx, jobrecord.LogPrefix); err != nil {
		return f, fmt.Errorf("list log records: %w", err)
	}
	return f, nil
}

// applyFailover adds the living jobs of a failover to the state and begins to lead its shards. It
// returns how many jobs there are.
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
		// A chunk's key does not name its shard: else the chunk may be another leader's.
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

// admitJobs admits the living jobs of the failover's shards. It deletes every living job's
// chunks, of whatever shard, from chunksByJob.
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

// deleteOrphanedChunks deletes the chunk records of jobs that aren't living.
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
