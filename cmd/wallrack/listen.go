package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wallrack/wallrack/internal/usage"
)

// ownSockets is how many of the sockets this process keeps for its own
// connections: to the state service and the cloud, to and from each peer, and
// for direct orders. Without them it could not even keep its lease.
func ownSockets(limit, peers int) int { return 40 + 2*peers + max(8, limit/20) }

// busy is the answer to a connection that finds no socket left.
const busy = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// door is a listener that answers connections beyond a limit at once instead
// of letting the process run out of sockets.
type door struct {
	net.Listener
	most int64
	open atomic.Int64
}

// Accept returns the next connection within the limit.
func (d *door) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if d.open.Add(1) <= d.most {
			return &visitor{Conn: c, door: d}, nil
		}
		d.open.Add(-1)
		usage.Note(usage.RefusedConnections)
		_ = c.SetWriteDeadline(time.Now().Add(20 * time.Millisecond)) // a fresh connection takes so little at once
		_, _ = c.Write([]byte(busy))                                  // who does not get it tries again all the same
		_ = c.Close()
	}
}

func (d *door) count() int { return int(d.open.Load()) }

// visitor gives its place back when it is closed.
type visitor struct {
	net.Conn
	door *door
	once sync.Once
}

// Close implements net.Conn.
func (v *visitor) Close() error {
	v.once.Do(func() { v.door.open.Add(-1) })
	return v.Conn.Close()
}
