package statestore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	listTimeout  = 5 * time.Second // for the listing of a watch
	followMargin = 5 * time.Second // timeout of a request beyond the time for which the service holds it
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second

	recentRevisions = 9500 // the service keeps 10,000 changes, and others write meanwhile
)

// Follow returns the changes under the prefix after a revision. If there are none, the service
// waits at most hold for one. ErrCompacted means that the service no longer has all of
// them.
func (c *Client) Follow(ctx context.Context, prefix string, after uint64, hold time.Duration) (wire.Events, error) {
	var response wire.Events
	if err := c.budget.wait(ctx, priorityOf(ctx)); err != nil {
		return wire.Events{}, err
	}
	query := url.Values{"starts": {prefix}, "after": {strconv.FormatUint(after, 10)}, "holdMs": {strconv.FormatInt(hold.Milliseconds(), 10)}}
	status, err := c.do(ctx, call{method: http.MethodGet, path: "/follow?" + query.Encode(), out: &response})
	switch {
	case err != nil:
		return wire.Events{}, err
	case status == http.StatusGone:
		return wire.Events{}, ErrCompacted
	case status != http.StatusOK:
		return wire.Events{}, &StatusError{Status: status, Err: ErrUnavailable}
	case response.Revision < after:
		return wire.Events{}, fmt.Errorf("%w: follow %q from %d: response as of %d", ErrUnknown, prefix, after, response.Revision)
	}
	updates := response.Events[:0]
	for _, event := range response.Events {
		key := event.Put + event.Delete
		if !strings.HasPrefix(key, prefix) || event.Put != "" && event.Delete != "" || key == "" || event.Version > response.Revision {
			return wire.Events{}, fmt.Errorf("%w: follow %q from %d to %d: response with %q as of %d",
				ErrUnknown, prefix, after, response.Revision, key, event.Version)
		}
		if event.Version > after { // otherwise it is repeated from an earlier response
			updates = append(updates, event)
		}
	}
	response.Events = updates
	return response, nil
}

// Backoff sleeps for the n-th step of an exponential delay, or until ctx ends. The delay doubles
// from first to at most longest; the sleep is a random 0.5 to 1.5 times the delay.
func Backoff(ctx context.Context, n int, first, longest time.Duration) {
	delay := min(longest, first<<min(n, 10))
	periodic.Sleep(ctx, delay/2+rand.N(delay))
}

// Watch lists the prefix, calls reset with the result, and then change with every later
// change, until ctx ends. It lists again if it has fallen too far behind. See WithPacing for
// how often it sends requests.
func (c *Client) Watch(ctx context.Context, prefix string, hold time.Duration, reset func([]wire.Item), change func([]wire.Event)) {
	w := &watch{client: c, prefix: prefix, hold: hold, change: change, pacer: NewPacer(ctx)}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		items, revision, err := w.list(ctx)
		if err != nil {
			Backoff(ctx, attempt, firstBackoff, maxBackoff)
			continue
		}
		attempt = 0
		reset(items)
		w.follow(ctx, revision)
	}
}

// WatchRecent calls change with the changes under the prefix that the service still keeps, and then
// with every later one, until ctx ends. Unlike Watch it lists no keys, so its cost does not grow with
// their number. If it falls too far behind, it misses changes and starts over. A change may be reported
// more than once.
func (c *Client) WatchRecent(ctx context.Context, prefix string, hold time.Duration, change func([]wire.Event)) {
	w := &watch{client: c, prefix: prefix, hold: hold, change: change, pacer: NewPacer(ctx)}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		revision, err := w.reportRecent(ctx)
		if err != nil {
			Backoff(ctx, attempt, firstBackoff, maxBackoff)
			continue
		}
		attempt = 0
		w.follow(ctx, revision)
	}
}

type watch struct {
	client *Client
	prefix string
	hold   time.Duration
	change func([]wire.Event)
	pacer  *Pacer
}

func (w *watch) list(ctx context.Context) ([]wire.Item, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return w.client.List(ctx, w.prefix)
}

// reportRecent reports the changes that the service still keeps, and returns the revision up to which
// it has done so. A transaction with several changes has one revision, so the service may keep fewer
// revisions than changes.
func (w *watch) reportRecent(ctx context.Context) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	page, err := w.client.page(ctx, w.prefix, "", 1)
	if err != nil {
		return 0, err
	}
	for revisions := uint64(recentRevisions); ; revisions /= 2 {
		response, err := w.client.Follow(ctx, w.prefix, page.Revision-min(revisions, page.Revision), 0)
		if errors.Is(err, ErrCompacted) && revisions > 0 {
			continue
		}
		if err == nil && len(response.Events) > 0 {
			w.change(response.Events)
		}
		return response.Revision, err
	}
}

// follow reports changes after a revision until the watch has fallen too far behind or ctx
// ends.
func (w *watch) follow(ctx context.Context, revision uint64) {
	for failures := 0; ctx.Err() == nil; {
		response, err := w.followOnce(ctx, revision)
		if errors.Is(err, ErrCompacted) {
			return
		}
		if err != nil {
			failures++
			Backoff(ctx, failures, firstBackoff, maxBackoff)
			continue
		}
		failures = 0
		revision = max(revision, response.Revision)
		if len(response.Events) > 0 {
			w.change(response.Events)
		}
		w.pacer.Wait(ctx)
	}
}

func (w *watch) followOnce(ctx context.Context, revision uint64) (wire.Events, error) {
	ctx, cancel := context.WithTimeout(ctx, w.hold+followMargin)
	defer cancel()
	return w.client.Follow(ctx, w.prefix, revision, w.hold)
}
