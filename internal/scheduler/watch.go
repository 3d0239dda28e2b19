package scheduler

import (
	"context"
	"strings"
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

// Each job's live record changes at least twice, and each controller watches all live records:
// without a rate limit, requests to the state service grow with the product of jobs and
// controllers. Cancels don't wait for this watch: a leader applies those that it wrote itself, and
// other controllers get them from their peers. Only a cancel whose write got no response is
// learned from the watch.
const (
	watchBurst   = 4 // number of responses without a pause between them after a period without changes
	watchTimeout = 20 * time.Second
	// leaderWatchInterval is short because a job that another controller accepted starts only
	// once its leader's watch has returned it.
	leaderWatchInterval = 50 * time.Millisecond
	// idleWatchInterval applies to a controller without shards, for which the watch only
	// reports cancels. After a failover to this controller, applyRecord recognizes outdated
	// responses of the watch by the revision at which the shard was loaded.
	idleWatchInterval = 200 * time.Millisecond
)

// watchInterval returns the maximum pause between responses of the watch.
func (s *Scheduler) watchInterval() time.Duration {
	if len(s.state.Membership.ClaimedShards()) > 0 {
		return leaderWatchInterval
	}
	return idleWatchInterval
}

// watch watches the live records, which any controller may write, and applies each to the state
// until ctx ends.
func (s *Scheduler) watch(ctx context.Context) {
	ctx = statestore.WithPacing(statestore.WithPriority(ctx, statestore.Urgent), statestore.Pacing{Burst: watchBurst, Pause: s.watchInterval})
	s.store.Watch(ctx, jobrecord.LivePrefix, watchTimeout, func(items []wire.Item) {
		s.liveJobs.clear()
		s.state.Mu.Lock()
		defer s.state.Mu.Unlock()
		for _, item := range items {
			s.applyEncodedRecord(item.Key, item.Value, item.Version)
		}
	}, func(events []wire.Event) {
		defer usage.AddTime(usage.WatchEvents, time.Now())
		s.state.Mu.Lock()
		defer s.state.Mu.Unlock()
		for _, event := range events {
			if event.Put != "" {
				s.applyEncodedRecord(event.Put, event.Value, event.Version)
			} else {
				s.liveJobs.remove(strings.TrimPrefix(event.Delete, jobrecord.LivePrefix))
			}
		}
	})
}

// applyEncodedRecord decodes a live record and passes it to applyRecord.
func (s *Scheduler) applyEncodedRecord(key string, value json.RawMessage, version uint64) {
	var record jobrecord.LiveRecord
	if err := json.Unmarshal(value, &record); err != nil {
		s.log.Error("unreadable job record", "key", key, "err", err)
		return
	}
	s.liveJobs.add(&record)
	s.applyRecord(&record, version)
}

// bufferedRecord is a live record that was received while shards were being loaded.
type bufferedRecord struct {
	record  jobrecord.LiveRecord
	version uint64
}

// applyRecord applies a live record of the given version to the state if this controller has loaded
// its shard. Older and repeated records, and those of ended jobs, have no effect. A cancel is
// recorded whatever the shard. While shards are being loaded, the records of other shards are kept
// and applied after the load.
func (s *Scheduler) applyRecord(record *jobrecord.LiveRecord, version uint64) {
	uid := record.Job.UID
	if record.Cancelled && s.state.Cancellations != nil {
		s.state.Cancellations.RecordCancelled(uid) // also for a shard led elsewhere
	}
	if _, leads := s.state.Loaded[record.Shard]; !leads {
		if s.loading {
			// The listing that is being read may not have this record yet. Without the buffer,
			// the job would be missing from the state until the next failover.
			s.bufferedRecords = append(s.bufferedRecords, bufferedRecord{*record, version})
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
		// The listing with which the shard was loaded does not contain the job: it ended under
		// a predecessor, and the watch lags. Without this check the user would be told "queued"
		// after "done", and the job's tasks would start again.
		return
	}
	s.writer.Admit(&shardlog.JobRecords{Live: record, Version: version}, 0)
	jobstate.Notify(s.state.PlanSignal)
}

// JobAccepted adds a job that this process has just accepted and recorded: its constraints (nil
// if it has none), its shard, its time of acceptance in milliseconds since 1970, and the
// version of its live record. It has no effect if another controller leads the shard, or if the
// job is already known.
func (s *Scheduler) JobAccepted(spec *wire.Job, constraints *jobspec.Constraints, shard int, acceptedMs int64, version uint64) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	if s.state.Jobs[spec.UID] == nil {
		s.applyRecord(&jobrecord.LiveRecord{Job: *spec, Shard: shard, AcceptedMs: acceptedMs, Constraints: constraints}, version)
	}
}
