package connlimit

import (
	"context"
	"net"
	"net/http"
	"time"
)

// client is a kind of client of a connection.
type client = int32

const (
	unknownClient client = iota // no request has arrived on the connection
	workerClient
	userClient
	numClients
)

// OpenConnections are the numbers of open accepted connections by kind of client, and of those without a
// request for some time.
type OpenConnections struct {
	Unused  int // no request has arrived yet
	Workers int
	Users   int
	Stale   int // of all kinds
}

// Count returns the numbers of open connections. A connection is stale if no request has arrived on it for
// staleAfter.
func (l *Limit) Count(staleAfter time.Duration) OpenConnections {
	l.mu.Lock()
	defer l.mu.Unlock()
	var byClient [numClients]int
	stale, before := 0, time.Now().Add(-staleAfter).UnixNano()
	for conn := range l.conns {
		byClient[conn.client.Load()]++
		if conn.lastRequestAt.Load() < before {
			stale++
		}
	}
	return OpenConnections{Unused: byClient[unknownClient], Workers: byClient[workerClient], Users: byClient[userClient], Stale: stale}
}

func (l *Limit) track(conn net.Conn) *countedConn {
	counted := &countedConn{Conn: conn, limit: l}
	counted.lastRequestAt.Store(time.Now().UnixNano())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*countedConn]struct{}{}
	}
	l.conns[counted] = struct{}{}
	return counted
}

func (l *Limit) untrack(conn *countedConn) {
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
	l.open.Add(-1)
}

type connKey struct{}

// ConnContext adds an accepted connection to the context of its requests. It is meant for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CountRequests returns a handler that records the time and the kind of client of each request,
// and then serves the request with next. Requests for workersPath come from workers, and all others from
// users.
func CountRequests(workersPath string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*countedConn); ok {
			conn.lastRequestAt.Store(time.Now().UnixNano())
			kind := userClient
			if r.URL.Path == workersPath {
				kind = workerClient
			}
			conn.client.CompareAndSwap(unknownClient, kind)
		}
		next.ServeHTTP(w, r)
	})
}
