package cancellation

import (
	"errors"
	"time"
)

// resumeConfirmTimeout is counted from this controller's last message saying that it confirms no
// cancels. After this time it may confirm cancels again even if not all peers have received the
// later message that announces this. It is longer than a usual restart of a process.
const resumeConfirmTimeout = 10 * time.Second

// ErrCannotConfirm means that a cancel can't be confirmed at present: this controller has no valid
// lease, peers may still assume that it confirms none, or it has too many updates for them.
var ErrCannotConfirm = errors.New("no cancel can be confirmed here now")

// Confirm is to be called before a user is told that a job is cancelled, for the user's request
// and for one that another controller forwards. The job counts as cancelled in any case, but if
// Confirm returns ErrCannotConfirm, the user must not be told so.
func (r *Registry) Confirm(uid string) error {
	r.mu.Lock()
	now := time.Now()
	added := r.recordLocked([]string{uid}, now)
	before := r.confirmedHere[uid]
	confirmed := before || r.mayConfirmLocked(now) && len(r.updates) < 2*MaxJobs
	if confirmed && !before {
		r.confirmedHere[uid] = true
		r.updates = append(r.updates, cancelledJob{uid, now})
	}
	r.mu.Unlock()
	r.notifyCancelled(added)
	if !confirmed {
		return ErrCannotConfirm
	}
	if !before && r.onUpdates != nil {
		r.onUpdates()
	}
	return nil
}

// mayConfirmLocked reports whether cancels may be confirmed. A controller without a valid lease
// confirms none, and its messages say so: if its process then ends, the peers know that they have
// received all cancels that it confirmed. After such a message it confirms none until all peers
// have received a later message saying that it confirms cancels again, or resumeConfirmTimeout has
// passed.
func (r *Registry) mayConfirmLocked(now time.Time) bool {
	if r.leaseRemaining() <= 0 {
		r.mayConfirm, r.resumeStamp = false, 0
		return false
	}
	if r.mayConfirm || len(r.peers) == 0 {
		return true // no peer assumes that this controller confirms no cancels
	}
	if r.resumeStamp == 0 {
		return false // no message has said yet that cancels are confirmed again
	}
	received := true
	for _, p := range r.peers {
		received = received && p.echoedStamp >= r.resumeStamp
	}
	r.mayConfirm = received || now.Sub(r.suspendedAt) > resumeConfirmTimeout
	return r.mayConfirm
}
