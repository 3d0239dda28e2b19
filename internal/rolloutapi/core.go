package rolloutapi

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/quota"
	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	firstShard        = 0   // its leader runs the autoscaler and the roll-outs
	maxRecordFraction = 0.9 // maximum size of a roll-out's record, as a fraction of the state service's limit for values
)

// Options are the dependencies of a Service.
type Options struct {
	Settings   *rollout.Settings
	Platform   *config.Platform
	Operator   *config.Operator
	Store      *statestore.Client
	Member     *membership.Member
	Scheduler  *scheduler.Scheduler
	Dispatcher *dispatch.Dispatcher
	Numbers    *jobid.Allocator // nil: jobs have no numbers
	Leaders    Leaders
	Mesh       *mesh.Mesh
	Log        *slog.Logger
}

// core implements rollout.Core with the scheduler.
type core struct {
	Options
}

// LeaderGuard returns a guard that holds as long as this controller is the leader for roll-outs, or
// false if it is not the leader.
func (c *core) LeaderGuard() (wire.Guard, bool) {
	version, owns := c.Member.LeadsShard(firstShard)
	return wire.Guard{Key: c.Member.ShardKey(firstShard), Version: version}, owns && c.Scheduler.LeadsAutoscaling()
}

// Submit records a job as accepted, in a transaction that also checks the guards. It succeeds
// without effect if the job exists already.
func (c *core) Submit(ctx context.Context, job *wire.Job, guards ...wire.Guard) error {
	if _, err := scheduler.ReadStoredState(ctx, c.Store, job.UID); err == nil {
		return nil
	} else if !errors.Is(err, statestore.ErrNotFound) {
		return err
	}
	shard := quota.AssignShard(job, c.Platform.Params.Teams, c.Operator)
	at := time.Now().UnixMilli()
	var constraints *jobspec.Constraints
	if c.Numbers != nil {
		number, err := c.Numbers.Take(ctx, job.Tasks)
		if err != nil {
			return err
		}
		constraints = &jobspec.Constraints{Number: number, Name: job.Class}
	}
	accept, ops := jobrecord.AcceptanceTxn(job, constraints, shard, at)
	revision, err := c.Store.Txn(ctx, append(accept, guards...), ops...)
	if err != nil {
		return err
	}
	c.Scheduler.JobAccepted(job, constraints, shard, at, revision)
	return nil
}

// Cancel cancels a job. It succeeds without effect if the job was never accepted.
func (c *core) Cancel(ctx context.Context, uid string) error {
	if _, err := c.Scheduler.Cancel(ctx, uid); !errors.Is(err, statestore.ErrNotFound) {
		return err
	}
	return nil
}

// Replicas returns the running replicas of a job, except those whose worker's endpoint is unknown.
func (c *core) Replicas(uid string) []rollout.Replica {
	var out []rollout.Replica
	for _, task := range c.Scheduler.RunningTasks(uid) {
		if endpoint := c.Dispatcher.Endpoint(task.Worker); endpoint != "" {
			out = append(out, rollout.Replica{Task: task.Task, Attempt: task.Attempt, Endpoint: endpoint})
		}
	}
	return out
}

// Unfinished reports whether a job of the class is unfinished.
func (c *core) Unfinished(class string) bool { return c.Scheduler.HasUnfinishedJobs(class) }
