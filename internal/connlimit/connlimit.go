// Package connlimit limits the connections that a process accepts, so that sockets remain for
// sending commands to workers and for renewing the process's lease. Connections beyond the limit
// are answered at once with HTTP status 503 and closed.
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

// refusalResponse is sent on connections beyond the limit.
const refusalResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refusalTimeout limits the write of refusalResponse. It can be short, since the response fits into
// the empty send buffer of a new connection.
const refusalTimeout = 20 * time.Millisecond

// Limit counts the open accepted connections. It is safe for concurrent use.
type Limit struct {
	open    atomic.Int64
	max     int
	onAdmit func() // called after a connection has been counted

	mu    sync.Mutex
	conns map[*countedConn]struct{} // the open ones
}

// New returns a limit for accepted connections, and a sender of commands to workers. Both share the
// process's maxSockets sockets (0: no limit), some of which are reserved for connections to peers
// and services. Idle connections of the sender are closed when accepted connections need their
// sockets.
func New(maxSockets, peers int) (*Limit, *dispatch.HTTPCommandSender) {
	l := &Limit{}
	budget := sockets.Budget{MaxSockets: maxSockets, Peers: peers, Accepted: l.Open}
	commands := dispatch.NewHTTPCommandSender(budget)
	l.max, l.onAdmit = budget.MaxAccepted(), commands.Trim
	return l, commands
}

// Open returns the number of open accepted connections.
func (l *Limit) Open() int { return int(l.open.Load()) }

// Max returns how many accepted connections may be open: math.MaxInt if there is no limit.
func (l *Limit) Max() int { return l.max }

// admit counts a new connection as open. If the limit is reached, it returns false and does not
// count the connection.
func (l *Limit) admit() bool {
	if l.open.Add(1) > int64(l.max) {
		l.open.Add(-1)
		return false
	}
	l.onAdmit()
	return true
}

// Listener is a net.Listener that answers connections beyond a limit with refusalResponse and closes
// them.
type Listener struct {
	net.Listener
	limit *Limit
}

// NewListener returns a Listener that applies limit to the connections accepted by lis.
func NewListener(lis net.Listener, limit *Limit) *Listener {
	return &Listener{Listener: lis, limit: limit}
}

// Accept returns the next connection within the limit, and refuses connections beyond it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limit.admit() {
			return l.limit.track(conn), nil
		}
		usage.CountEvent(usage.RefusedConnections)
		_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = conn.Write([]byte(refusalResponse)) // clients that don't receive the response retry anyway
		_ = conn.Close()
	}
}

// countedConn is an accepted connection that counts as open until it is closed.
type countedConn struct {
	net.Conn
	limit *Limit
	once  sync.Once

	client        atomic.Int32 // a client
	lastRequestAt atomic.Int64 // time at which the last request began, or else of the accept, in ns since 1970
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.limit.untrack(c) })
	return c.Conn.Close()
}
