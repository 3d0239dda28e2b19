package submission

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/quota"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

// accept records a submission. A known id is answered with its state,
// whatever the body says.
func (in *Service) accept(ctx context.Context, body []byte, asked *jobspec.Constraints) Reply {
	job, bad := wire.ParseJob(body)
	status, reason := http.StatusBadRequest, ""
	if bad == nil {
		status, reason = in.runnable(job)
		if reason == "" {
			asked, status, reason = in.terms(ctx, job, asked)
		}
	} else {
		reason = bad.Error()
	}
	if reason != "" {
		uid := ""
		if job != nil && wire.ValidJobID(job.UID) {
			uid = job.UID
		}
		if uid != "" {
			s, err := in.lookup(ctx, uid)
			if err == nil {
				return Reply{Status: http.StatusOK, State: s}
			}
			if !errors.Is(err, statestore.ErrNotFound) {
				return Reply{}
			}
		}
		return Reply{Status: status, Reason: reason}
	}
	if s, ok := in.jobs.LocalState(job.UID); ok {
		return Reply{Status: http.StatusOK, State: s}
	}
	if in.memoryPressure != nil && in.memoryPressure() {
		// Better than to end for want of memory with all that runs.
		if s, err := in.stored(ctx, job.UID); err == nil {
			return Reply{Status: http.StatusOK, State: s}
		}
		usage.Note(usage.RefusedJobs)
		return Reply{Status: http.StatusServiceUnavailable, Reason: "too much work at once"}
	}
	shard := quota.AssignShard(job, in.cfg.Params.Teams, in.op)
	at := time.Now().UnixMilli()
	guards, ops := jobrecord.AcceptanceTxn(job, asked, shard, at)
	for n := 0; ; n++ {
		tctx, cancel := context.WithTimeout(ctx, 1200*time.Millisecond)
		rev, err := in.store.Txn(tctx, guards, ops...)
		cancel()
		var conflict *statestore.Conflict
		switch {
		case err == nil:
			in.jobs.JobAccepted(job, asked, shard, at, rev)
			return Reply{Status: http.StatusCreated, State: wire.JobState{UID: job.UID, Stage: wire.StageQueued}}
		case errors.As(err, &conflict):
			if asked != nil && len(conflict.Keys) == 1 && conflict.Keys[0] == guards[2].Key {
				return Reply{Status: http.StatusUnprocessableEntity, Reason: "number: belongs to another job"}
			}
			// Known already, or our own attempt whose answer was lost.
			s, err := in.stored(ctx, job.UID)
			return in.found(s, err, http.StatusOK)
		case errors.Is(err, statestore.ErrUnknown) && ctx.Err() == nil && n < 2:
			// Mostly it was carried out, and only its answer was lost. A repeat would tell
			// so too, but may lose its answer like the first.
			if s, err := in.stored(ctx, job.UID); err == nil {
				return in.found(s, nil, http.StatusOK)
			}
			continue
		}
		in.log.Debug("submission not recorded", "job", job.UID, "err", err)
		return unsure(err)
	}
}

// check says whether a submission would be accepted.
func (in *Service) check(ctx context.Context, req Request) Reply {
	job, err := wire.ParseJob(req.Body)
	if err != nil {
		return Reply{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	status, reason := in.runnable(job)
	if reason == "" {
		_, status, reason = in.terms(ctx, job, req.Constraints)
	}
	if reason != "" {
		return Reply{Status: status, Reason: reason}
	}
	return Reply{Status: http.StatusOK, State: wire.JobState{UID: job.UID, Stage: wire.StageQueued}}
}

// runnable says why a job can never run, or that it can't be told yet.
func (in *Service) runnable(job *wire.Job) (status int, reason string) {
	types := in.catalog.All()
	if len(types) == 0 {
		return http.StatusServiceUnavailable, "machine types not known yet"
	}
	var team *config.Team
	for i := range in.cfg.Params.Teams {
		if in.cfg.Params.Teams[i].Name == job.Team {
			team = &in.cfg.Params.Teams[i]
		}
	}
	if team == nil {
		return http.StatusUnprocessableEntity, "unknown team"
	}
	n := 1.0
	if job.Service() || job.Gang() {
		n = float64(job.Tasks)
	}
	const tiny = 1e-6
	if team.CPUsMax > 0 && n*job.CPUs > team.CPUsMax+tiny || team.GPUsMax > 0 && n*job.GPUs > team.GPUsMax+tiny {
		return http.StatusUnprocessableEntity, "more than the team's limit"
	}
	for _, t := range types {
		if job.CPUs <= t.CPUs+tiny && job.GPUs <= t.GPUs+tiny && job.MemoryGB <= t.MemoryGB+tiny &&
			(job.Types == nil || has(job.Types, t.Name)) && (job.Zone == nil || has(t.Zones, *job.Zone)) {
			return 0, ""
		}
	}
	return http.StatusUnprocessableEntity, "a task fits no allowed machine type"
}

// terms checks a submission's terms, and finds the jobs that it depends on. Where
// jobs have numbers, one without terms gets a number.
func (in *Service) terms(ctx context.Context, job *wire.Job, asked *jobspec.Constraints) (t *jobspec.Constraints, status int, reason string) {
	unsure := func(err error) (*jobspec.Constraints, int, string) {
		in.log.Debug("numbers can't be told", "err", err)
		return nil, http.StatusServiceUnavailable, "can't tell numbers now"
	}
	switch {
	case in.numbers == nil && asked == nil:
		return nil, 0, ""
	case in.numbers == nil:
		return nil, http.StatusUnprocessableEntity, "this site gives jobs no numbers and takes no terms"
	case asked == nil:
		n, err := in.numbers.Take(ctx, job.Tasks)
		if err != nil {
			return unsure(err)
		}
		return &jobspec.Constraints{Number: n}, 0, ""
	}
	if err := asked.Validate(job.Tasks, job.Gang(), job.Service(), time.Now()); err != nil {
		return nil, http.StatusUnprocessableEntity, err.Error()
	}
	if ok, err := in.numbers.Given(ctx, asked.Number, job.Tasks); err != nil {
		return unsure(err)
	} else if !ok {
		return nil, http.StatusUnprocessableEntity, "number: was given to nobody"
	}
	for i := range asked.Dependencies {
		d := &asked.Dependencies[i]
		if d.Kind == jobspec.Singleton {
			continue
		}
		found, err := in.numbers.Find(ctx, d.Number)
		switch {
		case errors.Is(err, statestore.ErrNotFound):
			return nil, http.StatusUnprocessableEntity, fmt.Sprintf("dependency: there is no job %d", d.Number)
		case err != nil:
			return unsure(err)
		case found.UID == job.UID:
			return nil, http.StatusUnprocessableEntity, "dependency: a job can't wait for itself"
		}
		d.Job = found.UID
	}
	return asked, 0, ""
}

func has(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
