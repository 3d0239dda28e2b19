// Package statestore is the client of the state service. It keeps within the
// service's budgets, leases first, and tells apart the three ways in which a
// request can end badly: refused, not executed, and unknown.
package statestore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/wire"
)

var (
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable means that the request was not executed.
	ErrUnavailable = errors.New("state service unavailable")
	// ErrBusy is ErrUnavailable because the budget is used up, here or at the
	// service: others that ask for the same would only make it worse.
	ErrBusy = fmt.Errorf("%w: too many requests", ErrUnavailable)
	// ErrUnknown means that the request may have been executed, or may be later.
	ErrUnknown = errors.New("no answer from the state service")
	// ErrNoLease means that a write named a lease that has ended.
	ErrNoLease = errors.New("no such lease")
	// ErrCompacted means that a watch fell too far behind.
	ErrCompacted = errors.New("watch too old")
)

// Conflict is the error of a transaction whose conditions failed.
type Conflict struct{ Keys []string }

func (c *Conflict) Error() string { return fmt.Sprintf("conditions failed: %v", c.Keys) }

// Has reports whether key is among those that failed.
func (c *Conflict) Has(key string) bool {
	for _, k := range c.Keys {
		if k == key {
			return true
		}
	}
	return false
}

// Client talks to the state service.
type Client struct {
	base   string
	http   *http.Client
	budget *budget
	lastOK atomic.Int64 // monotonic-ish nanoseconds of the last answer
	way    detour
	start  time.Time
	MaxOps int

	timeout answerTimeout
}

// share is the part of the service's limits that one controller may use: the
// owner needs most of it, and the others hardly any.
const share = 0.6

// bulkShare is the part of the writes' budget that bulk may use, so that
// acceptances, cancels and rentals never queue behind it.
const bulkShare = 0.7

// New returns a client within the given limits.
func New(addr string, rps, writeRPS float64, maxOps int) *Client {
	tr := &http.Transport{MaxIdleConnsPerHost: 12, MaxConnsPerHost: 24, IdleConnTimeout: time.Minute}
	return &Client{
		base: "http://" + addr, http: &http.Client{Transport: tr},
		budget: newBudget(rps, writeRPS, maxOps),
		start:  time.Now(), MaxOps: maxOps,
	}
}

// SinceLastSuccess returns how long ago the service last executed a request that went to it
// straight.
func (c *Client) SinceLastSuccess() time.Duration { return c.since(&c.lastOK) }

func (c *Client) since(last *atomic.Int64) time.Duration {
	at := last.Load()
	if at == 0 {
		return time.Hour
	}
	return time.Since(c.start) - time.Duration(at)
}

func (c *Client) do(ctx context.Context, method, path string, writes int, body, out any) (int, error) {
	req := RelayedRequest{Method: method, Path: path, Writes: writes, Priority: priorityOf(ctx)}
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("encode %s: %w", path, err)
		}
		req.Body = data
	}
	status, data, err := c.send(ctx, req)
	if err != nil {
		return 0, err
	}
	switch status {
	case http.StatusTooManyRequests:
		return status, ErrBusy
	case http.StatusServiceUnavailable, http.StatusUnauthorized:
		return status, ErrUnavailable
	}
	if out != nil && status == http.StatusOK && len(data) == 0 {
		return status, fmt.Errorf("%w: %s: an answer without a body", ErrUnknown, path)
	}
	if out != nil && len(data) > 0 && status != http.StatusGone {
		if err := json.Unmarshal(data, out); err != nil {
			return status, fmt.Errorf("%w: malformed answer: %w", ErrUnknown, err)
		}
	}
	if status == http.StatusBadRequest {
		var p wire.Problem
		_ = json.Unmarshal(data, &p) // the status alone decides when the body says nothing
		if p.Error == ErrNoLease.Error() {
			return status, ErrNoLease
		}
		return status, fmt.Errorf("state service refused %s: %.200s", path, data)
	}
	return status, nil
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (wire.Item, error) {
	var it wire.Item
	if err := c.budget.wait(ctx, priorityOf(ctx)); err != nil {
		return it, err
	}
	code, err := c.do(ctx, http.MethodGet, "/store/"+key, 0, nil, &it)
	switch {
	case err != nil:
		return it, err
	case code == http.StatusNotFound:
		return it, ErrNotFound
	case code != http.StatusOK:
		return it, fmt.Errorf("%w: status %d", ErrUnavailable, code)
	case it.Key != key || it.Version == 0:
		return wire.Item{}, fmt.Errorf("%w: asked for %s, answered of %q as of %d", ErrUnknown, key, it.Key, it.Version)
	}
	return it, nil
}

