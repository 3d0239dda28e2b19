package statestore

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"github.com/wallrack/wallrack/internal/wire"
)

// The limits of the smallest site with five controllers.
const (
	smallSiteRPS      = 80
	smallSiteWriteRPS = 100
	smallSiteTxnOps   = 48
)

func TestLeaderWritesAreNotStarvedByReadsOfOtherControllers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			readers      = 5 // one of them is the leader's own watches
			readsPerS    = 40
			stormLasts   = 30 * time.Second
			writesFor    = 30 * time.Second
			writeTimeout = 2 * time.Second
			minWritten   = 315 // a quarter of the full rate for bulk writes
		)
		service := &rateLimitedService{
			reqs: rate.NewLimiter(smallSiteRPS, smallSiteRPS), writes: rate.NewLimiter(smallSiteWriteRPS, smallSiteWriteRPS),
		}
		ctx, cancel := context.WithTimeout(t.Context(), writesFor)
		defer cancel()
		storm, endStorm := context.WithTimeout(ctx, stormLasts)
		defer endStorm()
		var running sync.WaitGroup
		leader := New("x", smallSiteRPS, smallSiteWriteRPS, smallSiteTxnOps)
		leader.SetLeads(func() bool { return true })
		clients := []*Client{leader}
		for len(clients) < readers {
			clients = append(clients, New("x", smallSiteRPS, smallSiteWriteRPS, smallSiteTxnOps))
		}
		for _, client := range clients {
			client.http.Transport = service
			running.Go(func() {
				for storm.Err() == nil {
					_, _ = client.Get(WithPriority(storm, Urgent), "live/j") // most are refused
					time.Sleep(time.Second / readsPerS)
				}
			})
		}
		written := 0
		changes := make([]wire.Op, smallSiteTxnOps/2)
		for i := range changes {
			changes[i] = wire.Op{Put: "log/1", Value: 1}
		}
		for ctx.Err() == nil {
			writeCtx, cancelWrite := context.WithTimeout(ctx, writeTimeout)
			if _, err := leader.BulkTxn(writeCtx, nil, changes...); err == nil {
				written += len(changes)
			} else {
				time.Sleep(100 * time.Millisecond)
			}
			cancelWrite()
		}
		running.Wait()
		t.Logf("%d changes written in %v", written, writesFor)
		if written < minWritten {
			t.Errorf("%d changes written in %v", written, writesFor)
		}
	})
}

// refusingOnce is a service with two pages of keys that refuses each page once.
type refusingOnce struct{ first, second atomic.Int64 }

func (r *refusingOnce) RoundTrip(request *http.Request) (*http.Response, error) {
	requests, page := &r.first, `{"rows":[{"path":"live/1","data":1,"stamp":1}],"truncated":true,"ledger":5}`
	if request.URL.Query().Get("after") != "" {
		requests, page = &r.second, `{"rows":[{"path":"live/2","data":1,"stamp":2}],"ledger":5}`
	}
	if requests.Add(1) == 1 {
		return newResponse(http.StatusTooManyRequests, `{}`), nil
	}
	return newResponse(http.StatusOK, page), nil
}

func TestListingDoesNotBeginAnewWhenAPageIsRefused(t *testing.T) {
	service := &refusingOnce{}
	client := New("x", smallSiteRPS, smallSiteWriteRPS, smallSiteTxnOps)
	client.http.Transport = service
	items, _, err := client.List(WithPriority(t.Context(), Urgent), "live/")
	if err != nil || len(items) != 2 {
		t.Fatalf("%d items, %v", len(items), err)
	}
	if first, second := service.first.Load(), service.second.Load(); first != 2 || second != 2 {
		t.Errorf("the first page was requested %d times, the second %d times", first, second)
	}
}
