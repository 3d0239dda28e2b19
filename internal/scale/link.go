package scale

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// link is a worker's connection to all others. While it is cut, messages are held: what
// was on its way in is delivered afterwards, however late. The zero value is whole.
type link struct {
	mu  sync.Mutex
	cut chan struct{} // closed when the cut ends; nil: none
}

// setCut cuts the link or mends it.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut == (l.cut != nil) {
		return
	}
	if cut {
		l.cut = make(chan struct{})
		return
	}
	close(l.cut)
	l.cut = nil
}

// restored is closed while the link is whole.
func (l *link) restored() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut == nil {
		return closedChannel
	}
	return l.cut
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// reportTransport carries a worker's reports over its link and counts their bytes.
type reportTransport struct {
	link  *link
	base  *http.Transport
	bytes map[string]*atomic.Int64 // of requests and responses, by the controller's address
}

// RoundTrip implements http.RoundTripper.
func (t *reportTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	select {
	case <-t.link.restored():
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
	resp, err := t.base.RoundTrip(req)
	if err == nil {
		t.bytes[req.URL.Host].Add(req.ContentLength + max(0, resp.ContentLength))
	}
	return resp, err
}

// CloseIdleConnections lets the worker leave a controller.
func (t *reportTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// linkListener accepts a worker's connections. One that comes while the link is cut never
// delivers anything: a connection attempt that was given up does not complete later.
type linkListener struct {
	net.Listener
	link *link
}

// Accept implements net.Listener.
func (l *linkListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		mended := l.link.restored()
		select {
		case <-mended:
			return conn, nil
		default:
			go func() {
				<-mended
				_ = conn.Close() // nothing was sent
			}()
		}
	}
}
