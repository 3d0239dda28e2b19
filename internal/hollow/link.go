package hollow

import (
	"net"
	"net/http"
	"sync"
)

// link is the network link of a worker. While it is cut, reports and incoming requests are held; they
// are delivered when it is connected again. The zero value is connected.
type link struct {
	mu  sync.Mutex
	cut chan struct{} // closed when the link is connected again; nil: not cut
}

// setCut cuts the link or connects it again.
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

// connected returns a channel that is closed if the link is connected, or else when it is
// connected again.
func (l *link) connected() <-chan struct{} {
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

// linkTransport sends a worker's reports over its link.
type linkTransport struct {
	link *link
	base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *linkTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	select {
	case <-t.link.connected():
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
	return t.base.RoundTrip(req)
}

// CloseIdleConnections is called by http.Client when the worker changes to another controller.
func (t *linkTransport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// linkListener accepts connections to a worker. A connection that arrives while the link is cut
// never delivers anything, like a connection attempt that has timed out.
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
		connected := l.link.connected()
		select {
		case <-connected:
			return conn, nil
		default:
			go func() {
				<-connected
				_ = conn.Close() // nothing was read from it
			}()
		}
	}
}
