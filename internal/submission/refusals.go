package submission

import (
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// Refusal is the reason why a request was answered with status 503.
type Refusal string

// The reasons.
const (
	RefusedStoreBusy         Refusal = "store_busy"         // the budget of requests to the state service is used up
	RefusedStoreUnavailable  Refusal = "store_unavailable"  // the state service refused the request
	RefusedStoreUnknown      Refusal = "store_unknown"      // the state service did not answer in time, or not as expected
	RefusedCancelUnconfirmed Refusal = "cancel_unconfirmed" // the job is cancelled, which can't be confirmed now
	RefusedDenial            Refusal = "denial"             // the answer would have denied a job that is known to be accepted
	RefusedTooMany           Refusal = "too_many_requests"  // too many requests at once
	RefusedOther             Refusal = "other"              // any other reason, such as unknown machine types
)

// DeniedJobMessage is the log message when an answer would have denied an accepted job.
const DeniedJobMessage = "accepted job denied"

const (
	refusalLogInterval = 10 * time.Second // minimum time between two log lines about refused requests
	unansweredAfter    = 20 * time.Second // time without an answer after which a job is logged
	maxUnanswered      = 1000             // number of jobs whose unanswered requests are tracked
	unansweredTTL      = 2 * time.Minute  // time after the last refused request for which a job is tracked
)

// refusalOf returns the reason for an error of the state service.
func refusalOf(err error) Refusal {
	switch {
	case errors.Is(err, statestore.ErrBusy):
		return RefusedStoreBusy
	case errors.Is(err, statestore.ErrUnavailable):
		return RefusedStoreUnavailable
	}
	return RefusedStoreUnknown
}

// unansweredJob is a job whose users' requests have all been refused here for some time.
type unansweredJob struct {
	since, lastAt time.Time // of the first and the last refused request
	requests      int
	logged        bool
}

// refusals counts the refused requests by reason, and logs them at a limited rate. A job is logged
// once if it stays without an answer. It is safe for concurrent use. The zero value is ready for use.
type refusals struct {
	mu         sync.Mutex
	byReason   map[Refusal]int64
	unanswered map[string]*unansweredJob
	unlogged   map[Refusal]int // refused requests since loggedAt, by reason
	loggedAt   time.Time
}

// counts returns the number of refused requests by reason.
func (r *refusals) counts() map[Refusal]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[Refusal]int64{}
	maps.Copy(counts, r.byReason)
	return counts
}

// record counts a refused request about a job. A uid that can't be a job's counts as unknown: users
// choose it, and the tracked ones must be bounded in size too.
func (r *refusals) record(log *slog.Logger, uid string, reason Refusal) {
	now := time.Now()
	if !wire.ValidJobID(uid) {
		uid = ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byReason == nil {
		r.byReason, r.unlogged = map[Refusal]int64{}, map[Refusal]int{}
	}
	r.byReason[reason]++
	r.unlogged[reason]++
	if now.Sub(r.loggedAt) >= refusalLogInterval {
		log.Info("requests refused", "job", uid, "reason", reason, "refused", r.unlogged)
		r.unlogged, r.loggedAt = map[Refusal]int{}, now
		maps.DeleteFunc(r.unanswered, func(_ string, job *unansweredJob) bool { return now.Sub(job.lastAt) > unansweredTTL })
	}
	if uid != "" {
		r.trackLocked(log, uid, reason, now)
	}
}

// trackLocked tracks a job of which a request was refused.
func (r *refusals) trackLocked(log *slog.Logger, uid string, reason Refusal, now time.Time) {
	job := r.unanswered[uid]
	if job == nil {
		if len(r.unanswered) >= maxUnanswered {
			return
		}
		if r.unanswered == nil {
			r.unanswered = map[string]*unansweredJob{}
		}
		job = &unansweredJob{since: now}
		r.unanswered[uid] = job
	}
	job.requests++
	job.lastAt = now
	if !job.logged && now.Sub(job.since) >= unansweredAfter {
		job.logged = true
		log.Warn("job without an answer", "job", uid, "reason", reason, "refused", job.requests, "for_s", now.Sub(job.since).Seconds())
	}
}

// answered records that a request about a job was answered.
func (r *refusals) answered(uid string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unanswered, uid)
}

// recordOutcome records whether a request about a job was answered.
func (s *Service) recordOutcome(uid string, rep *Reply) {
	switch {
	case rep.answered():
		s.refusals.answered(uid)
	case rep.Refusal == "":
		s.refusals.record(s.log, uid, RefusedOther)
	default:
		s.refusals.record(s.log, uid, rep.Refusal)
	}
}

// Refusals returns how many requests were answered with status 503, by reason.
func (s *Service) Refusals() map[Refusal]int64 { return s.refusals.counts() }
