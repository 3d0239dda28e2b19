package statestore

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"
)

// RelayedRequest is a request to the state service that a peer passes on, within its own
// budget, and never further.
type RelayedRequest struct {
	Method   string        `json:"method"`
	Path     string        `json:"path"`
	Body     []byte        `json:"body,omitempty"`
	Writes   int           `json:"writes,omitempty"` // puts and deletes in it
	Priority PriorityClass `json:"lane,omitempty"`
}

// RelayedResponse is the service's answer to it.
type RelayedResponse struct {
	Status int    `json:"status"`
	Body   []byte `json:"body,omitempty"`
}

// Relay carries requests by way of a peer that reaches the state service.
type Relay interface {
	// Ready reports whether there is such a peer.
	Ready() bool
	// Forward has a request made. With an error it is not known whether it was, unless
	// that is ErrUnavailable.
	Forward(ctx context.Context, req RelayedRequest) (*RelayedResponse, error)
}

const (
	// stalled is how long the service may be asked without any answer, to any
	// request, before its link counts as lost while a peer reaches it. Answers
	// usually take under 10 ms, and now and then a few hundred.
	stalled = 600 * time.Millisecond
	// tryEvery is the time between tries whether a lost link works again.
	tryEvery = time.Second
	// tries that must succeed in a row; each loss soon after the last doubles
	// them, so that a flapping link is left alone for longer.
	tries     = 2
	mostTries = 32
	flapping  = time.Minute
	// tryPath is read to find out whether a lost link works; it need not exist.
	tryPath = "/store/c/term"
	// maxPassed bounds what a peer passes back.
	maxPassed = 3 << 20
)

// detour is the state of the way round. The zero value goes straight.
type detour struct {
	relay Relay
	log   *slog.Logger

	mu    sync.Mutex
	lost  bool
	need  int       // good tries before the straight way is taken again
	since time.Time // of the last change
	vain  time.Time // when the way round last led nowhere
	end   func()    // ends all that goes straight
	ctx   context.Context
}

// SetRelay sets the way round by a peer, for when the link to the service is lost
// here alone. Call it before the first request; Run must run.
func (c *Client) SetRelay(r Relay, log *slog.Logger) {
	c.way.relay, c.way.log = r, log
	c.way.ctx, c.way.end = context.WithCancel(context.Background())
}

// UsesRelay reports whether requests take the way round just now.
func (c *Client) UsesRelay() bool {
	c.way.mu.Lock()
	defer c.way.mu.Unlock()
	return c.way.lost
}

// straight returns a context for a request that goes straight to the service: it
// ends when that link is found lost. ok is false while it is.
func (c *Client) straight(ctx context.Context) (_ context.Context, done func(), ok bool) {
	w := &c.way
	if w.relay == nil {
		return ctx, func() {}, true
	}
	w.mu.Lock()
	lost, until := w.lost, w.ctx
	w.mu.Unlock()
	if lost {
		return ctx, func() {}, false
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(until, cancel)
	return ctx, func() { stop(); cancel() }, true
}

// worthwhile reports whether there is a way round that was not in vain just now: in
// an outage the peers are refused too, and must not be kept busy.
func (c *Client) worthwhile() bool {
	w := &c.way
	if w.relay == nil || !w.relay.Ready() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.vain) >= tryEvery
}

// lose takes the way round from now on, if there is one.
func (c *Client) lose(why string) bool {
	w := &c.way
	if !c.worthwhile() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost {
		return true
	}
	w.need = min(mostTries, 2*max(1, w.need))
	if time.Since(w.since) > flapping {
		w.need = tries
	}
	w.lost, w.since = true, time.Now()
	w.end()
	w.log.Info("the state service is not reached from here: a peer passes requests on", "why", why)
	return true
}

// found goes straight again.
func (c *Client) found(why string) {
	w := &c.way
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lost {
		return
	}
	w.lost, w.since = false, time.Now()
	w.ctx, w.end = context.WithCancel(context.Background())
	w.log.Info("requests go straight to the state service again", "why", why)
}

// watchStall finds out that a request gets no answer, nor any other: then the link
// is lost. The caller stops it when the request is over.
func (c *Client) watchStall() *time.Timer {
	asked := time.Now()
	var t *time.Timer
	var set sync.Mutex // t is set before it is read
	set.Lock()
	defer set.Unlock()
	t = time.AfterFunc(stalled, func() {
		set.Lock()
		defer set.Unlock()
		quiet := min(time.Since(asked), c.SinceLastSuccess())
		if quiet < stalled || !c.lose("no answer") {
			// Without a way round, one may appear.
			t.Reset(stalled - min(quiet, stalled/2))
		}
	})
	return t
}

