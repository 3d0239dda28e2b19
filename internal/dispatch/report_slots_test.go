package dispatch_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
)

const (
	siteWorkers    = 2000             // that report to one controller of a site of 4,000 machines
	workerPatience = 4 * time.Second  // a worker's wait for a response, by the operators' protocol
	reportMemoryKB = 25               // of a report being handled: decoded, with grown stacks
	memoryMargin   = 2 * 1024         // KB that reports may take of the smallest controller's memory
	highToken      = 1_000_000_000    // higher than any that the state service gives out in time
	tokenDelay     = 10 * time.Second // of the state service
)

// busyStub is a stub whose scheduler is busy, and whose state service raises tokens late.
type busyStub struct {
	*stub
	release chan struct{} // closed when the scheduler is free

	mu            sync.Mutex
	waiting, peak int // reports that wait for the scheduler, and the most that did
}

func (s *busyStub) ObserveWorker(dispatch.WorkerView) {
	s.mu.Lock()
	s.waiting++
	s.peak = max(s.peak, s.waiting)
	s.mu.Unlock()
	<-s.release
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
}

func (s *busyStub) RaiseTokenAbove(ctx context.Context, _ uint64) (uint64, error) {
	select {
	case <-ctx.Done():
	case <-time.After(tokenDelay):
	}
	return 0, context.DeadlineExceeded
}

// serveReports sends one report of each worker at once, and returns the number of responses by status.
func serveReports(d *dispatch.Dispatcher, workers int, token uint64) map[int]int {
	var mu sync.Mutex
	var reports sync.WaitGroup
	statuses := map[int]int{}
	for i := range workers {
		reports.Go(func() {
			body := fmt.Sprintf(`{"bench":"n-%06d","endpoint":"e","build":"m","yard":"z","loaners":true,"stint":1,"tally":1,"baton":%d,"warningS":null,"pieces":[]}`, i, token)
			response := httptest.NewRecorder()
			d.ServeReport(response, httptest.NewRequest(http.MethodPost, "/v1/report", strings.NewReader(body)))
			mu.Lock()
			defer mu.Unlock()
			statuses[response.Code]++
		})
	}
	reports.Wait()
	return statuses
}

func newBusyDispatcher(ctx context.Context, s *busyStub) *dispatch.Dispatcher {
	return dispatch.New(ctx, dispatch.Options{
		Node: "a", WorkerLease: 10 * time.Second, Schedulers: s, Tokens: s, MachineTypes: s, Routing: s, Commands: s, Log: slog.New(slog.DiscardHandler),
	})
}

func TestReportsOfAllWorkersDoNotFillTheMemoryOfABusyLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &busyStub{stub: &stub{token: 5}, release: make(chan struct{})}
		time.AfterFunc(workerPatience, func() { close(s.release) })
		start := time.Now()
		statuses := serveReports(newBusyDispatcher(ctx, s), siteWorkers, 5)
		if held := s.peak * reportMemoryKB; held > memoryMargin {
			t.Errorf("%d reports are held at once, %d KB", s.peak, held)
		}
		if took := time.Since(start); took > workerPatience || statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable] != siteWorkers {
			t.Errorf("responses %v after %v", statuses, took)
		}
	})
}

func TestReportsThatWaitForATokenDoNotKeepOutOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &busyStub{stub: &stub{token: 5}, release: make(chan struct{})}
		close(s.release)
		d := newBusyDispatcher(ctx, s)
		var higher sync.WaitGroup
		higher.Go(func() { serveReports(d, siteWorkers, highToken) })
		time.Sleep(time.Millisecond)
		start := time.Now()
		statuses := serveReports(d, siteWorkers, 5)
		if took := time.Since(start); took > time.Second || statuses[http.StatusOK] != siteWorkers {
			t.Errorf("responses %v after %v", statuses, took)
		}
		higher.Wait()
	})
}
