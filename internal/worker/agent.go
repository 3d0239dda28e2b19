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
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	answerWithin = 4 * time.Second        // the controller has so long to answer a report
	nextAfter    = time.Second            // before the next controller is tried
	atMostEvery  = 500 * time.Millisecond // reports because something changed
	expireEvery  = 100 * time.Millisecond
	maxAnswer    = 4 << 20
)

// Controller is a controller that a worker may report to.
type Controller struct{ Name, Addr string }

// Agent reports a machine's state to the controllers and serves direct orders.
type Agent struct {
	Machine     *Machine
	Processes   *Processes
	Controllers []Controller
	ReportEvery time.Duration
	Transport   http.RoundTripper // for reports; nil: one connection of its own
	Log         *slog.Logger

	once   sync.Once
	wake   chan struct{}
	raised time.Time // when a higher token last counted as a change
}

func (a *Agent) init() { a.once.Do(func() { a.wake = make(chan struct{}, 1) }) }

// Changed makes the next report come soon.
func (a *Agent) Changed() {
	a.init()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run reports until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	if len(a.Controllers) == 0 {
		return errors.New("no controller to report to")
	}
	a.init()
	go a.expire(ctx)
	client := &http.Client{Transport: a.Transport}
	if a.Transport == nil {
		client.Transport = &http.Transport{MaxIdleConnsPerHost: 1}
	}
	at := rand.IntN(len(a.Controllers))
	for {
		sent := time.Now()
		next, wait := a.report(ctx, client, at)
		if next != at {
			client.CloseIdleConnections()
			at = next
		}
		pause := wait
		if pause == 0 {
			pause = time.Duration((0.75 + 0.5*rand.Float64()) * float64(a.ReportEvery))
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-a.wakeIf(wait == 0):
			// Soon, but not sooner than is allowed.
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(sent.Add(atMostEvery))):
			}
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// wakeIf is the channel of changes, unless the next controller is waited for.
func (a *Agent) wakeIf(ok bool) <-chan struct{} {
	if ok {
		return a.wake
	}
	return nil
}

func (a *Agent) expire(ctx context.Context) {
	tick := time.NewTicker(expireEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.Machine.Expire()
		}
	}
}

// report sends one report. It returns the controller to go on with, and how long
// to wait before; 0 means the usual interval.
func (a *Agent) report(ctx context.Context, client *http.Client, at int) (next int, wait time.Duration) {
	other := (at + 1) % len(a.Controllers)
	rep := a.Machine.Report()
	body, err := json.Marshal(rep)
	if err != nil {
		a.Log.Error("report not encoded", "err", err)
		return other, nextAfter
	}
	rctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	sent := time.Now()
	req, err := http.NewRequestWithContext(rctx, http.MethodPost, "http://"+a.Controllers[at].Addr+"/v1/report", bytes.NewReader(body))
	if err != nil {
		a.Log.Error("report not made", "err", err)
		return other, nextAfter
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		a.Log.Debug("no answer", "controller", a.Controllers[at].Name, "err", err)
		return other, nextAfter
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return other, nextAfter
	}
	switch resp.StatusCode {
	case http.StatusOK:
		var ans wire.ReportAnswer
		if err := json.Unmarshal(data, &ans); err != nil {
			a.Log.Info("malformed answer", "controller", a.Controllers[at].Name, "err", err)
			return other, nextAfter
		}
		if _, raised := a.Machine.Answer(sent, rep.Session, ans); raised && time.Since(a.raised) > a.Machine.id.Lease/2 {
			a.raised = time.Now()
			a.Changed()
		}
		return at, 0
	case http.StatusMisdirectedRequest:
		var r wire.Redirect
		if json.Unmarshal(data, &r) == nil {
			for i, c := range a.Controllers {
				if c.Name == r.ReportTo && i != at {
					return i, time.Duration(1 + rand.Int64N(int64(atMostEvery)))
				}
			}
		}
	}
	return other, nextAfter
}

// Handler serves direct orders, the report on request, and checks of tasks.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
		if err != nil {
			httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "body unreadable or over 64 KiB"})
			return
		}
		o, err := wire.ParseOrders(body)
		if err != nil {
			httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: err.Error()})
			return
		}
		status := http.StatusOK
		if !a.Machine.Orders(*o) {
			status = http.StatusConflict
		}
		httpjson.Write(w, status, a.Machine.Report())
	})
	mux.HandleFunc("GET /show", func(w http.ResponseWriter, _ *http.Request) { httpjson.Write(w, http.StatusOK, a.Machine.Report()) })
	mux.HandleFunc("GET /check/{job}/{n}/{attempt}", a.serveCheck)
	return mux
}
