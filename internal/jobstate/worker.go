package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	faultyLeast = 4 // errors on a machine, of two jobs at least, without a task done, that make it faulty
	// shortTaskShare is the share of that time that such a task may take, its image's
	// transfer included.
	shortTaskShare = 0.8
)

// Faulty reports whether the machine fails what runs elsewhere.
func (worker *Worker) Faulty() bool {
	sum := 0
	for _, n := range worker.Failures {
		sum += n
	}
	return sum >= faultyLeast && len(worker.Failures) >= 2
}

// EndsWhileOccupied reports whether a task that takes so many seconds, fetch included, ends
// on a closing machine early enough not to delay the machine's return.
func (worker *Worker) EndsWhileOccupied(seconds float64) bool {
	return seconds <= shortTaskShare*worker.OccupiedFor
}

// LastRenewal is when a report of the machine's worker was last answered, as far as this
// owner knows: by any controller, or before it knew of the machine.
func (worker *Worker) LastRenewal() time.Time { return Later(worker.RenewedAt, worker.KnownSince) }

// LastContact is when a report of the machine's worker last came, or was last answered. One
// that came is mostly answered a moment later, which the next view tells: over slow links a
// worker whose reports all arrive looked overdue at each of them by the answer alone.
func (worker *Worker) LastContact() time.Time { return Later(worker.LastRenewal(), worker.LastReport) }

// LeaseUnknown reports whether a predecessor renewed the worker's lease last: it may end
// at any time.
func (worker *Worker) LeaseUnknown() bool { return worker.RenewedAt.Before(worker.KnownSince) }

// Worker is a machine as its views show it.
type Worker struct {
	Index         int
	Name          string
	View          dispatch.WorkerView
	ViewAt        time.Time // when the view came; zero if none did
	LastHeartbeat time.Time // when the report in it came to its holder
	KnownSince    time.Time // when this owner first knew of it
	// RenewedAt is when a report of its worker was last answered, by any controller; askedAt
	// when it was last asked for one for want of that, unanswered how often in vain.
	RenewedAt, PolledAt time.Time
	UnansweredPolls     int
	RenewedSession      uint64    // the session in which it was
	LastReport          time.Time // when its worker last reported by itself
	Matrix              matching.WaitMatrix
	RoomReserved        bool // the matrix holds room for this pass only
	Placements          map[*Placement]struct{}
	MaxToken            uint64 // the highest that a start command for it may carry by a grant from here
	Images              map[int]*CachedImage
	NoticeAt            time.Time // when the cloud takes it, if it said so
	RecentDone          float64
	RecentLost          float64
	Failures            map[string]int // errors there since a task was last done there, by job
	// UnresponsiveSince is since when what was sent to the machine had no effect, as its reports
	// show; zero: it had. See heeds.
	UnresponsiveSince   time.Time
	UnresponsiveReports int  // reports in a row that showed it
	CommandObserved     bool // a start was seen to have come through
	RespondedAt         time.Time
	Gone                bool
	Cordoned            bool // the fleet wants it empty
	// OccupiedFor is for how many seconds a closing machine stays occupied by tasks that
	// are not stopped, as of the pass in progress. See staysOccupied.
	OccupiedFor float64
	// RecordedFailover is the last takeover whose records had tasks on it.
	RecordedFailover int
	Type             wire.MachineType
}
