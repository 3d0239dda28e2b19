package scheduler

import (
	"context"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/shardlog"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

// Each job changes its living record at least twice, and each controller watches all of them:
// without a rate limit, requests to the state service grow with jobs times controllers.
// Cancels don't wait for this watch, unless the response to the write of one was lost: a
// leader takes them from its own writes, other controllers get them from their peers.
const (
	watchBurst   = 4 // responses after a quiet time that are followed by no pause
	watchTimeout = 20 * time.Second
	// leaderWatchInterval is short: a job that another controller accepted starts only once
	// its leader's watch has returned it.
	leaderWatchInterval = 50 * time.Millisecond
	// idleWatchInterval is for a controller without shards, to which the watch only brings
	// cancels. What a watch returns late, after a failover to this controller, takeRecord
	// recognizes by the revision that the shard was loaded at.
	idleWatchInterval = 200 * time.Millisecond
)

// watchInterval is the longest pause between responses of the watch.
func (s *Scheduler) watchInterval() time.Duration {
	if len(s.state.Membership.ClaimedShards()) > 0 {
		return leaderWatchInterval
	}
	return idleWatchInterval
}

// watch follows the records of living jobs, which any controller may write.
func (s *Scheduler) watch(ctx context.Context) {
	ctx = statestore.WithPacing(statestore.WithPriority(ctx, statestore.Urgent), statestore.Pacing{Burst: watchBurst, Pause: s.watchInterval})
	s.store.Watch(ctx, jobrecord.LivePrefix, watchTimeout, func(items []wire.Item) {
		s.state.Mu.Lock()
		defer s.state.Mu.Unlock()
		for _, item := range items {
			s.takeEncoded(item.Key, item.Value, item.Version)
		}
	}, func(events []wire.Event) {
		defer usage.AddTime(usage.WatchEvents, time.Now())
		s.state.Mu.Lock()
		defer s.state.Mu.Unlock()
		for _, event := range events {
			if event.Put != "" {
				s.takeEncoded(event.Put, event.Value, event.Version)
			}
		}
	})
}

// takeEncoded is takeRecord for a record as it is stored.
func (s *Scheduler) takeEncoded(key string, value json.RawMessage, version uint64) {
	var record jobrecord.LiveRecord
	if err := json.Unmarshal(value, &record); err != nil {
		s.log.Error("unreadable job record", "key", key, "err", err)
		return
	}
	s.takeRecord(&record, version)
}

// earlyRecord is a living job's record that arrived while shards were being loaded.
type earlyRecord struct {
	record  jobrecord.LiveRecord
	version uint64
}

// takeRecord applies a living job's record, as it was written at a version, to the state.
// Older and repeated ones have no effect.
func (s *Scheduler) takeRecord(record *jobrecord.LiveRecord, version uint64) {
	uid := record.Job.UID
	if record.Cancelled && s.state.Cancellations != nil {
		s.state.Cancellations.RecordCancelled(uid) // whoever leads its shard
	}
	if _, leads := s.state.Loaded[record.Shard]; !leads {
		if s.loading {
			// The listing that is being read may be older: without this, the job would
			// wait until the next failover.
			s.earlyRecords = append(s.earlyRecords, earlyRecord{*record, version})
		}
		return
	}
	if _, ended := s.state.FinalRecords[uid]; ended {
		return
	}
	job := s.state.Jobs[uid]
	if job != nil {
		if version > job.Version {
			s.state.UpdateRecord(job, record, version)
		}
		return
	}
	if version <= s.listedRevision[record.Shard] {
		// The listing that the shard was loaded with does not have the job: it ended under
		// a predecessor, and the watch lags. Otherwise its user would get "queued" after
		// "done", and its tasks would start again.
		return
	}
	s.writer.Admit(&shardlog.JobRecords{Live: record, Version: version}, 0)
	jobstate.Notify(s.state.PlanSignal)
}

// JobAccepted adds a job that this process has just recorded: its constraints if it has any,
// its shard, when it was accepted (milliseconds since 1970), and the version of its record.
// It has no effect if another controller leads the shard, or if the job is known.
func (s *Scheduler) JobAccepted(spec *wire.Job, constraints *jobspec.Constraints, shard int, acceptedMs int64, version uint64) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	if s.state.Jobs[spec.UID] == nil {
		s.takeRecord(&jobrecord.LiveRecord{Job: *spec, Shard: shard, AcceptedMs: acceptedMs, Constraints: constraints}, version)
	}
}
