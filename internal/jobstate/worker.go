package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	faultyErrors = 4 // errors since the last completed task from which a worker is faulty ...
	faultyJobs   = 2 // ... if they are of at least as many jobs
	// shortTaskShare is the share of the time for which a cordoned worker stays occupied
	// that a further task may take, image fetch included.
	shortTaskShare = 0.8
)

// Worker is a worker as its dispatcher's views show it.
type Worker struct {
	Index      int // in State.WorkersByIndex; not reused after its deletion
	Name       string
	Type       wire.MachineType // computed by State.TypeOf
	KnownSince time.Time        // when this leader first learnt of it

	View          dispatch.WorkerView
	ViewAt        time.Time // when View arrived; zero: none did
	LastHeartbeat time.Time // when the heartbeat in View reached the dispatcher
	LastUnpolledHeartbeat    time.Time // the same of the last heartbeat that was not polled

	RenewedAt      time.Time // when any controller last responded to a heartbeat, which renews the lease
	RenewedSession uint64    // session of the worker at RenewedAt
	RenewedBy      string    // the controller that responded at RenewedAt
	// ConfirmedLag is how much earlier than RenewedAt the last response was that surely arrived,
	// see RecordRenewal.
	ConfirmedLag    time.Duration
	PolledAt        time.Time // when it was last polled since its heartbeat was overdue
	UnansweredPolls int       // polls in a row without a response

	Matrix     matching.WaitMatrix // waits for room, as published, less what is reserved
	Placements map[*Placement]struct{}
	MaxToken   uint64               // highest fencing token that a start command granted by this leader may carry
	Images     map[int]*CachedImage // by number in State.Images

	// These stand together to save memory: there are thousands of workers.
	RoomReserved        bool  // Matrix holds a reservation of the pass in progress only
	Cordoned            bool  // the autoscaler wants it empty
	Removed             bool  // the cloud has deleted it
	CommandObserved     bool  // a start command was seen to have had an effect since the last check
	LeaseExpiredUnreported   bool  // its lease expired while it reached no controller, by polls alone
	UnresponsiveHeartbeats int16 // heartbeats in a row that showed the worker to be unresponsive

	ReclaimAt time.Time // when the cloud will reclaim it; zero: no notice
	// OccupiedS is the time in seconds for which a cordoned worker stays occupied by tasks
	// that are not evicted, as of the pass in progress.
	OccupiedS float64

	RecentDone float64        // tasks done there, decaying with each
	RecentLost float64        // tasks lost there, decaying with each
	Failures   map[string]int // by job: errors there since a task was last done there

	// UnresponsiveSince is the time since which commands have had no effect on the worker, by
	// its heartbeats; zero: they have, or nothing is known.
	UnresponsiveSince time.Time
	RespondedAt       time.Time // when the command or poll was sent that last had an effect

	RecordedFailover int // number of the last failover whose records had tasks on it; 0: none
}

// WorkerOf returns the worker of that name, which it adds if it is new.
func (s *State) WorkerOf(name string) *Worker {
	worker := s.Workers[name]
	if worker == nil {
		worker = &Worker{
			Index: len(s.WorkersByIndex), Name: name, KnownSince: time.Now(),
			Placements: map[*Placement]struct{}{}, Images: map[int]*CachedImage{}, Failures: map[string]int{},
		}
		s.Workers[name] = worker
		s.WorkersByIndex = append(s.WorkersByIndex, worker)
	}
	return worker
}

// TypeOf returns the worker's machine type; one without a name if it is not known. The result
// is valid until the next call for the same worker.
func (s *State) TypeOf(worker *Worker) *wire.MachineType {
	if worker.Type.Name != worker.View.Type {
		worker.Type, _ = s.MachineTypes.Type(worker.View.Type)
	}
	return &worker.Type
}

// Faulty reports whether tasks of several jobs fail on the worker, and none is done there.
func (w *Worker) Faulty() bool {
	sum := 0
	for _, n := range w.Failures {
		sum += n
	}
	return sum >= faultyErrors && len(w.Failures) >= faultyJobs
}

// EndsWhileOccupied reports whether a task that takes so many seconds, image fetch included,
// ends on a cordoned worker early enough not to delay the worker's deletion.
func (w *Worker) EndsWhileOccupied(seconds float64) bool {
	return seconds <= shortTaskShare*w.OccupiedS
}

// RecordRenewal notes that a controller responded to a heartbeat of the worker, in a session of
// the worker. Whether the response arrived shows in the next heartbeat only: a worker that got
// it comes back to that controller, and one that did not tries another. The lease of a new
// session began after the heartbeat before.
func (w *Worker) RecordRenewal(at time.Time, session uint64, controller string) {
	confirmed := w.RenewedAt
	if session == w.RenewedSession && controller != w.RenewedBy {
		confirmed = confirmed.Add(-w.ConfirmedLag)
	}
	w.RenewedAt, w.RenewedSession, w.RenewedBy = at, session, controller
	w.ConfirmedLag = at.Sub(confirmed)
}

// confirmedRenewal returns when a response to a heartbeat of the worker last surely arrived.
// Without any that this leader can know of it is before KnownSince.
func (w *Worker) confirmedRenewal() time.Time { return w.RenewedAt.Add(-w.ConfirmedLag) }

// lastRenewal returns when a heartbeat of the worker was last responded to, by any controller,
// as far as this leader can know: not before it learnt of the worker.
func (w *Worker) lastRenewal() time.Time { return Later(w.RenewedAt, w.KnownSince) }

// LastContact returns when a heartbeat of the worker last arrived or was last responded to.
// The response to a heartbeat shows in the next view only: by lastRenewal alone, a worker on
// a slow link looked overdue at every heartbeat although all arrived.
func (w *Worker) LastContact() time.Time { return Later(w.lastRenewal(), w.LastUnpolledHeartbeat) }

// LeaseUnknown reports whether this leader has not surely seen the worker's lease renewed, so
// that the lease may expire at any time.
func (w *Worker) LeaseUnknown() bool { return w.confirmedRenewal().Before(w.KnownSince) }
