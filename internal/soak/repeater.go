package soak

import (
	"bytes"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	minRepeatDelay  = 5 * time.Millisecond // after which the copy of a call arrives
	maxRepeatDelay  = 2 * workerLease
	maxRecentCalls  = 400 // of which copies arrive right after a restart
	repeatTimeout   = 5 * time.Second
	maxRepeatBytes  = 1 << 20
	copyHeader      = "Soak-Copy" // marks copies, which are not copied again
	copyHeaderValue = "1"
)

// repeater delivers copies of calls that were carried out and answered. It is safe for concurrent use. A
// nil repeater has delivered none, and may be closed.
type repeater struct {
	closing chan struct{} // closed by close

	mu      sync.Mutex
	share   float64 // of the calls; 0: none
	recent  []func()
	copies  int
	closed  bool
	running sync.WaitGroup
}

func newRepeater() *repeater { return &repeater{closing: make(chan struct{})} }

func (r *repeater) setShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share = share
}

// answered takes note of a call that was answered, and perhaps delivers a copy of it later. deliver
// delivers a copy.
func (r *repeater) answered(deliver func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rand.Float64() >= r.share {
		return
	}
	if r.recent = append(r.recent, deliver); len(r.recent) > maxRecentCalls {
		r.recent = r.recent[1:]
	}
	r.deliverLocked(deliver, drawRepeatDelay())
}

// drawRepeatDelay draws a delay whose logarithm is uniformly distributed.
func drawRepeatDelay() time.Duration {
	return time.Duration(float64(minRepeatDelay) * math.Pow(float64(maxRepeatDelay/minRepeatDelay), rand.Float64()))
}

func (r *repeater) deliverLocked(deliver func(), after time.Duration) {
	if r.closed {
		return
	}
	r.copies++
	r.running.Go(func() {
		select {
		case <-r.closing:
		case <-time.After(after):
			deliver()
		}
	})
}

// repeatRecent delivers copies of the latest calls at once.
func (r *repeater) repeatRecent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, deliver := range r.recent {
		r.deliverLocked(deliver, 0)
	}
}

// count returns the number of copies so far.
func (r *repeater) count() int {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.copies
}

// close drops the copies that are still to come, and waits for those that are being delivered.
func (r *repeater) close() {
	if r == nil {
		return
	}
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.closing)
	}
	r.mu.Unlock()
	r.running.Wait()
}

// wrapHandler returns a handler that passes requests to next. Copies are sent to addr.
func (r *repeater) wrapHandler(addr string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Header.Get(copyHeader) != "" {
			next.ServeHTTP(w, request)
			return
		}
		body, err := io.ReadAll(io.LimitReader(request.Body, maxRepeatBytes))
		if err != nil {
			panic(http.ErrAbortHandler) // the caller has gone
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, request)
		url := "http://" + addr + request.URL.RequestURI()
		r.answered(func() { sendCopy(request.Method, url, body) }) //nolint:contextcheck // the copy outlives the request
	})
}

// wrapTransport returns a transport that sends requests with base.
func (r *repeater) wrapTransport(base http.RoundTripper) http.RoundTripper {
	return &repeatingTransport{base, r}
}

// repeatingTransport sends requests, some of them again.
type repeatingTransport struct {
	base     http.RoundTripper
	repeater *repeater
}

// RoundTrip implements http.RoundTripper.
func (t *repeatingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var body []byte
	if request.GetBody != nil {
		if reader, err := request.GetBody(); err == nil {
			body, _ = io.ReadAll(reader) // reads from memory
		}
	}
	response, err := t.base.RoundTrip(request)
	if err == nil {
		method, url := request.Method, request.URL.String()
		t.repeater.answered(func() { sendCopy(method, url, body) })
	}
	return response, err
}

// CloseIdleConnections closes the connections of base that are not in use.
func (t *repeatingTransport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// sendCopy sends a copy of a request. Its answer reaches nobody.
func sendCopy(method, url string, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), repeatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set(copyHeader, copyHeaderValue)
	request.Close = true
	if response, err := http.DefaultClient.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}
