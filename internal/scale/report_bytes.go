package scale

import (
	"net/http"
	"sync/atomic"
)

// countingTransport sends reports and counts their bytes.
type countingTransport struct {
	base  *http.Transport
	bytes map[string]*atomic.Int64 // of requests and responses, by controller address
}

// RoundTrip implements http.RoundTripper.
func (t *countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err == nil {
		t.bytes[req.URL.Host].Add(req.ContentLength + max(0, resp.ContentLength))
	}
	return resp, err
}

// CloseIdleConnections closes the connections of base that are not in use.
func (t *countingTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }
