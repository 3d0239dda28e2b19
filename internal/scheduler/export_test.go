package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/shardlog"
	"github.com/wallrack/wallrack/internal/wire"
)

// Pass is one scheduling pass.
func (s *Scheduler) Pass() {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	s.planner.Triage()
	s.planner.Pass()
	s.planner.Rebalance()
}

// Placed counts a job's tasks that have a place.
func (s *Scheduler) Placed(uid string) int {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	return len(s.state.Jobs[uid].Placements)
}

// PlacesOf lists the places of a job's tasks.
func (s *Scheduler) PlacesOf(uid string) (refs []dispatch.TaskRef) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	for _, ps := range s.state.Jobs[uid].Placements {
		for _, placement := range ps {
			refs = append(refs, placement.Ref)
		}
	}
	return refs
}

// Load takes over every shard that the membership claims.
func (s *Scheduler) Load(ctx context.Context) error {
	claimed := s.state.Member.ClaimedShards()
	shards := make([]int, 0, len(claimed))
	for shard := range claimed {
		shards = append(shards, shard)
	}
	return s.load(ctx, shards, claimed)
}

// Record writes what there is to be written.
func (s *Scheduler) Record(ctx context.Context) error {
	for more := true; more; {
		var err error
		if more, err = s.writer.WriteOnce(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Unload forgets every shard.
func (s *Scheduler) Unload() {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	for shard := range s.state.Loaded {
		s.unload(shard)
	}
}

// Directions counts the halts and clears that wait to be sent.
func (s *Scheduler) Directions() (halts, clears int) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	for _, d := range s.state.Outbox {
		halts += len(d.Halt)
		clears += len(d.Clear)
	}
	return halts, clears
}

// Replayed makes a job of so many tasks of log records, with a chunk record
// that says nothing up to record saved.
func (s *Scheduler) Replayed(tasks int, saved uint64, records []string) (places []string, done []int) {
	var items []wire.Item
	for i, r := range records {
		items = append(items, wire.Item{Key: jobrecord.LogKey(0, i), Value: json.RawMessage(r), Version: uint64(i + 1)})
	}
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	_, entries := s.writer.ReadLogs(items, []int{0})
	chunk := wire.Item{Key: jobrecord.ChunkKey("j-1", 0), Value: json.RawMessage(fmt.Sprintf(`{"seq":%d,"next":1}`, saved)), Version: 9}
	job := s.writer.Admit(&shardlog.JobRecords{Live: &jobrecord.LiveRecord{Job: wire.Job{UID: "j-1", Kind: wire.KindArray, Tasks: tasks}}, Version: 1, Chunks: []wire.Item{chunk}, Entries: entries["j-1"]}, 7)
	for _, ps := range job.Placements {
		for _, placement := range ps {
			places = append(places, fmt.Sprintf("%s %d %s", placement.Ref.Task, placement.Attempt, placement.Ref.Machine))
		}
	}
	sort.Strings(places)
	for t := range tasks {
		if job.Chunks[0].IsDone(t) {
			done = append(done, t)
		}
	}
	s.state.ForgetJob("j-1", job)
	return places, done
}

// CancelRecorded acts on a cancel of a job that is recorded.
func (s *Scheduler) CancelRecorded(uid string) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	s.state.CancelJob(s.state.Jobs[uid])
}

// TeamUse is the CPUs that a team's tasks may use.
func (s *Scheduler) TeamUse(team string) float64 {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	return s.state.Teams[team].Used.CPUs
}

// LimitTeam sets a team's limit of CPUs.
func (s *Scheduler) LimitTeam(team string, cpus float64) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	s.state.Teams[team].CPUsMax = cpus
}

// ResolveCancels settles cancels whose outcome has been open for a while.
func (s *Scheduler) ResolveCancels(ctx context.Context) { s.resolveCancels(ctx) }

// WhileBusy does something while this owner can do nothing else, as during a pass.
func (s *Scheduler) WhileBusy(do func()) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	do()
}

// HeardAgo is how long ago a machine was heard, as far as this owner knows.
func (s *Scheduler) HeardAgo(name string) time.Duration {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	return time.Since(s.state.Workers[name].LastHeartbeat)
}
