// Package viewsync replicates a dispatcher's views of its workers to leaders elsewhere: it sends
// only what changed since what the leader has acknowledged. It holds the state machines of both
// ends and does no input or output.
//
// A dispatcher's Encoder sends a stream of numbered frames, one at a time, each repeated as it
// is until it is acknowledged. A leader's Decoder applies each once, in order. A stream
// begins with all views and names the stream that it replaces, as the leader said: so a
// message of an earlier stream, or incarnation, of either end, however late, changes nothing. A
// leader that does not know the stream, has restarted, or leads its jobs anew after a failover,
// says so, and a new stream begins.
package viewsync

import (
	"slices"
	"sync"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// Source is the dispatcher whose views are published.
type Source interface {
	// HasWorkers reports whether any worker reported within a lease.
	HasWorkers() bool
	// WorkerViews makes the views of all workers that reported within a lease.
	WorkerViews() []dispatch.WorkerView
	// ChangedViews makes the views that changed since the last call, and names the workers
	// that are not known any more.
	ChangedViews() (views []dispatch.WorkerView, gone []string)
}

// Publisher keeps a stream to each leader elsewhere. It is safe for concurrent use.
type Publisher struct {
	dispatcher string
	source     Source

	mu       sync.Mutex
	encoders map[string]*Encoder // by leader
}

// NewPublisher returns the publisher of a dispatcher's views.
func NewPublisher(dispatcher string, source Source) *Publisher {
	return &Publisher{dispatcher: dispatcher, source: source, encoders: map[string]*Encoder{}}
}

// CollectChanges takes up what changed since the last call, for these leaders; streams to others end. A
// view costs a matrix: none is made for nobody.
func (p *Publisher) CollectChanges(nowMs int64, leaders []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.encoders {
		if !slices.Contains(leaders, name) {
			delete(p.encoders, name)
		}
	}
	for _, name := range leaders {
		if p.encoders[name] == nil {
			p.encoders[name] = NewEncoder(p.dispatcher)
		}
	}
	if len(leaders) == 0 {
		return
	}
	changed, removed := p.source.ChangedViews()
	for _, encoder := range p.encoders {
		encoder.Update(nowMs, changed, removed)
	}
}

// Next returns what is to be sent to a leader now, or nil. The reply must be given to
// Took, or the message is repeated.
func (p *Publisher) Next(nowMs int64, leader string) *Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	encoder := p.encoders[leader]
	if encoder == nil {
		return nil
	}
	return encoder.Next(nowMs, p.source)
}

// HandleReply handles a leader's reply, and reports whether there is more to be sent at once.
func (p *Publisher) HandleReply(nowMs int64, leader string, r Reply) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	encoder := p.encoders[leader]
	return encoder != nil && encoder.HandleReply(nowMs, r)
}
