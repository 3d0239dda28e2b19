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

// busy is the answer to a connection that finds no socket left.
const busy = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// door is a listener that answers connections beyond a limit at once instead
// of letting the process run out of sockets.
type door struct {
	net.Listener
	most     int64
	open     atomic.Int64
	admitted func() // called after each connection within the limit, if set
}

// share bounds the connections by the budget, and closes idle ones for orders when those
// that are accepted need their sockets.
func (d *door) share(budget sockets.Budget, orders *dispatch.HTTPCommandSender) {
	d.most, d.admitted = int64(budget.MaxAccepted()), orders.Trim
}

// Accept returns the next connection within the limit.
func (d *door) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if d.open.Add(1) <= d.most {
			if d.admitted != nil {
				d.admitted()
			}
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
