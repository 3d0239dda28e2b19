package viewsync

import (
	"fmt"
	"slices"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// maxWorkers bounds the workers of a Decoder; dispatchers have the same limit.
const maxWorkers = 20_000

// Decoder is the leader's end of a dispatcher's stream and holds a replica of its views. It is not
// safe for concurrent use.
type Decoder struct {
	stream uint64
	seq    uint64
	states map[string]*state
}

// NewDecoder returns an empty replica. It claims to know a stream with a random identifier, so
// that only a dispatcher that has received the identifier can begin a stream. A late message that
// was meant for a predecessor of this leader can't.
func NewDecoder() *Decoder {
	return &Decoder{stream: newStream(), states: map[string]*state{}}
}

// Reply returns the stream that this leader knows and the number of the last frame that it applied.
func (d *Decoder) Reply() Reply { return Reply{Stream: d.stream, Seq: d.seq} }

// Apply applies a message and returns the views that changed, as of now. Duplicates have no
// effect, nor have messages of other streams, except the first frame of a stream that replaces the
// known one. A malformed message has no effect and returns ErrMalformed.
func (d *Decoder) Apply(m *Message) ([]dispatch.WorkerView, Reply, error) {
	if m.Frame == nil {
		return nil, d.heartbeat(m), nil
	}
	frame, initial := m.Frame, m.Frame.Seq == 1
	switch {
	case initial && m.Stream != d.stream && m.Replaces == d.stream && frame.Initial && m.Stream != 0:
	case m.Stream != d.stream:
		return nil, d.Reply(), nil // from another incarnation of the dispatcher, or meant for another one of this leader
	case frame.Seq <= d.seq:
		return nil, d.Reply(), nil // a duplicate
	case frame.Seq != d.seq+1 || frame.Initial:
		return nil, d.refusal(), fmt.Errorf("%w: frame %d after %d", ErrMalformed, frame.Seq, d.seq)
	}
	states, err := d.applyFrame(frame, initial)
	if err != nil {
		return nil, d.refusal(), err
	}
	if initial {
		d.stream, d.states = m.Stream, map[string]*state{}
	}
	d.seq = frame.Seq
	out := make([]dispatch.WorkerView, 0, len(states))
	for i := range states {
		s := &states[i]
		d.states[s.view.Name] = s
		view := s.viewAt(m.NowMs)
		view.Dispatcher = m.Dispatcher
		out = append(out, view)
	}
	for _, name := range frame.Removed {
		delete(d.states, name)
	}
	return out, d.Reply(), nil
}

// applyFrame returns the new states of the workers that a frame changes. It does not modify the
// replica.
func (d *Decoder) applyFrame(frame *Frame, initial bool) ([]state, error) {
	states := make([]state, 0, len(frame.Changes))
	if len(d.states)+len(frame.Changes) > maxWorkers && !initial || len(frame.Changes) > maxWorkers {
		return nil, fmt.Errorf("%w: too many workers", ErrMalformed)
	}
	seen := make(map[string]bool, len(frame.Changes))
	for i := range frame.Changes {
		change := &frame.Changes[i]
		if seen[change.Name] {
			return nil, fmt.Errorf("%w: %s: changed twice in one frame", ErrMalformed, change.Name)
		}
		seen[change.Name] = true
		var old *state
		if !initial {
			old = d.states[change.Name]
		}
		s, err := change.apply(old, frame.AtMs)
		if err != nil {
			return nil, err
		}
		states = append(states, s)
	}
	for _, name := range frame.Removed {
		if initial || d.states[name] == nil {
			return nil, fmt.Errorf("%w: %s: removed worker is not known", ErrMalformed, name)
		}
	}
	return states, nil
}

// viewAt returns the view with the ages as of a later time. The waits of the matrix are
// not reduced, since leaders account for a view's age themselves.
func (s *state) viewAt(nowMs int64) dispatch.WorkerView {
	view := s.view
	view.Matrix = slices.Clone(view.Matrix) // leaders subtract resources from it
	elapsedS := max(0, float64(nowMs-s.atMs)/msPerSecond)
	if elapsedS == 0 {
		return view
	}
	view.AgeS, view.UnansweredS = view.AgeS+elapsedS, view.UnansweredS+elapsedS
	view.Tasks = append([]dispatch.TaskView(nil), view.Tasks...)
	for i := range view.Tasks {
		view.Tasks[i].StateAgeS += elapsedS
	}
	return view
}

// heartbeat checks that both ends have the same views. If they differ, the reply requests a new
// stream.
func (d *Decoder) heartbeat(m *Message) Reply {
	if m.Stream != d.stream || m.Seq < d.seq { // from another incarnation, or a duplicate
		return d.Reply()
	}
	if m.Seq != d.seq || m.Workers != len(d.states) || m.Digest != digest(d.states) {
		return d.refusal()
	}
	return d.Reply()
}

func (d *Decoder) refusal() Reply {
	return Reply{Stream: d.stream, Seq: d.seq, Refused: true}
}
