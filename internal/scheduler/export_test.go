package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/shardlog"
	"github.com/wallrack/wallrack/internal/wire"
)

// Pass runs one scheduling pass.
func (s *Scheduler) Pass() {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	s.planner.Triage()
	s.planner.Pass()
	s.planner.Rebalance()
}

// PlacedTasks returns the number of the job's tasks that have a placement.
func (s *Scheduler) PlacedTasks(uid string) int {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	return len(s.state.Jobs[uid].Placements)
}

// PlacementsOf returns the placements of the job's tasks.
func (s *Scheduler) PlacementsOf(uid string) (refs []dispatch.TaskRef) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	for _, placements := range s.state.Jobs[uid].Placements {
		for _, placement := range placements {
			refs = append(refs, placement.Ref)
		}
	}
	return refs
}

// Load loads every claimed shard.
func (s *Scheduler) Load(ctx context.Context) error {
	claimed := s.state.Membership.ClaimedShards()
	shards := make([]int, 0, len(claimed))
	for shard := range claimed {
		shards = append(shards, shard)
	}
	return s.load(ctx, shards, claimed)
}

// Unload unloads every shard.
func (s *Scheduler) Unload() {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	for shard := range s.state.Loaded {
		s.unload(shard)
	}
}

// WriteOnce writes one transaction of unwritten changes, or repeats the one whose outcome is
// unknown.
func (s *Scheduler) WriteOnce(ctx context.Context) error {
	_, err := s.writer.WriteOnce(ctx)
	return err
}

// WriteAll writes all unwritten changes.
func (s *Scheduler) WriteAll(ctx context.Context) error {
	for more := true; more; {
		var err error
		if more, err = s.writer.WriteOnce(ctx); err != nil {
			return err
		}
	}
	return nil
}

// OutboxCounts returns the number of halts and clears in the outbox.
func (s *Scheduler) OutboxCounts() (halts, clears int) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	for _, instructions := range s.state.Outbox {
		halts += len(instructions.Halt)
		clears += len(instructions.Forget)
	}
	return halts, clears
}

// ReplayRecords creates a job with the given number of tasks from log records and from a chunk
// record that covers log records up to savedSeq and is otherwise empty. It returns the job's
// placements and finished tasks.
func (s *Scheduler) ReplayRecords(tasks int, savedSeq uint64, records []string) (placements []string, done []int) {
	items := make([]wire.Item, 0, len(records))
	for i, record := range records {
		items = append(items, wire.Item{Key: jobrecord.LogKey(0, i), Value: json.RawMessage(record), Version: uint64(i + 1)})
	}
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	_, entries := s.writer.ReadLogs(items, []int{0})
	chunk := wire.Item{Key: jobrecord.ChunkKey("j-1", 0), Value: json.RawMessage(fmt.Sprintf(`{"seq":%d,"next":1}`, savedSeq)), Version: 9}
	live := &jobrecord.LiveRecord{Job: wire.Job{UID: "j-1", Kind: wire.KindArray, Tasks: tasks}}
	job := s.writer.Admit(&shardlog.JobRecords{Live: live, Version: 1, Chunks: []wire.Item{chunk}, Entries: entries["j-1"]}, 7)
	for _, taskPlacements := range job.Placements {
		for _, placement := range taskPlacements {
			placements = append(placements, fmt.Sprintf("%s %d %s", placement.Ref.Task, placement.Attempt, placement.Ref.Worker))
		}
	}
	sort.Strings(placements)
	for task := range tasks {
		if job.Chunks[0].IsOver(task) {
			done = append(done, task)
		}
	}
	s.state.ForgetJob("j-1", job)
	return placements, done
}

// ApplyCancel applies a recorded cancel of a job to the state.
func (s *Scheduler) ApplyCancel(uid string) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	s.state.CancelJob(s.state.Jobs[uid])
}

// TeamCPUs returns the CPUs that count against a team's limit.
func (s *Scheduler) TeamCPUs(team string) float64 {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	return s.state.Teams[team].Used.CPUs
}

// SetTeamCPULimit sets a team's CPU limit.
func (s *Scheduler) SetTeamCPULimit(team string, cpus float64) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	s.state.Teams[team].CPUsMax = cpus
}

// ResolveCancels settles cancels whose outcome has been unknown for longer than
// cancelResolveDelay.
func (s *Scheduler) ResolveCancels(ctx context.Context) { s.resolveCancels(ctx) }

// WithStateLocked calls a function while the state is locked, as it is during a pass.
func (s *Scheduler) WithStateLocked(call func()) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	call()
}

// HeartbeatAge returns the time since a worker's last heartbeat arrived.
func (s *Scheduler) HeartbeatAge(worker string) time.Duration {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	return time.Since(s.state.Workers[worker].LastHeartbeat)
}

// SetCancellations sets the cancelled jobs known to this controller.
func (s *Scheduler) SetCancellations(cancellations jobstate.Cancellations) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	s.state.Cancellations = cancellations
}

// SetEndWriteSent sets that the write of a job's end is in flight.
func (s *Scheduler) SetEndWriteSent(uid string) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	s.state.Jobs[uid].EndWriteSent = true
}
