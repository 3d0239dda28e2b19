package viewsync

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// ErrNotLeading means that a message reached a controller that leads no shards or has not loaded
// their jobs yet, and so would not act on it.
var ErrNotLeading = errors.New("this controller leads no shards")

// Sink is the scheduler that observes views.
type Sink interface {
	// LeadershipEpoch returns 0 while the scheduler does not act on views, and a different number
	// each time it begins to.
	LeadershipEpoch() uint64
	// ObserveWorker is called with the Receiver's lock held and must not call the Receiver.
	ObserveWorker(dispatch.WorkerView)
}

// Receiver maintains a replica of each dispatcher's views for a scheduler. It is safe for
// concurrent use.
type Receiver struct {
	sink        Sink
	dispatchers []string

	mu       sync.Mutex
	epoch    uint64
	replicas map[string]*Decoder // by dispatcher
}

// NewReceiver returns a receiver that accepts the views of the given dispatchers only.
func NewReceiver(sink Sink, dispatchers []string) *Receiver {
	return &Receiver{sink: sink, dispatchers: dispatchers, replicas: map[string]*Decoder{}}
}

// HandleMessage applies a dispatcher's message and passes the changed views to the scheduler. The
// reply is sent to the dispatcher also in case of an error, and then states that the message was
// not applied. The errors are ErrNotLeading and ErrMalformed.
func (r *Receiver) HandleMessage(m *Message) (Reply, error) {
	if !slices.Contains(r.dispatchers, m.Dispatcher) {
		return Reply{}, fmt.Errorf("%w: unknown dispatcher: %q", ErrMalformed, m.Dispatcher)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	epoch := r.sink.LeadershipEpoch()
	if epoch != r.epoch {
		// The scheduler did not act on views received before it loaded its jobs.
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
