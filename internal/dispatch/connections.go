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
	dialTimeout = time.Second
	idleTimeout = time.Minute // after which an idle connection to a worker is closed
	bufferBytes = 2 << 10     // of each direction: commands and most reports are smaller, and connections are many
)

// connection is the HTTP client for one worker, with at most one connection.
type connection struct {
	endpoint    string
	client      http.Client
	users       int // requests that use it or wait for it
	idleSince   time.Time
	idleElement *list.Element // in connectionPool.idle while it has no users
}

// connectionPool keeps connections to workers open between requests, as many as there are
// sockets to spare. A connection that is in use is never closed: commands whose connection
// breaks have an unknown outcome.
//
// Each worker has a transport of its own, because a transport that all share has a fixed
// bound and closes either none or all of its idle connections.
type connectionPool struct {
	limits func() sockets.ConnectionLimits
	dialer net.Dialer

	mu         sync.Mutex
	byEndpoint map[string]*connection
	idle       list.List // of *connection without users, the longest idle first
}

func newConnectionPool(limits func() sockets.ConnectionLimits) *connectionPool {
	return &connectionPool{
		limits: limits, dialer: net.Dialer{Timeout: dialTimeout}, byEndpoint: map[string]*connection{},
	}
}

// acquire returns the worker's connection, which the caller releases after use. It is
// dialled by the first request.
func (p *connectionPool) acquire(endpoint string) *connection {
	p.mu.Lock()
	closing := p.removeStale(time.Now())
	c := p.byEndpoint[endpoint]
	if c == nil {
		if len(p.byEndpoint) >= p.limits().SoftLimit {
			closing = p.removeOldest(closing)
		}
		c = p.open(endpoint)
	}
	if c.idleElement != nil {
		p.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
	c.users++
	p.mu.Unlock()
	closeAll(closing) // before the caller dials: their sockets may be needed
	return c
}

func (p *connectionPool) open(endpoint string) *connection {
	c := &connection{endpoint: endpoint}
	c.client.Transport = &http.Transport{
		MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
		ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes, DialContext: p.dialer.DialContext,
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

// trim closes the longest idle connections beyond the sockets to spare.
func (p *connectionPool) trim() {
	p.mu.Lock()
	var closing []*connection
	for keep := p.limits().HardLimit; len(p.byEndpoint) > keep && p.idle.Len() > 0; {
		closing = p.removeOldest(closing)
	}
	p.mu.Unlock()
	closeAll(closing)
}

// removeStale removes the connections that their transport closes for idleness: else they
// would count as open until their worker's next commands, which may never come.
func (p *connectionPool) removeStale(now time.Time) (removed []*connection) {
	for oldest := p.idle.Front(); oldest != nil; oldest = p.idle.Front() {
		if now.Sub(oldest.Value.(*connection).idleSince) < idleTimeout {
			break
		}
		removed = p.removeOldest(removed)
	}
	return removed
}

// removeOldest adds the longest idle connection, if there is one, to those removed.
func (p *connectionPool) removeOldest(removed []*connection) []*connection {
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
