package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/statestore"
)

// resolveAfter is how long a cancel's outcome may be open before its job's record is written
// anew. Most users ask again before that, which settles it too.
const resolveAfter = 5 * time.Second

// surelyFailed reports whether a transaction with this outcome was not applied and never
// will be.
func surelyFailed(err error) bool {
	var conflict *statestore.Conflict
	return errors.As(err, &conflict) || errors.Is(err, statestore.ErrUnavailable)
}

// resolveCancels settles cancels whose outcome has been open for a while: the jobs' records
// are written anew as they are, after which such a cancel was either applied or can't be any
// more. Without it, a job whose cancel got lost, and whose user asked no more, was looked up
// in the state service with every question, and called queued while it ran.
func (s *Scheduler) resolveCancels(ctx context.Context) {
	var uids []string
	now := time.Now()
	s.state.Mu.Lock()
	for _, job := range s.state.JobOrder {
		if job.PendingCancels.Any() && now.Sub(job.PendingCancels.LastSentAt) > resolveAfter {
			uids = append(uids, job.Spec.UID)
		}
	}
	s.state.Mu.Unlock()
	for _, uid := range uids {
		rctx, cancel := context.WithTimeout(ctx, jobrecord.TxnTimeout)
		err := s.renew(rctx, uid)
		cancel()
		if err != nil {
			s.log.Debug("the outcome of a cancel stays open", "job", uid, "err", err)
		}
	}
}

// renew writes a living job's record anew, unless it is cancelled.
func (s *Scheduler) renew(ctx context.Context, uid string) error {
	r, rev, err := jobrecord.ReadLive(ctx, s.store, uid)
	if err != nil {
		return err
	}
	version, mine := s.state.Member.OwnsShard(r.Shard)
	if !mine {
		return nil // the shard's version has changed: the cancel failed, or is its owner's
	}
	if !r.Cancelled {
		if rev, err = s.writeLive(ctx, uid, &r, rev, version); err != nil {
			return err
		}
	}
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	s.takeRecord(&r, rev)
	return nil
}
