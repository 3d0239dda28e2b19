package viewsync

import "math/rand/v2"

// Frame is one step of a stream.
type Frame struct {
	Seq     uint64   `json:"q"`           // starts at 1, without gaps
	AtMs    int64    `json:"t"`           // on the dispatcher's monotonic clock
	Initial bool     `json:"w,omitempty"` // the first frame: no views are known yet
	Changes []Change `json:"c,omitempty"`
	Removed []string `json:"g,omitempty"` // workers that the dispatcher no longer knows
}

// Message is sent by a dispatcher to a leader. Without a frame it is a heartbeat: the views as of
// frame Seq are still current, and their number is Workers. A heartbeat with Seq 0 asks which stream
// the leader knows.
type Message struct {
	Dispatcher string `json:"h"` // controller that sends the message
	Stream     uint64 `json:"s"`
	Replaces   uint64 `json:"a,omitempty"` // stream that this one replaces, for its first frame
	Seq        uint64 `json:"q,omitempty"` // heartbeat: the last acknowledged frame
	Workers    int    `json:"m,omitempty"` // heartbeat: number of workers as of that frame
	Digest     uint64 `json:"d,omitempty"` // heartbeat: see digest
	NowMs      int64  `json:"t"`           // time of sending, on the same clock as Frame.AtMs
	Frame      *Frame `json:"f,omitempty"`
}

// Reply states which stream the leader knows, and the number of the last frame that it applied.
type Reply struct {
	Stream  uint64 `json:"s"`
	Seq     uint64 `json:"q"`
	Refused bool   `json:"r,omitempty"` // the leader can't continue with the stream that was sent
}

// streamIDCount bounds stream identifiers to integers that every JSON reader represents exactly.
const streamIDCount = 1 << 53

// newStream returns a random stream identifier, never 0.
func newStream() uint64 { return 1 + rand.Uint64N(streamIDCount-1) }

// Odd multipliers that spread the bits in digest.
const (
	sessionFactor = 0x9e3779b97f4a7c15
	seqFactor     = 0xc2b2ae3d27d4eb4f
)

// digest returns a hash of the workers and the newest report of each, independent of their order.
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
