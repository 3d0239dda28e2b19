package dispatch

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	// heartbeatRaiseTimeout bounds how long the response to a heartbeat waits for a higher token.
	heartbeatRaiseTimeout = 1500 * time.Millisecond
	// A worker that returns within redirectReturnWindow of a redirect could not reach the other
	// controller, and is not redirected again for redirectPause.
	redirectReturnWindow = 15 * time.Second
	redirectPause        = 30 * time.Second
)

// bodyBuffers are reused for the bodies of reports.
var bodyBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// ServeReport answers a worker's heartbeat over HTTP.
func (d *Dispatcher) ServeReport(w http.ResponseWriter, r *http.Request) {
	defer usage.AddTime(usage.Reports, time.Now())
	if !d.reportSlots.acquire(r.Context()) {
		usage.CountEvent(usage.RefusedReports)
		httpjson.Write(w, http.StatusServiceUnavailable, wire.Problem{Error: "too many reports at once"})
		return
	}
	defer d.reportSlots.release()
	body := bodyBuffers.Get().(*bytes.Buffer)
	defer bodyBuffers.Put(body)
	body.Reset()
	if _, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes)); err != nil {
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "body unreadable or too large"})
		return
	}
	rep, err := wire.ParseReport(body.Bytes())
	if err != nil {
		usage.CountEvent(usage.MalformedReports)
		d.log.Info("malformed report", "err", err)
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "malformed report"})
		return
	}
	status, answer := d.handleReport(r.Context(), rep, d.reportSlots)
	httpjson.Write(w, status, answer)
}

// HandleReport processes a worker's heartbeat and returns the HTTP status and body of the
// response. The status is 200 with commands; 421 with the controller to report to, or with none if
// the worker should choose or no sufficient fencing token can be obtained; or 503 for a heartbeat
// that is out of date or whose report is not stored.
func (d *Dispatcher) HandleReport(ctx context.Context, rep *wire.Report) (int, any) {
	return d.handleReport(ctx, rep, nil)
}

// handleReport is HandleReport for a report that holds one of the slots, or none if slots is nil.
func (d *Dispatcher) handleReport(ctx context.Context, rep *wire.Report, slots reportSlots) (int, any) {
	if !d.acceptHeartbeat(rep) {
		return http.StatusServiceUnavailable, wire.Problem{Error: "late report"}
	}
	if redirect, redirected := d.redirect(rep); redirected {
		return http.StatusMisdirectedRequest, redirect
	}
	token := d.responseToken(ctx, rep, slots)
	if token == 0 {
		return http.StatusMisdirectedRequest, wire.Redirect{}
	}
	if view, stored := d.storeReport(rep, true); stored {
		d.schedulers.ObserveWorker(view)
	} else if !d.renewLeaseForStaleReport(rep) {
		return http.StatusServiceUnavailable, wire.Problem{Error: "late report"}
	}
	d.mu.Lock()
	commands := d.commandsLocked(rep.Machine, token, true) //nolint:contextcheck // a raise of the token outlives the heartbeat
	d.mu.Unlock()
	return http.StatusOK, wire.ReportResponse{Token: token, Commands: commands}
}

// redirect decides whether a worker should report to another controller, and to which one. An
// empty redirect leaves the choice to the worker.
func (d *Dispatcher) redirect(rep *wire.Report) (wire.Redirect, bool) {
	leader := d.routing.LeaderFor(rep.Machine)
	switch {
	case !d.routing.MayAnswerWorkers():
		if leader == d.name {
			leader = ""
		}
		return wire.Redirect{ReportTo: leader}, true
	case leader != "" && leader != d.name && d.shouldRedirect(rep, false):
		return wire.Redirect{ReportTo: leader}, true
	case d.routing.Isolated() && d.shouldRedirect(rep, true):
		// Another controller may be able to start tasks. A worker that finds none returns soon, and is
		// then not redirected.
		return wire.Redirect{}, true
	}
	return wire.Redirect{}, false
}

