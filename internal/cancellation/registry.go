// Package cancellation is what a controller knows of cancelled jobs: which ones, so
// that any controller may stop their tasks and none starts them, and up to which time
// it surely knows all of them, so that one that can't know stops responding to workers
// before a task can outlive the limit for cancels.
//
// A controller confirms a cancel to a user only through Confirm, which first puts it
// into its updates for every peer. What it knows from a peer's message counts up to the
// send of its own message that the peer's message echoes: whatever the peer had
// confirmed by then is in the peer's updates. What it knows from the state service
// counts up to the send of a read of all living jobs, since a cancel is recorded there
// before it is confirmed. docs/combined-faults.md has the arithmetic.
//
// The package sends no messages and reads no state service itself: its caller carries
// messages between controllers, and reports what it read.
package cancellation

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

const (
	// MaxJobs bounds the jobs that are kept.
	MaxJobs = 16384
	// recordRetention is how long a cancelled job is kept beyond the limit for cancels.
	recordRetention = 10 * time.Minute
)

// cancelledJob is a job and when its cancel was first known.
type cancelledJob struct {
	uid string
	at  time.Time
}

// Registry is a controller's knowledge of cancels. It is safe for concurrent use.
type Registry struct {
	leaseRemaining func() time.Duration // how much longer this controller's lease surely holds
	retention      time.Duration        // for which a cancelled job is kept
	minRetention   time.Duration        // the same beyond MaxJobs
	incarnation    uint64               // of this process; never 0
	startedAt      time.Time

	onCancelled func(uids []string)
	onUpdates   func()

	mu             sync.Mutex
	peers          map[string]*peer
	jobs           map[string]time.Time // since when known
	order          []cancelledJob       // of jobs, the oldest first
	updates        []cancelledJob       // confirmed here
	confirmedHere  map[string]bool      // the jobs in updates
	droppedUpdates uint64               // from the front
	storeReadSent  time.Time            // the send of the newest read of the state service
	mayConfirm     bool
	suspendedAt    time.Time // when a message of this controller last said that it confirms nothing
	resumeStamp    int64     // of the first message since that says otherwise; 0: none
	lastStamp      int64     // of the last message
}

// Options are what a registry needs of the rest of its process.
type Options struct {
	Peers          []string
	Limit          time.Duration        // how long a cancelled task may go on
	LeaseRemaining func() time.Duration // how much longer this controller's lease surely holds

	// OnCancelled is called, without any lock held, with jobs that were not known to be
	// cancelled; nil: nobody is told.
	OnCancelled func(uids []string)
	// OnUpdates is called, without any lock held, when there are updates for the peers;
	// nil: nobody is told.
	OnUpdates func()
}

// New returns a registry that knows nothing: it has to read the state service before it
// attests anything.
func New(o Options) *Registry {
	now := time.Now()
	r := &Registry{
		leaseRemaining: o.LeaseRemaining, retention: recordRetention + o.Limit, minRetention: 2 * o.Limit,
		incarnation: rand.Uint64() | 1, startedAt: now, onCancelled: o.OnCancelled, onUpdates: o.OnUpdates,
		peers: map[string]*peer{}, jobs: map[string]time.Time{}, confirmedHere: map[string]bool{}, suspendedAt: now,
	}
	for _, name := range o.Peers {
		r.peers[name] = &peer{needsReadAfter: now}
	}
	return r
}

// IsCancelled reports whether the job is known to be cancelled.
func (r *Registry) IsCancelled(uid string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.jobs[uid]
	return ok
}

// Count returns the number of cancelled jobs that are kept.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs)
}

// RecordCancelled notes jobs that the state service has as cancelled. Those with
// invalid IDs are left out.
func (r *Registry) RecordCancelled(uids ...string) {
	r.mu.Lock()
	fresh := r.recordLocked(uids, time.Now())
	r.mu.Unlock()
	r.notifyCancelled(fresh)
}

// recordLocked notes cancelled jobs, and returns those that were not known.
func (r *Registry) recordLocked(uids []string, now time.Time) (fresh []string) {
	for _, uid := range uids {
		if _, known := r.jobs[uid]; known || !wire.ValidJobID(uid) {
			continue
		}
		r.jobs[uid] = now
		r.order = append(r.order, cancelledJob{uid, now})
		fresh = append(fresh, uid)
	}
	r.trimLocked(now)
	return fresh
}

func (r *Registry) notifyCancelled(fresh []string) {
	if len(fresh) > 0 && r.onCancelled != nil {
		r.onCancelled(fresh)
	}
}

// trimLocked drops jobs whose tasks are surely over. Jobs beyond MaxJobs are dropped
// early, but not before their tasks must have ended.
func (r *Registry) trimLocked(now time.Time) {
	for r.expired(r.order, now) {
		delete(r.jobs, r.order[0].uid)
		r.order = r.order[1:]
	}
	for r.expired(r.updates, now) {
		delete(r.confirmedHere, r.updates[0].uid)
		r.updates = r.updates[1:]
		r.droppedUpdates++
	}
}

// expired reports whether the first of jobs is to be dropped.
func (r *Registry) expired(jobs []cancelledJob, now time.Time) bool {
	if len(jobs) == 0 {
		return false
	}
	age := now.Sub(jobs[0].at)
	return age > r.retention || len(jobs) > MaxJobs && age > r.minRetention
}
