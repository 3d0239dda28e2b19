// Package viewsync carries what a holder publishes of its machines to owners elsewhere: only
// what changed since what the owner has acknowledged. It holds the state machines of both
// ends and does no input or output.
//
// A holder's Encoder sends a stream of numbered frames, one at a time, each repeated as it
// is until it is acknowledged. An owner's Decoder applies each once, in order. A stream
// begins with the whole and names the stream that it replaces, as the owner said: so a
// message of an earlier stream, or life, of either end, however late, changes nothing. An
// owner that does not know the stream, has restarted, or has taken jobs over anew, says
// so, and a new stream begins.
package viewsync

import (
	"math/rand/v2"
	"slices"

	"github.com/wallrack/wallrack/internal/dispatch"
)

const (
	// frameViews bounds the machines in a frame, and so its size.
	frameViews = 500
	// heartbeatMs is after how long without a frame the owner is told that all holds.
	heartbeatMs = 1000
)

// Frame is one step of a stream.
type Frame struct {
	Seq     uint64   `json:"q"`
	AtMs    int64    `json:"t"` // on the holder's steady clock
	Whole   bool     `json:"w,omitempty"`
	Changes []Change `json:"c,omitempty"`
	Gone    []string `json:"g,omitempty"` // machines that the holder does not know any more
}

// Message is what a holder sends to an owner. One without a frame is a heartbeat: the
// views up to Seq, so many, still hold.
type Message struct {
	Holder   string `json:"h"`
	Stream   uint64 `json:"s"`
	After    uint64 `json:"a,omitempty"` // the stream that this one replaces, for its first frame
	Seq      uint64 `json:"q,omitempty"` // heartbeat: the last acknowledged frame
	Machines int    `json:"m,omitempty"` // heartbeat: the machines known then
	Sum      uint64 `json:"d,omitempty"` // heartbeat: see sum
	NowMs    int64  `json:"t"`           // when it is sent, on the clock of its frame
	Frame    *Frame `json:"f,omitempty"`
}

// Reply says up to where an owner knows which stream.
type Reply struct {
	Stream  uint64 `json:"s"`
	Seq     uint64 `json:"q"`
	Refused bool   `json:"r,omitempty"` // it can't go on with the stream that was sent
}

// streamNames is how many names of streams there are: those that every reader of JSON
// keeps exact.
const streamNames = 1 << 53

// newStream draws the name of a stream, never 0.
func newStream() uint64 { return 1 + rand.Uint64N(streamNames-1) }

// Odd numbers that spread bits in sum.
const (
	sumOfSession = 0x9e3779b97f4a7c15
	sumOfSeq     = 0xc2b2ae3d27d4eb4f
)

// sum is a digest of the machines and of the newest report of each.
func sum(states map[string]*state) (total uint64) {
	for name, s := range states {
		h := s.view.Session*sumOfSession ^ s.view.Seq*sumOfSeq ^ s.view.Token
		for i := range len(name) {
			h = (h ^ uint64(name[i])) * sumOfSession
		}
		total += h ^ h>>29
	}
	return total
}

// Encoder is a holder's end of a stream to one owner. It is not safe for concurrent use.
type Encoder struct {
	holder string
	stream uint64
	after  uint64 // the stream that the owner knows, to be replaced by this one
	seq    uint64 // of the last frame
	begun  bool   // the first frame of the stream was made

	told    map[string]*state // as of the last frame
	pending map[string]state  // changed since
	gone    map[string]bool
	flight  *Frame // sent, and not acknowledged
	spokeMs int64  // when the owner last acknowledged anything
}

// NewEncoder returns the holder's end of a stream that the owner does not know yet.
func NewEncoder(holder string) *Encoder {
	e := &Encoder{holder: holder}
	e.restart(0)
	return e
}

func (e *Encoder) restart(after uint64) {
	e.stream, e.after, e.seq, e.begun, e.flight = newStream(), after, 0, false, nil
	e.told, e.pending, e.gone = map[string]*state{}, map[string]state{}, map[string]bool{}
}

// Note takes changed views, made now, and the names of machines that are gone.
func (e *Encoder) Note(nowMs int64, changed []dispatch.WorkerView, gone []string) {
	if !e.begun {
		return // the whole is told first
	}
	for _, v := range changed {
		e.pending[v.Name] = state{nowMs, rounding(v)}
		delete(e.gone, v.Name)
	}
	for _, name := range gone {
		delete(e.pending, name)
		if e.told[name] != nil {
			e.gone[name] = true
		}
	}
}

// Next returns what is to be sent now, or nil.
func (e *Encoder) Next(nowMs int64, source Source) *Message {
	m := &Message{Holder: e.holder, Stream: e.stream, After: e.after, NowMs: nowMs}
	switch {
	case e.flight != nil:
		// Repeated as it is: whether it was applied is not known.
	case !e.begun && e.after == 0 && !source.HasWorkers():
		return nil // a controller without machines says nothing
	case !e.begun && e.after == 0:
		// Which stream the owner knows, it has to say first: a heartbeat of an unknown
		// stream asks for it.
		return m
	case !e.begun:
		e.begun = true
		e.Note(nowMs, source.WorkerViews(), nil)
		e.frame(nowMs)
	case len(e.pending)+len(e.gone) > 0:
		e.frame(nowMs)
	case nowMs-e.spokeMs >= heartbeatMs && len(e.told) > 0:
		m.Seq, m.Machines, m.Sum = e.seq, len(e.told), sum(e.told)
		return m
	default:
		return nil
	}
	m.Frame = e.flight
	return m
}

// frame makes a frame of what changed, up to its bound.
func (e *Encoder) frame(nowMs int64) {
	e.seq++
	f := &Frame{Seq: e.seq, AtMs: nowMs, Whole: e.seq == 1}
	for name, now := range e.pending {
		if len(f.Changes) == frameViews {
			break
		}
		delete(e.pending, name)
		c := diff(e.told[name], now)
		c.BackMs = nowMs - now.atMs
		made, err := c.apply(e.told[name], nowMs)
		if err != nil {
			c = diff(nil, now) // whatever it is that can't be told as a change
			c.BackMs = nowMs - now.atMs
			made = now
		}
		e.told[name] = &made
		f.Changes = append(f.Changes, c)
	}
	for name := range e.gone {
		f.Gone = append(f.Gone, name)
		delete(e.told, name)
	}
	clear(e.gone)
	slices.Sort(f.Gone)
	e.flight = f
}

// Took handles the owner's reply to the last message, and reports whether there is more to
// be said at once.
func (e *Encoder) Took(nowMs int64, r Reply) (more bool) {
	switch {
	case r.Stream != e.stream:
		e.restart(r.Stream)
		return r.Stream != 0
	case r.Refused:
		e.restart(r.Stream)
		return false // after a pause: it may be refused again
	case e.flight != nil && r.Seq >= e.flight.Seq:
		e.flight, e.spokeMs = nil, nowMs
		return len(e.pending)+len(e.gone) > 0
	case e.flight == nil:
		e.spokeMs = nowMs
	}
	return false
}
