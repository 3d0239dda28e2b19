package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/wallrack/wallrack/internal/statestore"
)

// resolveAfter is how long a cancel's outcome may be open before its job's record is written
// anew. Most users ask again before that, which settles it too.
const resolveAfter = 5 * time.Second

// PendingCancels are the cancels of a job that were sent and may have been applied, or may be
// yet. While there are any, only the state service can tell what the job is.
type PendingCancels struct {
	writes     map[uint64]int // by the version of the job's record that they guard
	LastSentAt time.Time      // when the last one was sent
}

// RecordSent notes that a cancel which guards a version of the job's record is under way.
func (c *PendingCancels) RecordSent(version uint64, now time.Time) {
	if c.writes == nil {
		c.writes = map[uint64]int{}
	}
	c.writes[version]++
	c.LastSentAt = now
}

// RecordFailed notes that one that was sent was surely not applied and never will be. It may have
// been taken out before: by a newer record, or since another cancel was applied.
func (c *PendingCancels) RecordFailed(version uint64) {
	if c.writes[version] > 1 {
		c.writes[version]--
		return
	}
	delete(c.writes, version)
}

// Supersede notes that the job's record has a version, and is not cancelled: a version never
// comes back, so that all cancels which guard earlier ones have failed for ever.
func (c *PendingCancels) Supersede(version uint64) {
	for guarded := range c.writes {
		if guarded < version {
			delete(c.writes, guarded)
		}
	}
}

func (c *PendingCancels) Any() bool { return len(c.writes) > 0 }

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
func (o *Scheduler) resolveCancels(ctx context.Context) {
	var uids []string
	now := time.Now()
	o.mu.Lock()
	for _, j := range o.order {
		if j.PendingCancels.Any() && now.Sub(j.PendingCancels.LastSentAt) > resolveAfter {
			uids = append(uids, j.Spec.UID)
		}
	}
	o.mu.Unlock()
	for _, uid := range uids {
		rctx, cancel := context.WithTimeout(ctx, txnTimeout)
		err := o.renew(rctx, uid)
		cancel()
		if err != nil {
			o.log.Debug("the outcome of a cancel stays open", "job", uid, "err", err)
		}
	}
}

// renew writes a living job's record anew, unless it is cancelled.
func (o *Scheduler) renew(ctx context.Context, uid string) error {
	r, rev, err := ReadLive(ctx, o.store, uid)
	if err != nil {
		return err
	}
	version, mine := o.member.OwnsShard(r.Shard)
	if !mine {
		return nil // the shard's version has changed: the cancel failed, or is its owner's
	}
	if !r.Cancelled {
		if rev, err = o.writeLive(ctx, uid, &r, rev, version); err != nil {
			return err
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.take(&r, rev)
	return nil
}