// checkPage finds out whether an answer is one to a request for the keys with a prefix
// beyond after. A page of another request, or one that leaves out what it says there is,
// would be taken for all that is stored: a new owner would forget jobs.
func checkPage(p *wire.Items, prefix, after string) error {
	for _, it := range p.Items {
		if !strings.HasPrefix(it.Key, prefix) || it.Key <= after || it.Version == 0 {
			return fmt.Errorf("%w: asked for keys with %q beyond %q, answered with %q as of %d", ErrUnknown, prefix, after, it.Key, it.Version)
		}
		after = it.Key
	}
	if p.More && len(p.Items) == 0 {
		return fmt.Errorf("%w: asked for keys with %q beyond %q: answered that there are more, with none", ErrUnknown, prefix, after)
	}
	return nil
}

// List reads every key with the prefix, and the oldest revision it may show.
func (c *Client) List(ctx context.Context, prefix string) ([]wire.Item, uint64, error) {
	var all []wire.Item
	var rev uint64
	after := ""
	for {
		page, err := c.page(ctx, prefix, after, 1000)
		if err != nil {
			return nil, 0, err
		}
		if rev == 0 {
			rev = page.Revision
		}
		all = append(all, page.Items...)
		if !page.More {
			return all, rev, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// Page reads at most so many keys with the prefix, in order, beyond after.
func (c *Client) Page(ctx context.Context, prefix, after string, limit int) ([]wire.Item, bool, error) {
	page, err := c.page(ctx, prefix, after, limit)
	return page.Items, page.More, err
}

func (c *Client) page(ctx context.Context, prefix, after string, limit int) (wire.Items, error) {
	if err := c.budget.wait(ctx, priorityOf(ctx)); err != nil {
		return wire.Items{}, err
	}
	q := url.Values{"starts": {prefix}, "limit": {strconv.Itoa(limit)}}
	if after != "" {
		q.Set("after", after)
	}
	var page wire.Items
	code, err := c.do(ctx, http.MethodGet, "/store?"+q.Encode(), 0, nil, &page)
	if err == nil && code != http.StatusOK {
		err = fmt.Errorf("%w: status %d", ErrUnavailable, code)
	}
	if err == nil {
		err = checkPage(&page, prefix, after)
	}
	if err != nil {
		return wire.Items{}, err
	}
	return page, nil
}

// heard notes whether and when a transaction had its answer.
func (c *Client) heard(err error, took time.Duration) {
	if errors.Is(err, ErrUnknown) {
		c.timeout.missed()
		return
	}
	c.timeout.answered(took)
}

// Txn applies a transaction and returns its revision.
func (c *Client) Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error) {
	if err := c.budget.wait(ctx, priorityOf(ctx)); err != nil {
		return 0, err
	}
	if err := c.budget.waitWrites(ctx, priorityOf(ctx), len(ops)); err != nil {
		return 0, err
	}
	var ans wire.TxnAnswer
	actx, cancel := context.WithTimeout(ctx, c.timeout.wait())
	defer cancel()
	sent := time.Now()
	code, err := c.do(actx, http.MethodPost, "/txn", len(ops), wire.Txn{If: guards, Then: ops}, &ans)
	if ctx.Err() == nil { // else the caller gave up sooner
		c.heard(err, time.Since(sent))
	}
	switch {
	case err != nil:
		return 0, err
	case code == http.StatusConflict:
		for _, key := range ans.Failed {
			if !slices.ContainsFunc(guards, func(g wire.Guard) bool { return g.Key == key }) {
				return 0, fmt.Errorf("%w: a conflict over %q, which was no condition", ErrUnknown, key)
			}
		}
		if len(ans.Failed) == 0 {
			return 0, fmt.Errorf("%w: a conflict over nothing", ErrUnknown)
		}
		return 0, &Conflict{Keys: ans.Failed}
	case code != http.StatusOK:
		return 0, fmt.Errorf("%w: status %d", ErrUnknown, code)
	case len(ops) > 0 && ans.Revision == 0:
		return 0, fmt.Errorf("%w: applied, as of no revision", ErrUnknown)
	}
	return ans.Revision, nil
}

// BulkTxn is Txn for writes that must not hold up others.
func (c *Client) BulkTxn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error) {
	if err := c.budget.bulk.WaitN(ctx, max(1, len(ops))); err != nil {
		return 0, ErrUnavailable
	}
	return c.Txn(ctx, guards, ops...)
}

// GrantLease opens a lease. Lease calls do not wait for the budget.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	c.budget.reqs.Allow()
	var ans wire.LeaseAnswer
	code, err := c.do(ctx, http.MethodPost, "/grants", 0, wire.LeaseRequest{TTLMs: ttl.Milliseconds()}, &ans)
	if err != nil {
		return 0, err
	}
	if code/100 != 2 || ans.Lease == 0 {
		return 0, fmt.Errorf("%w: status %d", ErrUnknown, code)
	}
	return ans.Lease, nil
}

