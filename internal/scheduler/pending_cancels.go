package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/statestore"
)

// cancelResolveDelay is how long a cancel's outcome may be unknown before its job's record is
// written again. Most users repeat the cancel before that, which settles it too.
const cancelResolveDelay = 5 * time.Second

// definitelyFailed reports whether a transaction with this outcome was not applied and never
// will be.
func definitelyFailed(err error) bool {
	var conflict *statestore.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, statestore.ErrUnavailable)
}

// resolveCancels settles cancels whose outcome has been unknown for a while: the jobs' records
// are written again as they are, after which such a cancel was either applied or can't be any
// more. Without it, a job whose cancel was lost, and not repeated by its user, was looked up
// in the state service at every query, and called queued while it ran.
func (s *Scheduler) resolveCancels(ctx context.Context) {
	for _, uid := range s.jobsWithUnresolvedCancels(time.Now()) {
		renewCtx, cancel := context.WithTimeout(ctx, jobrecord.TxnTimeout)
		err := s.rewriteRecord(renewCtx, uid)
		cancel()
		if err != nil {
			s.log.Debug("cancel outcome still unknown", "job", uid, "err", err)
		}
	}
}

// jobsWithUnresolvedCancels returns the jobs whose last cancel was sent longer ago than resolveAfter
// and has an unknown outcome.
func (s *Scheduler) jobsWithUnresolvedCancels(now time.Time) (uids []string) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	for _, job := range s.state.JobOrder {
		if job.PendingCancels.Any() && now.Sub(job.PendingCancels.LastSentAt) > cancelResolveDelay {
			uids = append(uids, job.Spec.UID)
		}
	}
	return uids
}

// rewriteRecord writes a living job's record again, unless it is cancelled, and takes it into
// the state.
func (s *Scheduler) rewriteRecord(ctx context.Context, uid string) error {
	record, version, err := jobrecord.ReadLive(ctx, s.store, uid)
	if err != nil {
		return fmt.Errorf("read job record: %w", err)
	}
	shardVersion, leads := s.state.Membership.LeadsShard(record.Shard)
	if !leads {
		return nil // the shard's version has changed: the cancel failed, or is its leader's
	}
	if !record.Cancelled {
		if version, err = s.writeLive(ctx, &record, version, shardVersion); err != nil {
			return fmt.Errorf("write job record again: %w", err)
		}
	}
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	s.applyRecord(&record, version)
	return nil
}
