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
	responseTimeout   = 4 * time.Second        // of a report
	nextAfter         = time.Second            // before the next controller is tried
	minReportInterval = 500 * time.Millisecond // of reports because something changed
	expireInterval    = 100 * time.Millisecond
	maxResponse       = 4 << 20 // bytes
)

// Controller is a controller that a worker may report to.
type Controller struct{ Name, Addr string }

// Agent reports a worker's state to one of the controllers, and serves direct orders.
// The fields must not change after the first call.
type Agent struct {
	State       *State     // the worker's state
	Processes   *Processes // nil: tasks have no ports, and can't be checked
	Controllers []Controller
	ReportEvery time.Duration     // the mean; each interval is up to a quarter shorter or longer
	Transport   http.RoundTripper // for reports; nil: one connection of its own
	Log         *slog.Logger

	once        sync.Once
	wake        chan struct{}
	tokenRaised time.Time // when a higher fencing token last counted as a change
}

func (a *Agent) init() { a.once.Do(func() { a.wake = make(chan struct{}, 1) }) }

// Changed makes the next report come soon. It never blocks.
func (a *Agent) Changed() {
	a.init()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run reports, beginning with any of the controllers, and expires the lease, until ctx
// ends. It returns the error of ctx, or one at once if there is no controller.
func (a *Agent) Run(ctx context.Context) error {
	if len(a.Controllers) == 0 {
		return errors.New("no controller to report to")
	}
	a.init()
	var expiry sync.WaitGroup
	expiry.Go(func() { a.expire(ctx) })
	defer expiry.Wait() // ctx has ended
	client := &http.Client{Transport: a.Transport}
	if a.Transport == nil {
		client.Transport = &http.Transport{MaxIdleConnsPerHost: 1}
	}
	current := rand.IntN(len(a.Controllers))
	for {
		sent := time.Now()
		next, wait := a.report(ctx, client, current)
		if next != current {
			client.CloseIdleConnections()
			current = next
		}
		a.pause(ctx, sent, wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// pause waits before the next report: for so long, or, if that is 0, for the usual
// interval or until something changed.
func (a *Agent) pause(ctx context.Context, sent time.Time, wait time.Duration) {
	var wake <-chan struct{} // changes don't hasten the next controller's turn
	if wait == 0 {
		wake = a.wake
		wait = time.Duration((0.75 + 0.5*rand.Float64()) * float64(a.ReportEvery))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
		// Soon, but not sooner than is allowed.
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(sent.Add(minReportInterval))):
		}
	}
}

// expire expires the lease until ctx ends.
func (a *Agent) expire(ctx context.Context) {
	_ = periodic.Run(ctx, expireInterval, a.State.Expire) // ends with ctx
}

// report sends one report. It returns the controller to go on with, and how long
// to wait before; 0 means the usual interval.
func (a *Agent) report(ctx context.Context, client *http.Client, current int) (next int, wait time.Duration) {
	other := (current + 1) % len(a.Controllers)
	controller := a.Controllers[current]
	report := a.State.Report()
	body, err := json.Marshal(report)
	if err != nil {
		a.Log.Error("report not encoded", "err", err)
		return other, nextAfter
	}
	sent := time.Now()
	status, data, err := post(ctx, client, "http://"+controller.Addr+"/v1/report", body)
	if err != nil {
		a.Log.Debug("no response to the report", "controller", controller.Name, "err", err)
		return other, nextAfter
	}
	switch status {
	case http.StatusOK:
		var response wire.ReportResponse
		if err := json.Unmarshal(data, &response); err != nil {
			a.Log.Info("malformed response to the report", "controller", controller.Name, "err", err)
			return other, nextAfter
		}
		a.execute(ctx, sent, report.Session, response)
		return current, 0
	case http.StatusMisdirectedRequest:
		if i, ok := a.redirected(data, current); ok {
			return i, time.Duration(1 + rand.Int64N(int64(minReportInterval)))
		}
	}
	return other, nextAfter
}

// post sends a report and returns the response.
func post(ctx context.Context, client *http.Client, url string, body []byte) (status int, data []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
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
	defer func() { _ = resp.Body.Close() }() // what was read counts
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	return resp.StatusCode, data, err
}

// execute takes a response to a report. A higher fencing token is reported soon, so that
// it is known to be in effect, but at most twice in a lease.
func (a *Agent) execute(ctx context.Context, sent time.Time, session uint64, response wire.ReportResponse) {
	_, newToken := a.State.HandleResponse(ctx, sent, session, response)
	if newToken && time.Since(a.tokenRaised) > a.State.id.Lease/2 {
		a.tokenRaised = time.Now()
		a.Changed()
	}
}

// redirected finds the controller, other than the current one, that a response names.
func (a *Agent) redirected(data []byte, current int) (next int, ok bool) {
	var redirect wire.Redirect
	if json.Unmarshal(data, &redirect) != nil {
		return 0, false // as one that names nobody
	}
	for i, controller := range a.Controllers {
		if controller.Name == redirect.ReportTo && i != current {
			return i, true
		}
	}
	return 0, false
}

// Handler serves direct orders, the report on request, and checks of tasks.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", a.serveOrders)
	mux.HandleFunc("GET /show", func(w http.ResponseWriter, _ *http.Request) { httpjson.Write(w, http.StatusOK, a.State.Report()) })
	mux.HandleFunc("GET /check/{job}/{n}/{attempt}", a.serveCheck)
	return mux
}

// serveOrders executes direct orders and responds with a report, of status 409 if they
// were refused.
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
