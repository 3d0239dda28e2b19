package controller

import (
	"sync/atomic"
	"time"

	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/peerlinks"
)

// cancelSlackS are the seconds kept between the last response of a controller that is cut
// off and the time by which a cancelled task must have ended.
const cancelSlackS = 3.0

// workerRouter decides which controller a worker reports to, and whether this one may
// respond. It implements dispatch.Routing.
type workerRouter struct {
	member        *membership.Member
	links         *peerlinks.View
	cancellations *cancellation.Registry
	grace         time.Duration // see responseGrace

	assigned atomic.Bool // workers are assigned to several controllers
}

// responseGrace is how long after the last time up to which it knows of all cancels this
// controller may respond to workers: a worker's lease counts from the send of the report that
// was responded to last, and what it runs may have been cancelled just after that time.
func responseGrace(w config.Workers) time.Duration {
	return config.Seconds(max(2, w.CancelS-w.MaxLeaseS()-cancelSlackS))
}

// LeaderFor names the controller that a worker should report to, "" for none.
func (r *workerRouter) LeaderFor(worker string) string { return r.links.Now().LeaderFor(worker) }

// MayAnswerWorkers reports whether this controller may respond to workers: it knows of all
// cancels that any controller confirmed up to a moment ago.
func (r *workerRouter) MayAnswerWorkers() bool {
	return r.member.FencingToken() != 0 && time.Since(r.cancellations.KnownUntil()) < r.grace
}

// Isolated reports whether this controller can start nothing and knows of nobody who can.
func (r *workerRouter) Isolated() bool {
	return r.links.Now().Isolated() && len(r.member.LedShards()) == 0
}