// Run tries a lost link until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	tick := time.NewTicker(tryEvery)
	defer tick.Stop()
	good := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if !c.UsesRelay() {
			good = 0
			continue
		}
		tctx, cancel := context.WithTimeout(ctx, tryEvery)
		status, _, err := c.exchange(tctx, RelayedRequest{Method: http.MethodGet, Path: tryPath})
		cancel()
		if err != nil || status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
			good = 0
			continue
		}
		c.way.mu.Lock()
		need := c.way.need
		c.way.mu.Unlock()
		if good++; good >= need {
			good = 0
			c.found("it answers")
		}
	}
}

// ServeRelayed makes a request for a peer, within this controller's budget: leases first,
// and never by another way round.
func (c *Client) ServeRelayed(ctx context.Context, req RelayedRequest) (*RelayedResponse, error) {
	if strings.HasPrefix(req.Path, "/grants") {
		req.Priority = Urgent
	}
	if err := c.budget.wait(ctx, req.Priority); err != nil {
		return &RelayedResponse{Status: http.StatusServiceUnavailable}, nil
	}
	if req.Writes > 0 {
		if err := c.budget.waitWrites(ctx, req.Priority, req.Writes); err != nil {
			return &RelayedResponse{Status: http.StatusServiceUnavailable}, nil
		}
	}
	status, body, err := c.exchange(ctx, req)
	if err != nil {
		return nil, err
	}
	if len(body) > maxPassed {
		// Only a watch's answer has no bound: one that is too far behind lists anew.
		return &RelayedResponse{Status: http.StatusGone}, nil
	}
	return &RelayedResponse{Status: status, Body: body}, nil
}

// exchange makes one request straight.
func (c *Client) exchange(ctx context.Context, r RelayedRequest) (int, []byte, error) {
	var rd io.Reader
	if r.Body != nil {
		rd = strings.NewReader(string(r.Body))
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, rd)
	if err != nil {
		return 0, nil, fmt.Errorf("request %s: %w", r.Path, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 32<<20))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if resp.StatusCode == http.StatusTooManyRequests {
		c.budget.refused()
	}
	if s := resp.StatusCode; s != http.StatusServiceUnavailable && s != http.StatusTooManyRequests && s != http.StatusUnauthorized {
		c.lastOK.Store(int64(time.Since(c.start)))
	}
	return resp.StatusCode, data, nil
}

// send makes a request, straight or by the way round. A request that may have been
// made is never made again here, unless making it twice changes nothing.
func (c *Client) send(ctx context.Context, r RelayedRequest) (int, []byte, error) {
	dctx, done, ok := c.straight(ctx)
	if ok {
		var stall *time.Timer
		if c.way.relay != nil && !strings.HasPrefix(r.Path, "/follow") {
			stall = c.watchStall()
		}
		status, data, err := c.exchange(dctx, r)
		if stall != nil {
			stall.Stop()
		}
		done()
		switch {
		case err == nil && status == http.StatusServiceUnavailable || status == http.StatusUnauthorized:
			// Surely not made, and perhaps refused to this controller alone.
			if !c.worthwhile() {
				return status, data, nil
			}
			rs, rd, rerr := c.pass(ctx, r)
			if rerr == nil && rs != http.StatusServiceUnavailable {
				c.lose("refused")
			}
			return rs, rd, rerr // if that got no answer it may have been made
		case err == nil:
			return status, data, nil
		case ctx.Err() != nil:
			return status, data, err
		}
		if c.SinceLastSuccess() >= stalled {
			c.lose("no connection")
		}
		if !c.UsesRelay() || !repeatable(&r) {
			return status, data, err
		}
	}
	return c.pass(ctx, r)
}

// repeatable reports whether to make a request twice is like making it once.
func repeatable(r *RelayedRequest) bool {
	return r.Method == http.MethodGet || strings.HasSuffix(r.Path, "/touch")
}

// pass takes the way round.
func (c *Client) pass(ctx context.Context, r RelayedRequest) (int, []byte, error) {
	ans, err := c.way.relay.Forward(ctx, r)
	if err != nil {
		if !c.way.relay.Ready() {
			c.found("no peer passes requests on")
		}
		if errors.Is(err, ErrUnavailable) {
			return 0, nil, err
		}
		return 0, nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if ans.Status == http.StatusServiceUnavailable {
		c.way.mu.Lock()
		c.way.vain = time.Now()
		c.way.mu.Unlock()
		c.found("the peer is refused too")
	}
	return ans.Status, ans.Body, nil
}
