package viewsync

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// ErrNotLeading means that a message came to a controller that leads no jobs, or has not read
// their records yet: it would not act on what it receives.
var ErrNotLeading = errors.New("leads no jobs")

// Sink is the scheduler that observes views.
type Sink interface {
	// LeadershipEpoch is 0 while the scheduler acts on no views, and another number each time that
	// it begins to.
	LeadershipEpoch() uint64
	// ObserveWorker is called with the Receiver's lock held: it must not call the Receiver.
	ObserveWorker(dispatch.WorkerView)
}

// Receiver keeps a replica of each dispatcher's views for a scheduler. It is safe for concurrent
// use.
type Receiver struct {
	sink        Sink
	dispatchers []string

	mu       sync.Mutex
	epoch    uint64
	replicas map[string]*Decoder // by dispatcher
}

// NewReceiver returns the receiver of a scheduler, for the views of these dispatchers only.
func NewReceiver(sink Sink, dispatchers []string) *Receiver {
	return &Receiver{sink: sink, dispatchers: dispatchers, replicas: map[string]*Decoder{}}
}

// HandleMessage applies a dispatcher's message and passes what changed to the scheduler. The reply goes to
// the dispatcher with an error too: it says that the message was not applied. The errors are
// ErrNoOwner and ErrMalformed.
func (r *Receiver) HandleMessage(m *Message) (Reply, error) {
	if !slices.Contains(r.dispatchers, m.Dispatcher) {
		return Reply{}, fmt.Errorf("%w: no such dispatcher: %q", ErrMalformed, m.Dispatcher)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	epoch := r.sink.LeadershipEpoch()
	if epoch != r.epoch {
		// What a scheduler received before it had its jobs, it did not act on.
		r.epoch = epoch
		clear(r.replicas)
	}
	if epoch == 0 {
		return Reply{}, ErrNotLeading
	}
	replica := r.replicas[m.Dispatcher]
	if replica == nil {
		replica = NewDecoder()
		r.replicas[m.Dispatcher] = replica
	}
	changed, reply, err := replica.Apply(m)
	for _, view := range changed {
		r.sink.ObserveWorker(view)
	}
	return reply, err
}
