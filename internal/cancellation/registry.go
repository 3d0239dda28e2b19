// Package cancellation maintains a controller's knowledge of cancelled jobs, so that any
// controller can stop their tasks and none starts them. It also determines up to which time this
// knowledge is complete: a controller whose knowledge is too old stops answering workers before a
// cancelled task can run longer than the limit for cancels.
//
// A controller confirms a cancel to a user only through Confirm, which first adds it to the
// updates for every peer. A message from a peer makes the knowledge of the peer's cancels complete
// up to the time at which this controller sent the message that the peer's message echoes: the
// peer's updates include all cancels that it had confirmed by then. A read of all living jobs from
// the state service makes the knowledge complete up to the time at which the read was sent, since
// a cancel is recorded there before it is confirmed. docs/combined-faults.md has the calculation.
//
// The package neither sends messages nor reads the state service. Its caller carries messages
// between controllers and passes in what it read.
package cancellation

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

const (
	// MaxJobs is the number of cancelled jobs above which the oldest are dropped early.
	MaxJobs = 16384
	// recordRetention is how long a cancelled job is kept in addition to the limit for cancels.
	recordRetention = 10 * time.Minute
)

// cancelledJob is a job and the time at which its cancel became known here.
type cancelledJob struct {
	uid string
	at  time.Time
}

// Registry holds a controller's knowledge of cancels. It is safe for concurrent use.
type Registry struct {
	leaseRemaining func() time.Duration // lower bound of the remaining time of this controller's lease
	retention      time.Duration        // how long a cancelled job is kept
	minRetention   time.Duration        // how long it is kept while there are more than MaxJobs
	incarnation    uint64               // of this process, not 0
	startedAt      time.Time

	onCancelled func(uids []string)
	onUpdates   func()

	mu             sync.Mutex
	peers          map[string]*peer
	jobs           map[string]time.Time // cancelled jobs and the time at which each became known here
	order          []cancelledJob       // the same, oldest first
	updates        []cancelledJob       // cancels confirmed here, oldest first
	confirmedHere  map[string]bool      // the jobs in updates
	droppedUpdates uint64               // number of updates dropped from the front
	storeReadSent  time.Time            // when the latest read of the state service was sent
	mayConfirm     bool                 // cancels may be confirmed, see mayConfirmLocked
	suspendedAt    time.Time            // when a message last said that this controller confirms no cancels
	resumeStamp    int64                // stamp of the first later message saying that it confirms cancels again; 0: none
	lastStamp      int64                // stamp of the last message
}

// Options are a registry's dependencies and settings.
type Options struct {
	Peers          []string
	Limit          time.Duration        // how long a cancelled task may run on
	LeaseRemaining func() time.Duration // lower bound of the remaining time of this controller's lease

	// OnCancelled is called without a lock held with jobs that were not known to be cancelled. May
	// be nil.
	OnCancelled func(uids []string)
	// OnUpdates is called without a lock held when there are updates for the peers. May be nil.
	OnUpdates func()
}

// New returns a registry that knows of no cancelled jobs. KnownUntil returns the zero time until the first
// RecordStoreRead.
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

// RecordCancelled records jobs that are cancelled according to the state service. Invalid job IDs
// are ignored.
func (r *Registry) RecordCancelled(uids ...string) {
	r.mu.Lock()
	added := r.recordLocked(uids, time.Now())
	r.mu.Unlock()
	r.notifyCancelled(added)
}

// recordLocked records cancelled jobs and returns those that were not known before.
func (r *Registry) recordLocked(uids []string, now time.Time) (added []string) {
	for _, uid := range uids {
		if _, known := r.jobs[uid]; known || !wire.ValidJobID(uid) {
			continue
		}
		r.jobs[uid] = now
		r.order = append(r.order, cancelledJob{uid, now})
		added = append(added, uid)
	}
	r.trimLocked(now)
	return added
}

func (r *Registry) notifyCancelled(added []string) {
	if len(added) > 0 && r.onCancelled != nil {
		r.onCancelled(added)
	}
}

// trimLocked drops jobs and updates that are older than retention. While there are more than MaxJobs, it drops
// those older than minRetention. In both cases the jobs' tasks have certainly ended by then.
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

// expired reports whether the first of the jobs is to be dropped.
func (r *Registry) expired(jobs []cancelledJob, now time.Time) bool {
	if len(jobs) == 0 {
		return false
	}
	age := now.Sub(jobs[0].at)
	return age > r.retention || len(jobs) > MaxJobs && age > r.minRetention
}
