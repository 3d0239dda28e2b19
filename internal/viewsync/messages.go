package viewsync

import "math/rand/v2"

// Frame is one step of a stream.
type Frame struct {
	Seq     uint64   `json:"q"`           // from 1 on, without gaps
	AtMs    int64    `json:"t"`           // on the dispatcher's steady clock
	Initial bool     `json:"w,omitempty"` // the first frame: nothing is known yet
	Changes []Change `json:"c,omitempty"`
	Removed []string `json:"g,omitempty"` // workers that the dispatcher does not know any more
}

// Message is what a dispatcher sends to a leader. One without a frame is a heartbeat: the
// views up to Seq, so many, still hold.
type Message struct {
	Dispatcher string `json:"h"` // the dispatcher
	Stream     uint64 `json:"s"`
	Replaces   uint64 `json:"a,omitempty"` // the stream that this one replaces, for its first frame
	Seq        uint64 `json:"q,omitempty"` // heartbeat: the last acknowledged frame
	Workers    int    `json:"m,omitempty"` // heartbeat: the workers known then
	Digest     uint64 `json:"d,omitempty"` // heartbeat: see digest
	NowMs      int64  `json:"t"`           // when it is sent, on the clock of its frame
	Frame      *Frame `json:"f,omitempty"`
}

// Reply says up to where a leader knows which stream.
type Reply struct {
	Stream  uint64 `json:"s"`
	Seq     uint64 `json:"q"`
	Refused bool   `json:"r,omitempty"` // it can't go on with the stream that was sent
}

// streamIDCount is how many stream identifiers there are: those that every reader of JSON
// keeps exact.
const streamIDCount = 1 << 53

// newStream draws the identifier of a stream, never 0.
func newStream() uint64 { return 1 + rand.Uint64N(streamIDCount-1) }

// Odd numbers that spread bits in digest.
const (
	sessionFactor = 0x9e3779b97f4a7c15
	seqFactor     = 0xc2b2ae3d27d4eb4f
)

// digest is a sum over the workers and the newest report of each, in any order.
func digest(states map[string]*state) (total uint64) {
	for name, s := range states {
		h := s.view.Session*sessionFactor ^ s.view.Seq*seqFactor ^ s.view.Token
		for i := range len(name) {
			h = (h ^ uint64(name[i])) * sessionFactor
		}
		total += h ^ h>>29
	}
	return total
}
