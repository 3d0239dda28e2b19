// Package sockets divides the sockets that a process may use between the connections
// that it accepts, those on which it sends direct commands to workers, and the rest. It only
// computes the bounds: it opens and closes nothing, and has no state.
package sockets

import "math"

const (
	baseSockets           = 40 // to the state service and the cloud, listeners, files
	socketsPerPeer        = 2  // one to the peer and one from it
	minConcurrentRequests = 8  // messages of direct commands that may be under way however few sockets there are
	requestDivisor        = 20 // one socket in so many is always left to direct commands
	maxConnectionDivisor  = 2  // and one in so many at most: a worker that is sent commands has a connection of its own
	reserveDivisor        = 16 // one in so many is kept free for users and workers that are about to connect
)

// Budget is the sockets of a process. It is safe for concurrent use if Accepted is.
type Budget struct {
	MaxSockets int        // of the whole process; 0 if there is none
	Peers      int        // other controllers
	Accepted   func() int // connections from users and workers that are open now
}

// ConnectionLimits bounds the connections to workers, used and idle ones together. Between the
// two bounds nothing is closed for others: connections from users that come and go must
// not have idle ones closed and dialled again each time.
type ConnectionLimits struct {
	SoftLimit int // from so many on, a new connection takes the place of an idle one
	HardLimit int // idle connections beyond so many are closed at once
}

// MaxConcurrentRequests is how many requests to workers may be under way: so many sockets are left to them
// whatever else is open.
func (b Budget) MaxConcurrentRequests() int {
	return max(minConcurrentRequests, b.MaxSockets/requestDivisor)
}

// ownSockets is how many sockets this process keeps for its ownSockets connections, direct commands aside.
// Without them it could not even keep its lease.
func (b Budget) ownSockets() int { return baseSockets + socketsPerPeer*b.Peers }

// MaxAccepted is how many connections from users and workers may be open. Idle connections
// to workers don't lower it: they are closed when it needs their sockets.
func (b Budget) MaxAccepted() int {
	if b.MaxSockets == 0 {
		return math.MaxInt
	}
	return b.MaxSockets - b.ownSockets() - b.MaxConcurrentRequests()
}

// WorkerConnections returns how many connections to workers may be open now.
func (b Budget) WorkerConnections() ConnectionLimits {
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
