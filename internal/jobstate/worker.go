package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	faultyErrors = 4 // minimum number of errors since the last completed task for a worker to be faulty
	faultyJobs   = 2 // minimum number of jobs from which these errors come
	// shortTaskShare is the share of the remaining occupied time of a cordoned worker that a
	// further task may take, including the image fetch.
	shortTaskShare = 0.8
)

// Worker is a worker as shown by its dispatcher's views.
type Worker struct {
	Index      int // index in State.WorkersByIndex; not reused after the worker's deletion
	Name       string
	Type       wire.MachineType // computed by State.TypeOf
	KnownSince time.Time        // time at which this leader first learned of the worker

	View                  dispatch.WorkerView
	ViewAt                time.Time // arrival of View; zero if none arrived
	LastHeartbeat         time.Time // arrival of View's heartbeat at the dispatcher; zero if none was received
	LastUnpolledHeartbeat time.Time // the same for the last heartbeat that was not a response to a poll

	RenewedAt      time.Time // time at which any controller last responded to a heartbeat, which renews the lease
	RenewedSession uint64    // session of the worker at RenewedAt
	RenewedBy      string    // controller that responded at RenewedAt
	// ConfirmedLag is the time from the last response that is known to have arrived until
	// RenewedAt, see RecordRenewal.
	ConfirmedLag    time.Duration
	PolledAt        time.Time // time of the last poll for an overdue heartbeat
	UnansweredPolls int       // consecutive polls without a response

	Matrix     matching.WaitMatrix // published wait-time matrix, less reservations
	Placements map[*Placement]struct{}
	MaxToken   uint64               // highest fencing token that a start command granted by this leader may carry
	Images     map[int]*CachedImage // cached images, by number in State.Images

	// Small fields are grouped to save memory, because there are thousands of workers.
	RoomReserved           bool  // Matrix includes a reservation that lasts only for the current pass
	Cordoned               bool  // the autoscaler is emptying the worker
	Removed                bool  // the cloud has deleted the worker
	CommandObserved        bool  // a granted start was reported since the last check, see package reconcile
	LeaseExpiredUnreported bool  // responses to polls show that its lease expired while no heartbeat arrived
	UnresponsiveHeartbeats int16 // consecutive heartbeats that showed no effect of the commands sent

	ReclaimAt time.Time // time at which the cloud reclaims the machine; zero without notice
	// OccupiedS is the time in seconds for which a cordoned worker stays occupied by tasks that
	// are not evicted, as of the current pass.
	OccupiedS float64

	RecentDone float64        // recent tasks done on the worker, older ones with lower weight
	RecentLost float64        // recent tasks lost on the worker, older ones with lower weight
	Failures   map[string]int // errors since a task was last done on the worker, by job

	// UnresponsiveSince is the time since which commands have had no effect on the worker,
	// according to its heartbeats; zero if they have had effect or nothing is known.
	UnresponsiveSince time.Time
	RespondedAt       time.Time // grant time of the last start known to have reached the worker, or time of its last response to a poll

	RecordedFailover int // number of the last failover that loaded records of tasks on the worker; 0 if none
}

// WorkerOf returns the worker of that name, and adds it if it is new.
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

// TypeOf returns the worker's machine type, without a name if the type is unknown. The result is
// valid until the next call for the same worker.
func (s *State) TypeOf(worker *Worker) *wire.MachineType {
	if worker.Type.Name != worker.View.Type {
		worker.Type, _ = s.MachineTypes.Type(worker.View.Type)
	}
	return &worker.Type
}

// Faulty reports whether tasks of several jobs have failed on the worker and none has completed
// since.
func (w *Worker) Faulty() bool {
	sum := 0
	for _, n := range w.Failures {
		sum += n
	}
	return sum >= faultyErrors && len(w.Failures) >= faultyJobs
}

// EndsWhileOccupied reports whether a task that takes that many seconds, including the image
// fetch, ends on a cordoned worker early enough not to delay the worker's deletion.
func (w *Worker) EndsWhileOccupied(seconds float64) bool {
	return seconds <= shortTaskShare*w.OccupiedS
}

// RecordRenewal records that a controller responded to a heartbeat of the worker in the given
// session. Only the next heartbeat shows whether the response arrived: a worker that received it
// returns to the same controller, and one that did not tries another. If the session is new,
// its lease started after the previous response, which therefore counts as having arrived.
func (w *Worker) RecordRenewal(at time.Time, session uint64, controller string) {
	confirmed := w.RenewedAt
	if session == w.RenewedSession && controller != w.RenewedBy {
		confirmed = confirmed.Add(-w.ConfirmedLag)
	}
	w.RenewedAt, w.RenewedSession, w.RenewedBy = at, session, controller
	w.ConfirmedLag = at.Sub(confirmed)
}

// confirmedRenewal returns the time of the last response to a heartbeat of the worker that is
// known to have arrived. It is before KnownSince if this leader knows of none.
func (w *Worker) confirmedRenewal() time.Time { return w.RenewedAt.Add(-w.ConfirmedLag) }

// lastRenewal returns the time of the last response to a heartbeat of the worker by any
// controller, but not before KnownSince, before which this leader knows of none.
func (w *Worker) lastRenewal() time.Time { return Later(w.RenewedAt, w.KnownSince) }

// LastContact returns the time at which a heartbeat of the worker last arrived or was last
// responded to. The response to a heartbeat is only visible in the next view: by lastRenewal
// alone, a worker on a slow link would look overdue at every heartbeat although all arrive.
func (w *Worker) LastContact() time.Time { return Later(w.lastRenewal(), w.LastUnpolledHeartbeat) }

// LeaseUnknown reports whether this leader has no confirmed renewal of the worker's lease, so
// that the lease may expire at any time.
func (w *Worker) LeaseUnknown() bool { return w.confirmedRenewal().Before(w.KnownSince) }
