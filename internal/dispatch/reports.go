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
	// heartbeatRaiseTimeout bounds how long a heartbeat waits for a higher token.
	heartbeatRaiseTimeout = 1500 * time.Millisecond
	// A worker that returns within bounceWindow of a redirect could not reach the other
	// controller and is kept for keepFor.
	bounceWindow = 15 * time.Second
	keepFor      = 30 * time.Second
)

// bodies are buffers for reports: each would otherwise grow one anew.
var bodies = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// ServeReport answers a worker's heartbeat over HTTP.
func (d *Dispatcher) ServeReport(w http.ResponseWriter, r *http.Request) {
	defer usage.AddTime(usage.Reports, time.Now())
	body := bodies.Get().(*bytes.Buffer)
	defer bodies.Put(body)
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
	status, answer := d.HandleReport(r.Context(), rep)
	httpjson.Write(w, status, answer)
}

// HandleReport takes a worker's heartbeat and returns the HTTP status and body to answer: 200
// with commands, 421 with the controller to report to, or 503 for one that is not newer than
// what is known.
func (d *Dispatcher) HandleReport(ctx context.Context, rep *wire.Report) (int, any) {
	if !d.acceptHeartbeat(rep) {
		return http.StatusServiceUnavailable, wire.Problem{Error: "late report"}
	}
	if redirect, redirected := d.redirect(rep); redirected {
		return http.StatusMisdirectedRequest, redirect
	}
	token := d.responseToken(ctx, rep)
	if token == 0 {
		return http.StatusMisdirectedRequest, wire.Redirect{}
	}
	if view, stored := d.storeReport(rep, true); stored {
		d.schedulers.ObserveWorker(view)
	} else if !d.renewsOlder(rep) {
		return http.StatusServiceUnavailable, wire.Problem{Error: "late report"}
	}
	d.mu.Lock()
	commands := d.commandsLocked(rep.Machine, token, true)
	d.mu.Unlock()
	return http.StatusOK, wire.ReportResponse{Token: token, Commands: commands}
}

// redirect decides whether a worker is to report elsewhere, and to which controller; an empty
// redirect leaves the choice to the worker.
func (d *Dispatcher) redirect(rep *wire.Report) (wire.Redirect, bool) {
	leader := d.routing.LeaderFor(rep.Machine)
	switch {
	case !d.routing.MayAnswerWorkers():
		if leader == d.name {
			leader = ""
		}
		return wire.Redirect{ReportTo: leader}, true
	case leader != "" && leader != d.name && d.leavesWorker(rep, false):
		return wire.Redirect{ReportTo: leader}, true
	case d.routing.Isolated() && d.leavesWorker(rep, true):
		// Others may be able to start work. A worker that finds none is back soon,
		// and kept.
		return wire.Redirect{}, true
	}
	return wire.Redirect{}, false
}

// leavesWorker notes the heartbeat of a worker that should report elsewhere, and reports
// whether it is sent there: to the leader, or to anybody if this controller is isolated. A
// worker that is back soon could not reach the leader and is kept for a while; what it could
// not reach then says nothing of the other case.
func (d *Dispatcher) leavesWorker(rep *wire.Report, isolated bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	worker := d.workerLocked(rep.Machine)
	if worker == nil {
		return true
	}
	worker.heartbeatAt, worker.newestHeartbeat, worker.newestHeartbeatAt = now, versionOf(rep), now
	if worker.redirectedIsolated != isolated {
		worker.redirectedIsolated, worker.keptUntil, worker.redirectedAt = isolated, time.Time{}, time.Time{}
	}
	if now.Before(worker.keptUntil) {
		return false
	}
	if !worker.redirectedAt.IsZero() && now.Sub(worker.redirectedAt) < bounceWindow {
		worker.keptUntil, worker.redirectedAt = now.Add(keepFor), time.Time{}
		return false
	}
	worker.redirectedAt = now
	return true
}

// responseToken returns a token that is not below the worker's, or 0 if there is none: a
// response with a lower token would keep the worker here while its lease expires.
func (d *Dispatcher) responseToken(ctx context.Context, rep *wire.Report) uint64 {
	token := d.tokens.FencingToken()
	if token != 0 && token >= rep.Token {
		return token
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatRaiseTimeout)
	defer cancel()
	token, err := d.tokens.RaiseTokenAbove(ctx, rep.Token)
	if err != nil {
		token = d.tokens.ReservedTokenAbove(rep.Token)
	}
	if token == 0 {
		d.log.Info("raising the fencing token failed", "worker", rep.Machine, "fencing_token", rep.Token, "err", err)
	}
	return token
}

// renewsOlder renews the lease of a worker whose heartbeat storeReport refused, if it is only
// older than the response to direct commands that came in between, and reports whether it did.
// Its list is of no use, but without an answer the worker would look for another controller.
func (d *Dispatcher) renewsOlder(rep *wire.Report) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	worker := d.workers[rep.Machine]
	if worker == nil || d.deleted.Contains(rep.Machine) || rep.Session != worker.report.Session {
		return false
	}
	d.answeredAt[rep.Machine] = time.Now()
	d.changed[rep.Machine] = true // its leader counts its lease from then
	return true
}

// storeReport stores a report and returns the worker's view, or false if a newer report came
// before. renewsLease says that it is a heartbeat that will be answered.
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
	d.changed[rep.Machine] = true
	view := d.viewLocked(worker)
	view.Unchanged = unchanged
	return view, true
}
