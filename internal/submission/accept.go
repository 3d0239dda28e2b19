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
	recordTimeout     = 1200 * time.Millisecond // of one write; maxRecordAttempts writes fit into the time that a user waits
	maxRecordAttempts = 3
)

// accept records a submission. If the id is known, it returns the job's state, whatever the body
// contains: a user that repeats an accepted submission must not get a rejection.
func (s *Service) accept(ctx context.Context, body []byte, requested *jobspec.Constraints) Reply {
	job, constraints, rejected := s.validate(ctx, body, requested)
	if rejected != nil {
		return s.rejectUnlessKnown(ctx, job, rejected)
	}
	if rep, ok := s.localReply(job.UID); ok {
		return rep
	}
	if s.memoryPressure != nil && s.memoryPressure() {
		// Refuse new jobs: if the process ran out of memory, all shards that it leads would stop.
		if rep := s.storedReply(ctx, job.UID); rep.succeeded() {
			return rep
		}
		usage.CountEvent(usage.RefusedJobs)
		return Reply{Status: http.StatusServiceUnavailable, Reason: "too much work at once"}
	}
	return s.recordAcceptance(ctx, job, constraints)
}

// rejectUnlessKnown returns the rejection of an invalid submission, or the job's state if its id
// is known. The job is nil if the body contains none.
func (s *Service) rejectUnlessKnown(ctx context.Context, job *wire.Job, rejected *rejection) Reply {
	if job == nil || !wire.ValidJobID(job.UID) {
		return rejected.reply()
	}
	rep := s.lookupReply(ctx, job.UID)
	if rep.Status == http.StatusNotFound {
		rep = rejected.reply()
		rep.State.UID = job.UID
	}
	return rep
}

// recordAcceptance writes the acceptance of a job to the state service.
func (s *Service) recordAcceptance(ctx context.Context, job *wire.Job, constraints *jobspec.Constraints) Reply {
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
			// If the job has constraints, the third guard is on the key of its number.
			if constraints != nil && len(conflict.Keys) == 1 && conflict.Keys[0] == guards[2].Key {
				return Reply{Status: http.StatusUnprocessableEntity, State: wire.JobState{UID: job.UID}, Reason: "number: belongs to another job"}
			}
			// The job was recorded before, or an earlier attempt recorded it and its response was lost.
			return s.storedReply(ctx, job.UID)
		case !errors.Is(err, statestore.ErrUnknown) || ctx.Err() != nil || attempt == maxRecordAttempts:
			s.log.Debug("submission not recorded", "job", job.UID, "err", err)
			return unknownOutcome(err)
		}
		// Usually the write was applied and only its response was lost. A read
		// shows this even if the responses to all writes are lost.
		if rep := s.storedReply(ctx, job.UID); rep.succeeded() {
			return rep
		}
	}
}

func (s *Service) write(ctx context.Context, guards []wire.Guard, ops []wire.Op) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return s.store.Txn(ctx, guards, ops...)
}

// checkSubmission reports whether a submission would be accepted. It records nothing.
func (s *Service) checkSubmission(ctx context.Context, req Request) Reply {
	job, _, rejected := s.validate(ctx, req.Body, req.Constraints)
	if rejected != nil {
		return rejected.reply()
	}
	return Reply{Status: http.StatusOK, State: wire.JobState{UID: job.UID, Stage: wire.StageQueued}}
}
