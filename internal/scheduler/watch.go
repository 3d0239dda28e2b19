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

// Changes of living jobs come with each job, two at least, and each controller watches
// them all: without a pace, requests to the state service grow with jobs times controllers.
// Cancels don't wait for this watch, unless the answer to the write of one was lost: an
// owner takes them from its own writes, others hear of them by the mesh.
const (
	watchBurst = 4 // answers after a quiet time that are followed by no pause
	// ownerPause is short, since a job that another controller has accepted starts only
	// once its owner's watch has told of it.
	ownerPause = 50 * time.Millisecond
	// otherPause is for a controller without jobs, to which the watch tells cancels only.
	// What comes late after it has taken jobs over, Scheduler.take knows from what it has read.
	otherPause = 200 * time.Millisecond
)

// watchPause is the longest pause between answers of the watch.
func (s *Scheduler) watchPause() time.Duration {
	if len(s.state.Member.ClaimedShards()) > 0 {
		return ownerPause
	}
	return otherPause
}

// watch follows accepted jobs, which any controller may record.
func (s *Scheduler) watch(ctx context.Context) {
	take := func(key string, value json.RawMessage, version uint64) {
		var r jobrecord.LiveRecord
		if err := json.Unmarshal(value, &r); err != nil {
			s.log.Error("unreadable job record", "key", key, "err", err)
			return
		}
		s.takeRecord(&r, version)
	}
	ctx = statestore.WithPacing(statestore.WithPriority(ctx, statestore.Urgent), statestore.Pacing{Burst: watchBurst, Pause: s.watchPause})
	s.store.Watch(ctx, jobrecord.LivePrefix, 20*time.Second, func(items []wire.Item) {
		s.state.Mu.Lock()
		defer s.state.Mu.Unlock()
		for _, it := range items {
			take(it.Key, it.Value, it.Version)
		}
	}, func(events []wire.Event) {
		defer usage.Count(usage.Watches, time.Now())
		s.state.Mu.Lock()
		defer s.state.Mu.Unlock()
		for _, e := range events {
			if e.Put != "" {
				take(e.Put, e.Value, e.Version)
			}
		}
	})
}

// earlyRecord is a living job's record that came while shards were being loaded.
type earlyRecord struct {
	record  jobrecord.LiveRecord
	version uint64
}

// take takes a living job's record that was written just now.
func (s *Scheduler) takeRecord(r *jobrecord.LiveRecord, version uint64) {
	if r.Cancelled && s.state.Cancellations != nil {
		s.state.Cancellations.RecordCancelled(r.Job.UID) // whoever owns it
	}
	if _, mine := s.state.Loaded[r.Shard]; !mine {
		if s.loading {
			// The listing that is being read may be from before: without
			// this, the job would wait until the next takeover.
			s.early = append(s.early, earlyRecord{*r, version})
		}
		return
	}
	if _, over := s.state.Final[r.Job.UID]; over {
		return
	}
	job := s.state.Jobs[r.Job.UID]
	if job == nil {
		if version <= s.listedRevision[r.Shard] {
			// The listing that the shard was loaded with does not have it: it ended
			// under a predecessor, of which a watch that lags has yet to tell. Its user
			// was told "queued" after "done", and its tasks were started again.
			return
		}
		s.writer.Admit(&shardlog.JobRecords{Live: r, Version: version}, 0)
		jobstate.Notify(s.state.PlanSignal)
		return
	}
	if version > job.Version {
		s.state.UpdateRecord(job, r, version)
	}
}

// JobAccepted adds a job, with its terms if it has any, that this process has just
// recorded.
func (s *Scheduler) JobAccepted(spec *wire.Job, t *jobspec.Constraints, shard int, atMs int64, version uint64) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	if s.state.Jobs[spec.UID] == nil {
		s.takeRecord(&jobrecord.LiveRecord{Job: *spec, Shard: shard, AtMs: atMs, Terms: t}, version)
	}
}