// shouldRedirect records the heartbeat of a worker that should report to another controller: to
// the leader or, if isolated is true, to any controller because this one is isolated. It returns
// false if the worker returned within redirectReturnWindow of a redirect, and then for
// redirectPause: the worker could not reach the other controller. A return from one kind of redirect says nothing about the other kind.
func (d *Dispatcher) shouldRedirect(rep *wire.Report, isolated bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	worker := d.workerLocked(rep.Machine)
	if worker == nil {
		return true
	}
	worker.heartbeatAt, worker.newestHeartbeat, worker.newestHeartbeatAt = now, versionOf(rep), now
	if worker.redirectedWhileIsolated != isolated {
		worker.redirectedWhileIsolated, worker.noRedirectUntil, worker.redirectedAt = isolated, time.Time{}, time.Time{}
	}
	if now.Before(worker.noRedirectUntil) {
		return false
	}
	if !worker.redirectedAt.IsZero() && now.Sub(worker.redirectedAt) < redirectReturnWindow {
		worker.noRedirectUntil, worker.redirectedAt = now.Add(redirectPause), time.Time{}
		return false
	}
	worker.redirectedAt = now
	return true
}

// responseToken returns a fencing token that is not lower than the worker's, or 0 if none can be
// obtained.
// With a lower token in the response, the worker would continue to report here while its lease
// expires.
func (d *Dispatcher) responseToken(ctx context.Context, rep *wire.Report, slots reportSlots) uint64 {
	token := d.tokens.FencingToken()
	if token != 0 && token >= rep.Token {
		return token
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatRaiseTimeout)
	defer cancel()
	var err error
	slots.waitOutside(func() { token, err = d.tokens.RaiseTokenAbove(ctx, rep.Token) })
	if err != nil {
		token = d.tokens.ReservedTokenAbove(rep.Token)
	}
	if token == 0 {
		d.log.Info("raising the fencing token failed", "worker", rep.Machine, "fencing_token", rep.Token, "err", err)
	}
	return token
}

// renewLeaseForStaleReport renews the lease of a worker whose heartbeat storeReport rejected only
// because the response to a push or poll overtook it, and reports whether it did. The heartbeat's
// task list is outdated, but without an answer the worker would look for another controller.
func (d *Dispatcher) renewLeaseForStaleReport(rep *wire.Report) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	worker := d.workers[rep.Machine]
	if worker == nil || d.deleted.Contains(rep.Machine) || rep.Session != worker.report.Session {
		return false
	}
	d.answeredAt[rep.Machine] = time.Now()
	d.changed[rep.Machine] = true // the worker's leader counts the lease from this answer
	return true
}

// storeReport stores a report and returns the worker's view. It returns false if the report is not
// newer than the stored one, or its worker was deleted or can't be added. renewsLease is true for a
// heartbeat that will be answered.
func (d *Dispatcher) storeReport(rep *wire.Report, renewsLease bool) (WorkerView, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.deleted.Contains(rep.Machine) {
		return WorkerView{}, false
	}
	worker := d.workerLocked(rep.Machine)
	if worker == nil {
		return WorkerView{}, false
	}
	version := versionOf(rep)
	if renewsLease && version.newer(worker.newestHeartbeat) {
		worker.newestHeartbeat, worker.newestHeartbeatAt = version, time.Now()
	}
	if !version.newer(versionOf(&worker.report)) {
		return WorkerView{}, false
	}
	now := time.Now()
	sameTasks := slices.Equal(worker.report.Tasks, rep.Tasks)
	unchanged := renewsLease && worker.unchanged(rep, sameTasks)
	worker.report, worker.reportedAt, worker.polled = *rep, now, !renewsLease
	if renewsLease {
		d.answeredAt[rep.Machine], worker.answeredAt = now, now
	}
	if !sameTasks {
		worker.setTasks(rep, now)
		d.haltCancelledLocked(worker)
	}
	worker.reconcile()
	if worker.draining && !worker.allExited() {
		worker.draining = false // another dispatcher has started tasks since
	}
	d.changed[rep.Machine] = true
	view := d.viewLocked(worker)
	view.Unchanged = unchanged
	return view, true
}
