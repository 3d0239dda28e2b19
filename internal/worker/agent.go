package worker

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	reportTimeout      = 4 * time.Second        // of one report
	retryDelay         = time.Second            // after a failed report, before the next controller is tried
	minReportInterval  = 500 * time.Millisecond // between a report and an early report that follows it
	leaseCheckInterval = 100 * time.Millisecond
	maxResponseBytes   = 4 << 20 // bytes
)

// Controller is a controller that a worker may report to.
type Controller struct{ Name, Addr string }

// Agent reports a worker's state to one of the controllers, and serves direct orders. The exported
// fields must not change after the first method call.
type Agent struct {
	State          *State
	Processes      *Processes // nil: tasks get no ports and can't be checked
	Controllers    []Controller
	ReportInterval time.Duration     // mean interval; each one varies by up to a quarter in either direction
	Transport      http.RoundTripper // for reports; nil: the agent uses a transport of its own
	Log            *slog.Logger

	once            sync.Once
	wake            chan struct{}
	lastTokenChange time.Time // time of the last early report because of a higher fencing token
}

func (a *Agent) init() { a.once.Do(func() { a.wake = make(chan struct{}, 1) }) }

// ReportSoon triggers an early report. It never blocks.
func (a *Agent) ReportSoon() {
	a.init()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run sends reports, starting with a random controller, and expires the lease until ctx ends. It
// returns ctx's error, or an error immediately if there are no controllers.
func (a *Agent) Run(ctx context.Context) error {
	if len(a.Controllers) == 0 {
		return errors.New("no controller to report to")
	}
	a.init()
	var expiry sync.WaitGroup
	expiry.Go(func() { a.runLeaseExpiry(ctx) })
	defer expiry.Wait() // returns soon: ctx has ended
	client := &http.Client{Transport: a.Transport}
	if a.Transport == nil {
		client.Transport = &http.Transport{MaxIdleConnsPerHost: 1}
	}
	current := rand.IntN(len(a.Controllers))
	for {
		sent := time.Now()
		next, wait := a.sendReport(ctx, client, current)
		if next != current {
			client.CloseIdleConnections()
			current = next
		}
		a.waitForNextReport(ctx, sent, wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// waitForNextReport waits for the given time, or until ctx ends. If wait is 0, it waits for about
// ReportInterval; only in this case, ReportSoon shortens the wait, but the next report is sent no
// earlier than minReportInterval after the time sent.
func (a *Agent) waitForNextReport(ctx context.Context, sent time.Time, wait time.Duration) {
	var wake <-chan struct{} // nil after a failed or redirected report: changes must not shorten the wait
	if wait == 0 {
		wake = a.wake
		wait = time.Duration((0.75 + 0.5*rand.Float64()) * float64(a.ReportInterval))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
		// Report early, but keep the minimum interval.
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(sent.Add(minReportInterval))):
		}
	}
}

// runLeaseExpiry checks the lease for expiry until ctx ends.
func (a *Agent) runLeaseExpiry(ctx context.Context) {
	_ = periodic.Run(ctx, leaseCheckInterval, a.State.Expire) // returns when ctx ends
}

// sendReport sends one report to a controller. It returns the controller for the next report and
// the time to wait before it; 0 means the usual interval.
func (a *Agent) sendReport(ctx context.Context, client *http.Client, current int) (next int, wait time.Duration) {
	other := (current + 1) % len(a.Controllers)
	controller := a.Controllers[current]
	report := a.State.Report()
	body, err := json.Marshal(report)
	if err != nil {
		a.Log.Error("encode report failed", "err", err)
		return other, retryDelay
	}
	sent := time.Now()
	status, data, err := postReport(ctx, client, "http://"+controller.Addr+"/v1/report", body)
	if err != nil {
		a.Log.Debug("report request failed", "controller", controller.Name, "err", err)
		return other, retryDelay
	}
	switch status {
	case http.StatusOK:
		var response wire.ReportResponse
		if err := json.Unmarshal(data, &response); err != nil {
			a.Log.Info("malformed response to report", "controller", controller.Name, "err", err)
			return other, retryDelay
		}
		a.handleResponse(ctx, sent, report.Session, response)
		return current, 0
	case http.StatusMisdirectedRequest:
		if i, ok := a.redirectTarget(data, current); ok {
			return i, time.Duration(1 + rand.Int64N(int64(minReportInterval)))
		}
	}
	return other, retryDelay
}

// postReport sends a report and returns the status and the body of the response. The body is cut
// off after maxResponseBytes.
func postReport(ctx context.Context, client *http.Client, url string, body []byte) (status int, data []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, data, err
}

// handleResponse applies the response to a report. If the response carries a higher fencing token,
// it triggers an early report, which tells the controller that the token is in effect. Early
// reports for this reason are more than half a lease apart.
func (a *Agent) handleResponse(ctx context.Context, sent time.Time, session uint64, response wire.ReportResponse) {
	_, newToken := a.State.HandleResponse(ctx, sent, session, response)
	if newToken && time.Since(a.lastTokenChange) > a.State.id.Lease/2 {
		a.lastTokenChange = time.Now()
		a.ReportSoon()
	}
}

// redirectTarget returns the index of the controller that a redirect names. ok is false if the body
// is malformed, or if it names no controller, an unknown one or the current one.
func (a *Agent) redirectTarget(data []byte, current int) (next int, ok bool) {
	var redirect wire.Redirect
	if json.Unmarshal(data, &redirect) != nil {
		return 0, false // treated as a redirect that names no controller
	}
	for i, controller := range a.Controllers {
		if controller.Name == redirect.ReportTo && i != current {
			return i, true
		}
	}
	return 0, false
}

// Handler serves direct orders, reports on request and health checks of tasks.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", a.serveOrders)
	mux.HandleFunc("GET /show", func(w http.ResponseWriter, _ *http.Request) { httpjson.Write(w, http.StatusOK, a.State.Report()) })
	mux.HandleFunc("GET /check/{job}/{n}/{attempt}", a.serveCheck)
	return mux
}

// serveOrders executes direct orders and responds with a report. The status is 409 if State refused
// the orders. A malformed or oversized body is answered with status 400 and no report.
func (a *Agent) serveOrders(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil {
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "body unreadable or over 64 KiB"})
		return
	}
	orders, err := wire.ParsePushedCommands(body)
	if err != nil {
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: err.Error()})
		return
	}
	status := http.StatusOK
	if !a.State.HandleOrders(r.Context(), *orders) {
		status = http.StatusConflict
	}
	httpjson.Write(w, status, a.State.Report())
}
