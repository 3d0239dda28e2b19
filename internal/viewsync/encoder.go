package viewsync

import (
	"slices"

	"github.com/wallrack/wallrack/internal/dispatch"
)

const (
	// maxFrameViews bounds the number of changed workers in a frame.
	maxFrameViews = 500
	// heartbeatMs is the time without an acknowledgement after which the leader is sent a heartbeat.
	heartbeatMs = 1000
)

// Encoder is the dispatcher's end of a stream to one leader. It is not safe for concurrent use.
type Encoder struct {
	dispatcher string
	stream     uint64
	replaces   uint64 // the stream known to the leader, which this one replaces; 0 if unknown
	seq        uint64 // of the last frame
	started    bool   // the first frame was made

	sent      map[string]*state // states as of the last frame
	pending   map[string]state  // changed states that are in no frame yet
	removed   map[string]bool   // workers in sent that the dispatcher has removed since the last frame
	unacked   *Frame            // the last frame, until it is acknowledged
	lastAckMs int64             // time of the leader's last acknowledgement
}

// NewEncoder returns the dispatcher's end of a new stream. The leader's first reply states which
// stream the new one replaces.
func NewEncoder(dispatcher string) *Encoder {
	e := &Encoder{dispatcher: dispatcher}
	e.restart(0)
	return e
}

func (e *Encoder) restart(replaces uint64) {
	e.stream, e.replaces, e.seq, e.started, e.unacked = newStream(), replaces, 0, false, nil
	e.sent, e.pending, e.removed = map[string]*state{}, map[string]state{}, map[string]bool{}
}

// Update records changed views as of now and the names of workers that the dispatcher no longer
// knows. It does nothing before the first frame, for which Next takes all views from its source.
func (e *Encoder) Update(nowMs int64, changed []dispatch.WorkerView, removed []string) {
	if !e.started {
		return // Next will take all views from its source
	}
	for _, view := range changed {
		e.pending[view.Name] = state{nowMs, roundedView(view)}
		delete(e.removed, view.Name)
	}
	for _, name := range removed {
		delete(e.pending, name)
		if e.sent[name] != nil {
			e.removed[name] = true
		}
	}
}

// Next returns the message to be sent now: the unacknowledged frame, if there is one. A new stream
// starts with a query for the stream that the leader knows, followed by the first frame, made from
// all views of the source. After that, Next returns a frame if there are changes, or a heartbeat if
// one is due. If nothing is to be sent, it returns nil.
func (e *Encoder) Next(nowMs int64, source Source) *Message {
	m := &Message{Dispatcher: e.dispatcher, Stream: e.stream, Replaces: e.replaces, NowMs: nowMs}
	switch {
	case e.unacked != nil:
		// The frame is repeated unchanged, since the leader may have applied it.
	case !e.started && e.replaces == 0 && !source.HasWorkers():
		return nil // a dispatcher without workers has nothing to send
	case !e.started && e.replaces == 0:
		// Ask which stream the leader knows: it replies to a heartbeat of an unknown stream with the
		// identifier of the stream that it knows.
		return m
	case !e.started:
		e.started = true
		e.Update(nowMs, source.WorkerViews(), nil)
		e.makeFrame(nowMs)
	case e.hasChanges():
		e.makeFrame(nowMs)
	case nowMs-e.lastAckMs >= heartbeatMs && len(e.sent) > 0:
		m.Seq, m.Workers, m.Digest = e.seq, len(e.sent), digest(e.sent)
		return m
	default:
		return nil
	}
	m.Frame = e.unacked
	return m
}

func (e *Encoder) hasChanges() bool { return len(e.pending)+len(e.removed) > 0 }

// makeFrame makes a frame of at most maxFrameViews pending changes, and of all removals.
func (e *Encoder) makeFrame(nowMs int64) {
	e.seq++
	frame := &Frame{Seq: e.seq, AtMs: nowMs, Initial: e.seq == 1}
	for name, now := range e.pending {
		if len(frame.Changes) == maxFrameViews {
			break
		}
		delete(e.pending, name)
		change := diff(e.sent[name], now)
		change.LagMs = nowMs - now.atMs
		applied, err := change.apply(e.sent[name], nowMs)
		if err != nil {
			change = diff(nil, now) // replace the state if the change can't be applied
			change.LagMs = nowMs - now.atMs
			applied = now
		}
		e.sent[name] = &applied
		frame.Changes = append(frame.Changes, change)
	}
	for name := range e.removed {
		frame.Removed = append(frame.Removed, name)
		delete(e.sent, name)
	}
	clear(e.removed)
	slices.Sort(frame.Removed)
	e.unacked = frame
}

// HandleReply processes the leader's reply to the last message and reports whether another message
// should be sent at once.
func (e *Encoder) HandleReply(nowMs int64, r Reply) (more bool) {
	switch {
	case r.Stream != e.stream:
		e.restart(r.Stream)
		return r.Stream != 0
	case r.Refused:
		e.restart(r.Stream)
		return false // the next message waits, since it may be refused again
	case e.unacked != nil && r.Seq >= e.unacked.Seq:
		e.unacked, e.lastAckMs = nil, nowMs
		return e.hasChanges()
	case e.unacked == nil:
		e.lastAckMs = nowMs
	}
	return false
}
