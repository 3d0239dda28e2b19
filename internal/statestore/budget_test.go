package statestore

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"github.com/wallrack/wallrack/internal/wire"
)

// rateLimitedService is a state service that refuses requests above its limits, as the
// protocol specifies.
type rateLimitedService struct {
	reqs, writes *rate.Limiter
	refused      atomic.Int64
}

func (l *rateLimitedService) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(3 * time.Millisecond)
	if !l.reqs.Allow() || r.URL.Path == "/txn" && !l.writes.Allow() {
		l.refused.Add(1)
		return newResponse(http.StatusTooManyRequests, `{}`), nil
	}
	return newResponse(http.StatusOK, `{"path":"`+strings.TrimPrefix(r.URL.Path, "/store/")+`","stamp":1,"ledger":1,"permit":1}`), nil
}

// Without a leader every poll of every user goes to the state service. In incident d184, 800
// users polled for tiny jobs when the leader ended: the service refused 103,000 requests in
// ten minutes, among them lease renewals and joins, so that no controller could lead the
// shards again and all jobs were lost. However many polls there are, leases must hold,
// controllers must be able to join, and submissions must be accepted.
func TestLeasesHoldDuringPollStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
		defer cancel()
		const rps, writes = 80, 30
		service := &rateLimitedService{reqs: rate.NewLimiter(rps, rps), writes: rate.NewLimiter(writes, writes)}
		var load pollStorm
		for range 5 {
			c := New("x", rps, writes, 24)
			c.http.Transport = service
			for range 60 { // users, each with one request in flight
				load.wg.Go(func() { load.poll(ctx, c) })
			}
			load.wg.Go(func() { load.renew(ctx, c) })
			load.wg.Go(func() { load.submit(ctx, c) })
		}
		load.wg.Wait()
		if d := time.Duration(load.longestGap.Load()); d > 3*time.Second {
			t.Errorf("%v without a successful renewal", d)
		}
		if a, r := load.accepted.Load(), load.refused.Load(); r > a/10 {
			t.Errorf("%d submissions accepted, %d not", a, r)
		}
		if n := load.lookedUp.Load(); n < 90*rps/10 {
			t.Errorf("only %d polls had a response", n)
		}
	})
}

// pollStorm makes controllers' requests to a state service, each kind until ctx ends, and
// counts the results.
type pollStorm struct {
	wg                          sync.WaitGroup
	lookedUp, accepted, refused atomic.Int64
	longestGap                  atomic.Int64 // ns between successful renewals
}

func (l *pollStorm) poll(ctx context.Context, c *Client) {
	for ctx.Err() == nil {
		pctx, cancel := context.WithTimeout(WithPriority(ctx, Lookup), 1500*time.Millisecond)
		if _, err := c.Get(pctx, "live/j"); err == nil {
			l.lookedUp.Add(1)
		}
		cancel()
		time.Sleep(100 * time.Millisecond)
	}
}

func (l *pollStorm) renew(ctx context.Context, c *Client) {
	lastRenewal := time.Now()
	for ctx.Err() == nil {
		if err := c.RenewLease(ctx, 1); err == nil {
			lastRenewal = time.Now()
			time.Sleep(time.Second)
		} else {
			time.Sleep(250 * time.Millisecond)
		}
		if gap := int64(time.Since(lastRenewal)); gap > l.longestGap.Load() {
			l.longestGap.Store(gap)
		}
	}
}

// submit makes four submissions a second.
func (l *pollStorm) submit(ctx context.Context, c *Client) {
	for ctx.Err() == nil {
		sctx, cancel := context.WithTimeout(ctx, time.Second)
		if _, err := c.Txn(sctx, nil, wire.Op{Put: "live/j", Value: 1}); err == nil {
			l.accepted.Add(1)
		} else {
			l.refused.Add(1)
		}
		cancel()
		time.Sleep(250 * time.Millisecond)
	}
}

// After a service has refused requests for a while, a controller regains its full rates.
// Refused requests are distinguished from those that may have been executed.
func TestBudgetRegainsAfterRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(80, 30, 24)
		for range 200 {
			b.cutRate()
			time.Sleep(rateCutInterval)
		}
		for class, part := range b.fractions {
			if part > minRateFraction*1.3 || part <= 0 {
				t.Errorf("class %d is cut to %v", class, part)
			}
		}
		for range 400 {
			time.Sleep(rateCutInterval)
			b.recoverRate()
		}
		if b.fractions != [requestClassCount]float64{1, 1, 1} || b.lookups.Limit() != 80*lookupShare {
			t.Errorf("after the refusals: %v", b.fractions)
		}
	})
	c := New("x", 80, 30, 24)
	c.http.Transport = &rateLimitedService{reqs: rate.NewLimiter(0, 0), writes: rate.NewLimiter(0, 0)}
	if _, err := c.Get(t.Context(), "k"); !errors.Is(err, ErrBusy) || !errors.Is(err, ErrUnavailable) || !strings.Contains(err.Error(), "too many") {
		t.Errorf("refused for exceeding a limit: %v", err)
	}
}