// RenewLease renews a lease.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	c.budget.reqs.Allow()
	return c.lease(ctx, http.MethodPost, "/grants/"+strconv.FormatUint(lease, 10)+"/touch")
}

// RevokeLease ends a lease.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	c.budget.reqs.Allow()
	return c.lease(ctx, http.MethodDelete, "/grants/"+strconv.FormatUint(lease, 10))
}

func (c *Client) lease(ctx context.Context, method, path string) error {
	code, err := c.do(ctx, method, path, 0, nil, nil)
	switch {
	case err != nil:
		return err
	case code == http.StatusNotFound:
		return ErrNotFound
	case code/100 != 2:
		return fmt.Errorf("%w: status %d", ErrUnknown, code)
	}
	return nil
}

// Follow waits for changes under the prefix.
func (c *Client) Follow(ctx context.Context, prefix string, after uint64, hold time.Duration) (wire.Events, error) {
	var ev wire.Events
	if err := c.budget.wait(ctx, priorityOf(ctx)); err != nil {
		return wire.Events{}, err
	}
	q := url.Values{"starts": {prefix}, "after": {strconv.FormatUint(after, 10)}, "holdMs": {strconv.FormatInt(hold.Milliseconds(), 10)}}
	code, err := c.do(ctx, http.MethodGet, "/follow?"+q.Encode(), 0, nil, &ev)
	switch {
	case err != nil:
		return wire.Events{}, err
	case code == http.StatusGone:
		return wire.Events{}, ErrCompacted
	case code != http.StatusOK:
		return wire.Events{}, fmt.Errorf("%w: status %d", ErrUnavailable, code)
	case ev.Revision < after:
		return wire.Events{}, fmt.Errorf("%w: followed %q from %d, answered as of %d", ErrUnknown, prefix, after, ev.Revision)
	}
	news := ev.Events[:0]
	for _, e := range ev.Events {
		if key := e.Put + e.Delete; !strings.HasPrefix(key, prefix) || e.Put != "" && e.Delete != "" || key == "" || e.Version > ev.Revision {
			return wire.Events{}, fmt.Errorf("%w: followed %q from %d to %d, answered with %q as of %d", ErrUnknown, prefix, after, ev.Revision, key, e.Version)
		}
		if e.Version > after { // else a repeated answer, whose news is old
			news = append(news, e)
		}
	}
	ev.Events = news
	return ev, nil
}

// Backoff sleeps for about the n-th step of a jittered exponential delay.
func Backoff(ctx context.Context, n int, first, most time.Duration) {
	d := min(most, first<<min(n, 10))
	d = d/2 + rand.N(d)
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Watch lists the prefix, calls reset with the result, and then change with
// every later change, until ctx ends. It lists again whenever it fell behind. See Paced
// for how often it asks.
func (c *Client) Watch(ctx context.Context, prefix string, hold time.Duration, reset func([]wire.Item), change func([]wire.Event)) {
	pacer := NewPacer(ctx)
	for n := 0; ctx.Err() == nil; n++ {
		listCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		items, rev, err := c.List(listCtx, prefix)
		cancel()
		if err != nil {
			Backoff(ctx, n, 100*time.Millisecond, time.Second)
			continue
		}
		n = 0
		reset(items)
		for fails := 0; ctx.Err() == nil; {
			wctx, cancel := context.WithTimeout(ctx, hold+5*time.Second)
			ev, err := c.Follow(wctx, prefix, rev, hold)
			cancel()
			if errors.Is(err, ErrCompacted) {
				break
			}
			if err != nil {
				fails++
				Backoff(ctx, fails, 100*time.Millisecond, time.Second)
				continue
			}
			fails = 0
			rev = max(rev, ev.Revision)
			if len(ev.Events) > 0 {
				change(ev.Events)
			}
			pacer.Wait(ctx)
		}
	}
}
