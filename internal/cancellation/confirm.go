package cancellation

import (
	"errors"
	"time"
)

// resumeConfirmTimeout is how long a controller that has reported that it can't confirm cancels
// confirms none, unless all peers have received that it can again: longer than a process
// usually takes to restart.
const resumeConfirmTimeout = 10 * time.Second

// ErrCannotConfirm means that a cancel can't be confirmed at present: peers that might
// not receive it were notified that nothing is confirmed here.
var ErrCannotConfirm = errors.New("no cancel can be confirmed here now")

// Confirm is called before a user is told that a job is cancelled, by this controller
// or from another's message. The job counts as cancelled in any case; with an error,
// ErrCannotConfirm, the user must not be told so.
func (r *Registry) Confirm(uid string) error {
	r.mu.Lock()
	now := time.Now()
	fresh := r.recordLocked([]string{uid}, now)
	before := r.confirmedHere[uid]
	confirmed := before || r.mayConfirmLocked(now) && len(r.updates) < 2*MaxJobs
	if confirmed && !before {
		r.confirmedHere[uid] = true
		r.updates = append(r.updates, cancelledJob{uid, now})
	}
	r.mu.Unlock()
	r.notifyCancelled(fresh)
	if !confirmed {
		return ErrCannotConfirm
	}
	if !before && r.onUpdates != nil {
		r.onUpdates()
	}
	return nil
}

// mayConfirmLocked reports whether cancels may be confirmed. A controller whose lease
// does not hold confirms none, and its messages say so: if its process then ends, its
// peers know that it confirmed nothing that they have not received. So after such a
// message it confirms none until all peers have received that it does again, or for
// armTimeout.
func (r *Registry) mayConfirmLocked(now time.Time) bool {
	if r.leaseRemaining() <= 0 {
		r.mayConfirm, r.resumeStamp = false, 0
		return false
	}
	if r.mayConfirm || len(r.peers) == 0 {
		return true // without peers nobody is notified, and there is nobody to miss a cancel
	}
	if r.resumeStamp == 0 {
		return false // no message has said so yet
	}
	received := true
	for _, p := range r.peers {
		received = received && p.echoedStamp >= r.resumeStamp
	}
	r.mayConfirm = received || now.Sub(r.suspendedAt) > resumeConfirmTimeout
	return r.mayConfirm
}
