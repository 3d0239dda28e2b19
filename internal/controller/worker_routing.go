package controller

import (
	"sync/atomic"
	"time"

	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/peerlinks"
)

// cancelMarginS is a reserve in seconds within the time in which a cancelled task must end
// (CancelS): after an isolated controller has stopped responding and its workers' leases have
// expired, this much time is left, unless responseGrace returns its minimum.
const cancelMarginS = 3.0

// workerRouter determines which controller a worker reports to, and whether this controller may
// respond to workers. It implements dispatch.Routing.
type workerRouter struct {
	member        *membership.Member
	links         *peerlinks.View
	cancellations *cancellation.Registry
	grace         time.Duration // see responseGrace

	assigned atomic.Bool // workers are assigned to several controllers
}

// responseGrace returns how long a controller may still respond to workers after the last time at
// which it knew all cancels, at least 2 s. A task may be cancelled just after that time, and then runs until its
// worker's lease expires, which counts from the sending of the last report that got a response.
func responseGrace(w config.Workers) time.Duration {
	return config.Seconds(max(2, w.CancelS-w.MaxLeaseS()-cancelMarginS))
}

// LeaderFor returns the name of the controller that a worker should report to, "" if there is none.
func (r *workerRouter) LeaderFor(worker string) string { return r.links.Now().LeaderFor(worker) }

// MayAnswerWorkers reports whether this controller may respond to workers: it has a
// fencing token, and knows of all cancels that any controller confirmed more than the grace
// period ago.
func (r *workerRouter) MayAnswerWorkers() bool {
	return r.member.FencingToken() != 0 && time.Since(r.cancellations.KnownUntil()) < r.grace
}

// Isolated reports whether this controller can't start tasks and knows of no controller that can.
func (r *workerRouter) Isolated() bool {
	return r.links.Now().Isolated() && len(r.member.LedShards()) == 0
}
