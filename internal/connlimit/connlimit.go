// Package connlimit shares a process's sockets between the connections that it accepts and those
// on which it sends commands to workers. Accepted connections beyond their part are refused at
// once, with an HTTP response, so that the process never runs out of sockets and can keep its lease.
package connlimit

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/sockets"
	"github.com/wallrack/wallrack/internal/usage"
)

// refusalResponse is the response to a connection that finds no socket left.
const refusalResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refusalTimeout is enough for a fresh connection, which takes so little at once.
const refusalTimeout = 20 * time.Millisecond

// Limit counts the accepted connections. It is safe for concurrent use.
type Limit struct {
	open    atomic.Int64
	max     int
	onAdmit func() // called after each connection within the limit
}

// New shares maxSockets, 0 if there is no limit, of a process with so many peers: idle
// connections of the returned sender are closed when the accepted ones need their sockets.
func New(maxSockets, peers int) (*Limit, *dispatch.HTTPCommandSender) {
	l := &Limit{}
	budget := sockets.Budget{MaxSockets: maxSockets, Peers: peers, Accepted: l.Open}
	commands := dispatch.NewHTTPCommandSender(budget)
	l.max, l.onAdmit = budget.MaxAccepted(), commands.Trim
	return l, commands
}

// Open is how many connections are open.
func (l *Limit) Open() int { return int(l.open.Load()) }

// Max is how many connections may be open; math.MaxInt without a limit.
func (l *Limit) Max() int { return l.max }

// admit counts a connection as open; false if there are as many as may be.
func (l *Limit) admit() bool {
	if l.open.Add(1) > int64(l.max) {
		l.open.Add(-1)
		return false
	}
	l.onAdmit()
	return true
}

// Listener responds to connections beyond a limit at once instead of letting the
// process run out of sockets.
type Listener struct {
	net.Listener
	limit *Limit
}

// NewListener limits the connections that a listener accepts.
func NewListener(lis net.Listener, limit *Limit) *Listener {
	return &Listener{Listener: lis, limit: limit}
}

// Accept returns the next connection within the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limit.admit() {
			return &countedConn{Conn: conn, limit: l.limit}, nil
		}
		usage.CountEvent(usage.RefusedConnections)
		_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = conn.Write([]byte(refusalResponse)) // who does not get it tries again all the same
		_ = conn.Close()
	}
}

// countedConn counts as open until it is closed.
type countedConn struct {
	net.Conn
	limit *Limit
	once  sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.limit.open.Add(-1) })
	return c.Conn.Close()
}
