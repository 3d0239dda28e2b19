package controller

import (
	"context"
	"errors"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/quota"
	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	firstShard         = 0   // its leader leads autoscaling, and the roll-outs
	rolloutRecordShare = 0.9 // of a value's limit in the state service, for the record of a roll-out
)

// rolloutCore is the scheduler as roll-outs see it. It implements rollout.Core.
type rolloutCore struct {
	cfg        *config.Platform
	operator   *config.Operator
	store      *statestore.Client
	member     *membership.Member
	scheduler  *scheduler.Scheduler
	dispatcher *dispatch.Dispatcher
	numbers    *jobid.Allocator // nil: jobs have none
}

// Lead returns the condition under which this controller drives roll-outs; false if another
// one does.
func (c *rolloutCore) Lead() (wire.Guard, bool) {
	version, owns := c.member.OwnsShard(firstShard)
	return wire.Guard{Key: c.member.ShardKey(firstShard), Version: version}, owns && c.scheduler.LeadsAutoscaling()
}

// Submit records a job's acceptance under further conditions. A job that is known already is
// no error.
func (c *rolloutCore) Submit(ctx context.Context, job *wire.Job, guards ...wire.Guard) error {
	if _, err := scheduler.StoredState(ctx, c.store, job.UID); err == nil {
		return nil
	} else if !errors.Is(err, statestore.ErrNotFound) {
		return err
	}
	shard := quota.AssignShard(job, c.cfg.Params.Teams, c.operator)
	at := time.Now().UnixMilli()
	var constraints *jobspec.Constraints
	if c.numbers != nil {
		number, err := c.numbers.Take(ctx, job.Tasks)
		if err != nil {
			return err
		}
		constraints = &jobspec.Constraints{Number: number, Name: job.Class}
	}
	accept, ops := jobrecord.AcceptanceTxn(job, constraints, shard, at)
	revision, err := c.store.Txn(ctx, append(accept, guards...), ops...)
	if err != nil {
		return err
	}
	c.scheduler.JobAccepted(job, constraints, shard, at, revision)
	return nil
}

// Cancel cancels a job. One that was never accepted is no error.
func (c *rolloutCore) Cancel(ctx context.Context, uid string) error {
	if _, err := c.scheduler.Cancel(ctx, uid); !errors.Is(err, statestore.ErrNotFound) {
		return err
	}
	return nil
}

// Replicas returns the running replicas of a job whose endpoints are known.
func (c *rolloutCore) Replicas(uid string) []rollout.Replica {
	var out []rollout.Replica
	for _, task := range c.scheduler.RunningTasks(uid) {
		if endpoint := c.dispatcher.Endpoint(task.Machine); endpoint != "" {
			out = append(out, rollout.Replica{Task: task.Task, Attempt: task.Attempt, Endpoint: endpoint})
		}
	}
	return out
}

// Unfinished reports whether a job of the class is unfinished.
func (c *rolloutCore) Unfinished(class string) bool { return c.scheduler.HasUnfinishedJobs(class) }
