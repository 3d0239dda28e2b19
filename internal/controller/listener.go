package controller

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/sockets"
	"github.com/wallrack/wallrack/internal/usage"
)

// refusal is the response to a connection that finds no socket left.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refusalTimeout is enough for a fresh connection, which takes so little at once.
const refusalTimeout = 20 * time.Millisecond

// connectionLimit counts the accepted connections. It is safe for concurrent use.
type connectionLimit struct {
	open     atomic.Int64
	limit    int
	admitted func() // called after each connection within the limit
}

// newConnectionLimit shares the process's sockets between the connections that it accepts and
// those on which it sends commands to workers: idle ones of these are closed when the
// accepted ones need their sockets.
func newConnectionLimit(maxSockets, peers int) (*connectionLimit, *dispatch.HTTPCommandSender) {
	connections := &connectionLimit{}
	budget := sockets.Budget{Limit: maxSockets, Peers: peers, Accepted: connections.count}
	commands := dispatch.NewHTTPCommandSender(budget)
	connections.limit, connections.admitted = budget.MaxAccepted(), commands.Trim
	return connections, commands
}

func (c *connectionLimit) count() int { return int(c.open.Load()) }

// most is how many connections may be open; math.MaxInt without a limit.
func (c *connectionLimit) most() int { return c.limit }

// admit counts a connection as open; false if there are as many as may be.
func (c *connectionLimit) admit() bool {
	if c.open.Add(1) > int64(c.limit) {
		c.open.Add(-1)
		return false
	}
	c.admitted()
	return true
}

// limitedListener responds to connections beyond a limit at once instead of letting the
// process run out of sockets.
type limitedListener struct {
	net.Listener
	connections *connectionLimit
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.connections.admit() {
			return &countedConn{Conn: conn, connections: l.connections}, nil
		}
		usage.Note(usage.RefusedConnections)
		_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = conn.Write([]byte(refusal)) // who does not get it tries again all the same
		_ = conn.Close()
	}
}

// countedConn counts as open until it is closed.
type countedConn struct {
	net.Conn
	connections *connectionLimit
	once        sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.connections.open.Add(-1) })
	return c.Conn.Close()
}
