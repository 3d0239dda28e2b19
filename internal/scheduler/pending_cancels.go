package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/statestore"
)

// cancelResolveDelay is the time for which a cancel's outcome may be unknown before the job's
// live record is rewritten to settle it. Most users repeat the cancel earlier, which settles it
// too.
const cancelResolveDelay = 5 * time.Second

// definitelyFailed reports whether the error proves that a transaction was not applied and
// never will be.
func definitelyFailed(err error) bool {
	var conflict *statestore.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, statestore.ErrUnavailable)
}

// resolveCancels settles cancels whose outcome has been unknown for longer than
// cancelResolveDelay. It rewrites the jobs' live records unchanged: afterwards such a cancel
// has either been applied or can no longer be applied. Otherwise a job whose cancel was lost,
// and whose user does not repeat it, would be looked up in the state service at every query and
// reported as queued while it runs.
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

// jobsWithUnresolvedCancels returns the jobs that have a cancel with an unknown outcome and
// whose last cancel was sent more than cancelResolveDelay ago.
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

// rewriteRecord writes a job's live record again, unless the job is cancelled, and applies the
// record to the state. It does nothing if this controller does not lead the job's shard.
func (s *Scheduler) rewriteRecord(ctx context.Context, uid string) error {
	record, version, err := jobrecord.ReadLive(ctx, s.store, uid)
	if err != nil {
		return fmt.Errorf("read job record: %w", err)
	}
	shardVersion, leads := s.state.Membership.LeadsShard(record.Shard)
	if !leads {
		return nil // the cancel failed because the shard's version has changed, or the shard's new leader settles it
	}
	if !record.Cancelled {
		if version, err = s.writeLiveRecord(ctx, &record, version, shardVersion); err != nil {
			return fmt.Errorf("write job record again: %w", err)
		}
	}
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	s.applyRecord(&record, version)
	return nil
}
