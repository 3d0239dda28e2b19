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

// limited is a state service that refuses what is above its limits, as the protocol
// has it.
type limited struct {
	reqs, writes *rate.Limiter
	refused      atomic.Int64
}

func (l *limited) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(3 * time.Millisecond)
	if !l.reqs.Allow() || r.URL.Path == "/txn" && !l.writes.Allow() {
		l.refused.Add(1)
		return answer(http.StatusTooManyRequests, `{}`), nil
	}
	return answer(http.StatusOK, `{"path":"`+strings.TrimPrefix(r.URL.Path, "/store/")+`","stamp":1,"ledger":1,"permit":1}`), nil
}

// In incident d184 of kitaboard-ops the owner ended while 800 users polled for tiny
// jobs. Every poll went to the state service, which refused 103,000 requests in ten
// minutes, touches and joinings among them: nobody could own the jobs again, and all
// were forgotten. However many polls there are, leases hold, what joins gets through,
// and submissions are taken.
func TestLeasesOutliveAStormOfPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
		defer cancel()
		const rps, writes = 80, 30
		service := &limited{reqs: rate.NewLimiter(rps, rps), writes: rate.NewLimiter(writes, writes)}
		var wg sync.WaitGroup
		var looked, accepted, refused atomic.Int64
		var lostFor atomic.Int64 // longest time between good touches
		for range 5 {
			c := New("x", rps, writes, 24)
			c.http.Transport = service
			for range 60 { // users, each with a request at a time
				wg.Add(1)
				go func() {
					defer wg.Done()
					for ctx.Err() == nil {
						pctx, cancel := context.WithTimeout(WithPriority(ctx, Lookup), 1500*time.Millisecond)
						if _, err := c.Get(pctx, "live/j"); err == nil {
							looked.Add(1)
						}
						cancel()
						time.Sleep(100 * time.Millisecond)
					}
				}()
			}
			wg.Add(2)
			go func() {
				defer wg.Done()
				good := time.Now()
				for ctx.Err() == nil {
					if err := c.RenewLease(ctx, 1); err == nil {
						good = time.Now()
						time.Sleep(time.Second)
					} else {
						time.Sleep(250 * time.Millisecond)
					}
					if gap := int64(time.Since(good)); gap > lostFor.Load() {
						lostFor.Store(gap)
					}
				}
			}()
			go func() { // four submissions a second
				defer wg.Done()
				for ctx.Err() == nil {
					sctx, cancel := context.WithTimeout(ctx, time.Second)
					if _, err := c.Txn(sctx, nil, wire.Op{Put: "live/j", Value: 1}); err == nil {
						accepted.Add(1)
					} else {
						refused.Add(1)
					}
					cancel()
					time.Sleep(250 * time.Millisecond)
				}
			}()
		}
		wg.Wait()
		if d := time.Duration(lostFor.Load()); d > 3*time.Second {
			t.Errorf("%v without a good touch", d)
		}
		if a, r := accepted.Load(), refused.Load(); r > a/10 {
			t.Errorf("%d submissions taken, %d not", a, r)
		}
		if n := looked.Load(); n < 90*rps/10 {
			t.Errorf("only %d polls answered", n)
		}
	})
}

// A service that refuses for a while must not leave a controller slow for ever, and
// what was refused is told apart from what may have been executed.
func TestBudgetRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(80, 30, 24)
		for range 200 {
			b.refused()
			time.Sleep(cutEvery)
		}
		for i, p := range b.parts {
			if p > leastPart*1.3 || p <= 0 {
				t.Errorf("lane %d keeps %v", i, p)
			}
		}
		for range 400 {
			time.Sleep(cutEvery)
			b.recover()
		}
		if b.parts != [3]float64{1, 1, 1} || b.look.Limit() != 80*lookShare {
			t.Errorf("after the storm: %v", b.parts)
		}
	})
	c := New("x", 80, 30, 24)
	c.http.Transport = &limited{reqs: rate.NewLimiter(0, 0), writes: rate.NewLimiter(0, 0)}
	if _, err := c.Get(t.Context(), "k"); !errors.Is(err, ErrBusy) || !errors.Is(err, ErrUnavailable) || !strings.Contains(err.Error(), "too many") {
		t.Errorf("refused as one too many: %v", err)
	}
}
