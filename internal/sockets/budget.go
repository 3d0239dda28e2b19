// Package sockets divides the sockets that a process may use between accepted connections,
// connections for sending commands to workers, and the process's other connections. It only
// computes the limits and does not open or close connections.
package sockets

import "math"

const (
	baseSockets           = 40 // connections to the state service and the cloud, listeners and files
	socketsPerPeer        = 2  // one connection to each peer and one from it
	minConcurrentRequests = 8  // concurrent requests with commands that are always possible, even with few sockets
	requestDivisor        = 20 // 1/20 of the sockets is reserved for requests with commands
	maxConnectionDivisor  = 2  // at most 1/2 of the sockets is used for connections to workers; each worker needs its own
	reserveDivisor        = 16 // 1/16 of the sockets is left free for new connections from users and workers
)

// Budget computes the socket limits of a process. It is safe for concurrent use if Accepted is.
type Budget struct {
	MaxSockets int        // limit of the whole process; 0: no limit
	Peers      int        // number of other controllers
	Accepted   func() int // returns the number of open connections from users and workers
}

// ConnectionLimits limits the number of connections to workers, in use and idle ones together. If the
// two limits were equal, each short-lived user connection could cause an idle connection to be
// closed and dialled again.
type ConnectionLimits struct {
	SoftLimit int // at or above this number, an idle connection is closed for each new one
	HardLimit int // idle connections above this number are closed at once
}

// MaxConcurrentRequests returns how many requests to workers may be in progress at the same time.
// This number of sockets is reserved for them. It is minConcurrentRequests if MaxSockets is 0.
func (b Budget) MaxConcurrentRequests() int {
	return max(minConcurrentRequests, b.MaxSockets/requestDivisor)
}

// ownSockets returns the number of sockets reserved for the process's connections to the state
// service, the cloud and its peers. Without this reserve the process could fail to renew its lease.
func (b Budget) ownSockets() int { return baseSockets + socketsPerPeer*b.Peers }

// MaxAccepted returns how many connections from users and workers may be open, or math.MaxInt if
// MaxSockets is 0. Idle connections to workers do not reduce this number: they are closed when
// their sockets are needed.
func (b Budget) MaxAccepted() int {
	if b.MaxSockets == 0 {
		return math.MaxInt
	}
	return b.MaxSockets - b.ownSockets() - b.MaxConcurrentRequests()
}

// WorkerConnectionLimits returns the current limits for connections to workers. If MaxSockets is 0,
// both limits are MaxConcurrentRequests. Otherwise they decrease as more accepted connections are
// open, but not below MaxConcurrentRequests.
func (b Budget) WorkerConnectionLimits() ConnectionLimits {
	least := b.MaxConcurrentRequests()
	if b.MaxSockets == 0 {
		return ConnectionLimits{SoftLimit: least, HardLimit: least}
	}
	most := max(least, b.MaxSockets/maxConnectionDivisor)
	free := b.MaxSockets - b.ownSockets() - b.Accepted()
	reserve := b.MaxSockets / reserveDivisor
	return ConnectionLimits{
		SoftLimit: min(most, max(least, free-reserve)),
		HardLimit: min(most, max(least, free-reserve/2)),
	}
}
