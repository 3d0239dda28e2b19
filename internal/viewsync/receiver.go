package viewsync

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// ErrNoOwner means that a message came to a controller that owns no jobs, or has not read
// their records yet: it would not act on what it is told.
var ErrNoOwner = errors.New("owns no jobs")

// Sink is the owner that observes views.
type Sink interface {
	// OwnershipEpoch is 0 while the owner acts on no views, and another number each time that
	// it begins to.
	OwnershipEpoch() uint64
	ObserveWorker(dispatch.WorkerView)
}

// Receiver keeps a picture of each holder's machines for an owner.
type Receiver struct {
	sink    Sink
	holders []string

	mu       sync.Mutex
	tenure   uint64
	pictures map[string]*Decoder
}

// NewReceiver returns the receiver of an owner, for the views of these holders only.
func NewReceiver(sink Sink, holders []string) *Receiver {
	return &Receiver{sink: sink, holders: holders, pictures: map[string]*Decoder{}}
}

// Take applies a holder's message and hands what changed to the owner. The reply goes to
// the holder with an error too: it says that the message was not applied.
func (r *Receiver) Take(m *Message) (Reply, error) {
	if !slices.Contains(r.holders, m.Holder) {
		return Reply{}, fmt.Errorf("%w: no such holder: %q", ErrMalformed, m.Holder)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	tenure := r.sink.OwnershipEpoch()
	if tenure != r.tenure {
		// What an owner was told before it had its jobs, it did not act on.
		r.tenure = tenure
		clear(r.pictures)
	}
	if tenure == 0 {
		return Reply{}, ErrNoOwner
	}
	d := r.pictures[m.Holder]
	if d == nil {
		d = NewDecoder()
		r.pictures[m.Holder] = d
	}
	changed, reply, err := d.Take(m)
	for _, v := range changed {
		r.sink.ObserveWorker(v)
	}
	return reply, err
}
