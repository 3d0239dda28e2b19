package soak

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/worker"
)

const (
	minReportLag  = time.Second // by which the copy of a report arrives late
	maxReportLag  = 2 * workerLease
	reportTimeout = 4 * time.Second
)

// lateReports sends copies of some reports again, late, to any controller. It is safe for
// concurrent use.
type lateReports struct {
	mu          sync.Mutex
	share       float64 // of the reports; 0: none
	controllers []worker.Controller
	sending     sync.WaitGroup
}

func (l *lateReports) setShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
}

// wrap returns a transport that sends reports with base, and sometimes copies them.
func (l *lateReports) wrap(base *http.Transport) http.RoundTripper {
	return &copyingTransport{base: base, late: l}
}

// sendLate sends a copy of a report's body later.
func (l *lateReports) sendLate(body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rand.Float64() >= l.share {
		return
	}
	to := l.controllers[rand.IntN(len(l.controllers))]
	l.sending.Go(func() {
		time.Sleep(minReportLag + rand.N(maxReportLag-minReportLag))
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Addr+"/v1/report", bytes.NewReader(body))
		if err != nil {
			return
		}
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close() // the answer to a copy reaches nobody
		}
	})
}

// close waits until the last copy was sent.
func (l *lateReports) close() { l.sending.Wait() }

// copyingTransport sends the reports of one worker.
type copyingTransport struct {
	base *http.Transport
	late *lateReports
}

// RoundTrip implements http.RoundTripper.
func (t *copyingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if body, err := req.GetBody(); err == nil {
		data, err := io.ReadAll(body)
		if err == nil {
			t.late.sendLate(data)
		}
	}
	return t.base.RoundTrip(req)
}

// CloseIdleConnections closes the connections of base that are not in use.
func (t *copyingTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }
