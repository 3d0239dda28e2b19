// Package sockets divides the sockets that a process may use between the connections
// that it accepts, those on which it sends direct commands to workers, and the rest. It only
// computes the bounds: it opens and closes nothing, and has no state.
package sockets

import "math"

const (
	baseSockets    = 40 // to the state service and the cloud, listeners, files
	socketsPerPeer = 2  // one to the peer and one from it
	minCommands    = 8  // messages of direct commands that may be under way however few sockets there are
	commandShare   = 20 // one socket in so many is always left to direct commands
	maxCommandPart = 2  // and one in so many at most: a worker that is sent commands has a connection of its own
	reserveShare   = 16 // one in so many is kept free for users and workers that are about to connect
)

// Budget is the sockets of a process. It is safe for concurrent use if Accepted is.
type Budget struct {
	Limit    int        // of the whole process; 0 if there is none
	Peers    int        // other controllers
	Accepted func() int // connections from users and workers that are open now
}

// ConnectionLimits bounds the connections to workers, used and idle ones together. Between the
// two bounds nothing is closed for others: connections from users that come and go must
// not have idle ones closed and dialled again each time.
type ConnectionLimits struct {
	Open int // from so many on, a new connection takes the place of an idle one
	Keep int // idle connections beyond so many are closed at once
}

// RequestsAtOnce is how many requests to workers may be under way: so many sockets are left to them
// whatever else is open.
func (b Budget) RequestsAtOnce() int { return max(minCommands, b.Limit/commandShare) }

// own is how many sockets this process keeps for its own connections, direct commands aside.
// Without them it could not even keep its lease.
func (b Budget) own() int { return baseSockets + socketsPerPeer*b.Peers }

// MaxAccepted is how many connections from users and workers may be open. Idle connections
// to workers don't lower it: they are closed when it needs their sockets.
func (b Budget) MaxAccepted() int {
	if b.Limit == 0 {
		return math.MaxInt
	}
	return b.Limit - b.own() - b.RequestsAtOnce()
}

// WorkerConnections returns how many connections to workers may be open now.
func (b Budget) WorkerConnections() ConnectionLimits {
	least := b.RequestsAtOnce()
	if b.Limit == 0 {
		return ConnectionLimits{Open: least, Keep: least}
	}
	most := max(least, b.Limit/maxCommandPart)
	free := b.Limit - b.own() - b.Accepted()
	reserve := b.Limit / reserveShare
	return ConnectionLimits{
		Open: min(most, max(least, free-reserve)),
		Keep: min(most, max(least, free-reserve/2)),
	}
}
