package viewsync

import (
	"fmt"
	"slices"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// maxMachines bounds a picture: no holder has more.
const maxMachines = 20_000

// Decoder is an owner's end of a holder's stream: its picture of that holder's machines.
// It is not safe for concurrent use.
type Decoder struct {
	stream uint64
	seq    uint64
	states map[string]*state
}

// NewDecoder returns an empty picture. The name of the stream that it pretends to know is
// drawn anew, so that only a holder that was told of it can begin: not a message that was
// sent to a predecessor.
func NewDecoder() *Decoder {
	return &Decoder{stream: newStream(), states: map[string]*state{}}
}

// Reply says up to where this owner knows which stream.
func (d *Decoder) Reply() Reply { return Reply{Stream: d.stream, Seq: d.seq} }

// Take applies a message, and returns the views that changed, as of now. A malformed one
// changes nothing.
func (d *Decoder) Take(m *Message) ([]dispatch.WorkerView, Reply, error) {
	if m.Frame == nil {
		return nil, d.heartbeat(m), nil
	}
	f, begins := m.Frame, m.Frame.Seq == 1
	switch {
	case begins && m.Stream != d.stream && m.After == d.stream && f.Whole && m.Stream != 0:
	case m.Stream != d.stream:
		return nil, d.Reply(), nil // of another life, of the holder or of this owner
	case f.Seq <= d.seq:
		return nil, d.Reply(), nil // a copy
	case f.Seq != d.seq+1 || f.Whole:
		return nil, d.refusal(), fmt.Errorf("%w: frame %d after %d", ErrMalformed, f.Seq, d.seq)
	}
	made, err := d.made(f, begins)
	if err != nil {
		return nil, d.refusal(), err
	}
	if begins {
		d.stream, d.states = m.Stream, map[string]*state{}
	}
	d.seq = f.Seq
	out := make([]dispatch.WorkerView, 0, len(made))
	for i := range made {
		s := &made[i]
		d.states[s.view.Name] = s
		v := s.aged(m.NowMs)
		v.Holder = m.Holder
		out = append(out, v)
	}
	for _, name := range f.Gone {
		delete(d.states, name)
	}
	return out, d.Reply(), nil
}

// made applies a frame's changes, beside the picture.
func (d *Decoder) made(f *Frame, begins bool) ([]state, error) {
	made := make([]state, 0, len(f.Changes))
	if len(d.states)+len(f.Changes) > maxMachines && !begins || len(f.Changes) > maxMachines {
		return nil, fmt.Errorf("%w: too many machines", ErrMalformed)
	}
	seen := make(map[string]bool, len(f.Changes))
	for i := range f.Changes {
		c := &f.Changes[i]
		if seen[c.Name] {
			return nil, fmt.Errorf("%w: %s: twice", ErrMalformed, c.Name)
		}
		seen[c.Name] = true
		var old *state
		if !begins {
			old = d.states[c.Name]
		}
		s, err := c.apply(old, f.AtMs)
		if err != nil {
			return nil, err
		}
		made = append(made, s)
	}
	for _, name := range f.Gone {
		if begins || d.states[name] == nil {
			return nil, fmt.Errorf("%w: %s: gone, and was not known", ErrMalformed, name)
		}
	}
	return made, nil
}

// aged is the view with the ages as of a later time; its matrix stays, since owners take
// the time since a view came off by themselves.
func (s *state) aged(nowMs int64) dispatch.WorkerView {
	v := s.view
	v.Matrix = slices.Clone(v.Matrix) // owners take room off it
	later := max(0, float64(nowMs-s.atMs)/perSecond)
	if later == 0 {
		return v
	}
	v.AgeS, v.UnansweredS = v.AgeS+later, v.UnansweredS+later
	v.Tasks = append([]dispatch.TaskView(nil), v.Tasks...)
	for i := range v.Tasks {
		v.Tasks[i].ForS += later
	}
	return v
}

// heartbeat checks that both ends have the same.
func (d *Decoder) heartbeat(m *Message) Reply {
	if m.Stream != d.stream || m.Seq < d.seq { // of another life, or a copy
		return d.Reply()
	}
	if m.Seq != d.seq || m.Machines != len(d.states) || m.Sum != sum(d.states) {
		return d.refusal()
	}
	return d.Reply()
}

func (d *Decoder) refusal() Reply {
	return Reply{Stream: d.stream, Seq: d.seq, Refused: true}
}
