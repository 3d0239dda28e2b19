package dispatch

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/sockets"
)

const (
	dialTimeout     = time.Second
	idleTimeout     = time.Minute // idle connections to workers are closed after this time
	connBufferBytes = 2 << 10     // per direction: commands and most reports are smaller, and there are many connections
)

// connection is the HTTP client of one worker, with at most one connection.
type connection struct {
	endpoint    string
	client      http.Client
	users       int // requests that use the connection or wait for it
	idleSince   time.Time
	idleElement *list.Element // in connectionPool.idle while there are no users
}

// connectionPool keeps connections to workers open between requests, as many as there are sockets
// to spare. A connection in use is never closed: if the connection breaks, the outcome of its
// commands is unknown.
//
// Each worker has its own transport: a shared transport has a fixed limit and can close only all
// of its idle connections at once.
type connectionPool struct {
	limits func() sockets.ConnectionLimits
	dialer net.Dialer

	mu         sync.Mutex
	byEndpoint map[string]*connection
	idle       list.List // of *connection without users, longest idle first
}

func newConnectionPool(limits func() sockets.ConnectionLimits) *connectionPool {
	return &connectionPool{
		limits: limits, dialer: net.Dialer{Timeout: dialTimeout}, byEndpoint: map[string]*connection{},
	}
}

// acquire returns the worker's connection, which the caller must release. The connection is opened
// by its first request. If there are SoftLimit connections or more, the longest idle one is closed
// for a new one.
func (p *connectionPool) acquire(endpoint string) *connection {
	p.mu.Lock()
	closing := p.removeIdleExpired(time.Now())
	c := p.byEndpoint[endpoint]
	if c == nil {
		if len(p.byEndpoint) >= p.limits().SoftLimit {
			closing = p.removeLongestIdle(closing)
		}
		c = p.open(endpoint)
	}
	if c.idleElement != nil {
		p.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
	c.users++
	p.mu.Unlock()
	closeAll(closing) // before the caller dials: the new connection may need their sockets
	return c
}

func (p *connectionPool) open(endpoint string) *connection {
	c := &connection{endpoint: endpoint}
	c.client.Transport = &http.Transport{
		MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
		ReadBufferSize: connBufferBytes, WriteBufferSize: connBufferBytes, DialContext: p.dialer.DialContext,
	}
	p.byEndpoint[endpoint] = c
	return c
}

func (p *connectionPool) release(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.users--
	if c.users == 0 {
		c.idleSince = time.Now()
		c.idleElement = p.idle.PushBack(c)
	}
}

// trim closes the longest idle connections until the number of connections is within HardLimit or
// all remaining ones are in use.
func (p *connectionPool) trim() {
	p.mu.Lock()
	var closing []*connection
	for keep := p.limits().HardLimit; len(p.byEndpoint) > keep && p.idle.Len() > 0; {
		closing = p.removeLongestIdle(closing)
	}
	p.mu.Unlock()
	closeAll(closing)
}

// removeIdleExpired removes the connections that their transport has closed because of
// idleTimeout. Otherwise they would count as open until the next commands to their worker.
func (p *connectionPool) removeIdleExpired(now time.Time) (removed []*connection) {
	for oldest := p.idle.Front(); oldest != nil; oldest = p.idle.Front() {
		if now.Sub(oldest.Value.(*connection).idleSince) < idleTimeout {
			break
		}
		removed = p.removeLongestIdle(removed)
	}
	return removed
}

// removeLongestIdle removes the connection that has been idle longest, if any, and appends it to
// removed.
func (p *connectionPool) removeLongestIdle(removed []*connection) []*connection {
	oldest := p.idle.Front()
	if oldest == nil {
		return removed
	}
	c := p.idle.Remove(oldest).(*connection)
	delete(p.byEndpoint, c.endpoint)
	return append(removed, c)
}

func (p *connectionPool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byEndpoint)
}

func closeAll(connections []*connection) {
	for _, c := range connections {
		c.client.CloseIdleConnections()
	}
}
