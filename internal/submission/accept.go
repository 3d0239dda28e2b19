package submission

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/quota"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	recordTimeout = 1200 * time.Millisecond // of one write; maxRecordings fit into a user's time
	maxRecordings = 3
)

// accept records a submission. A known id is answered with its state, whatever the body
// says: a user that repeats a submission must not read that it was never accepted.
func (s *Service) accept(ctx context.Context, body []byte, requested *jobspec.Constraints) Reply {
	job, constraints, rejected := s.validate(ctx, body, requested)
	if rejected != nil {
		return s.rejectUnlessKnown(ctx, job, rejected)
	}
	if rep, ok := s.local(job.UID); ok {
		return rep
	}
	if s.memoryPressure != nil && s.memoryPressure() {
		// Else the process ends for want of memory, with all that it leads.
		if rep := s.stored(ctx, job.UID); rep.succeeded() {
			return rep
		}
		usage.CountEvent(usage.RefusedJobs)
		return Reply{Status: http.StatusServiceUnavailable, Reason: "too much work at once"}
	}
	return s.record(ctx, job, constraints)
}

// rejectUnlessKnown answers an invalid submission, by its id if that is known. The job is nil
// if the body holds none.
func (s *Service) rejectUnlessKnown(ctx context.Context, job *wire.Job, rejected *rejection) Reply {
	if job == nil || !wire.ValidJobID(job.UID) {
		return rejected.reply()
	}
	rep := s.lookup(ctx, job.UID)
	if rep.Status == http.StatusNotFound {
		return rejected.reply()
	}
	return rep
}

// record writes the acceptance of a job to the state service.
func (s *Service) record(ctx context.Context, job *wire.Job, constraints *jobspec.Constraints) Reply {
	shard := quota.AssignShard(job, s.cfg.Params.Teams, s.op)
	acceptedMs := time.Now().UnixMilli()
	guards, ops := jobrecord.AcceptanceTxn(job, constraints, shard, acceptedMs)
	for attempt := 1; ; attempt++ {
		version, err := s.write(ctx, guards, ops)
		var conflict *statestore.ConflictError
		switch {
		case err == nil:
			s.jobs.JobAccepted(job, constraints, shard, acceptedMs, version)
			return Reply{Status: http.StatusCreated, State: wire.JobState{UID: job.UID, Stage: wire.StageQueued}}
		case errors.As(err, &conflict):
			// With constraints the third guard is that of the job's number.
			if constraints != nil && len(conflict.Keys) == 1 && conflict.Keys[0] == guards[2].Key {
				return Reply{Status: http.StatusUnprocessableEntity, Reason: "number: belongs to another job"}
			}
			// Known already, or an attempt of ours whose answer was lost.
			return s.stored(ctx, job.UID)
		case !errors.Is(err, statestore.ErrUnknown) || ctx.Err() != nil || attempt == maxRecordings:
			s.log.Debug("submission not recorded", "job", job.UID, "err", err)
			return unknownOutcome(err)
		}
		// Mostly it was carried out, and only its answer was lost. A repeat would show
		// that too, but may lose its answer like the first.
		if rep := s.stored(ctx, job.UID); rep.succeeded() {
			return rep
		}
	}
}

func (s *Service) write(ctx context.Context, guards []wire.Guard, ops []wire.Op) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return s.store.Txn(ctx, guards, ops...)
}

// check reports whether a submission would be accepted. It records nothing.
func (s *Service) check(ctx context.Context, req Request) Reply {
	job, _, rejected := s.validate(ctx, req.Body, req.Constraints)
	if rejected != nil {
		return rejected.reply()
	}
	return Reply{Status: http.StatusOK, State: wire.JobState{UID: job.UID, Stage: wire.StageQueued}}
}
