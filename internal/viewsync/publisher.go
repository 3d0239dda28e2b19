// Package viewsync replicates a dispatcher's views of its workers to leaders on other controllers.
// It sends only the differences from what the leader has acknowledged. It contains the state
// machines of both ends and does no input or output.
//
// A dispatcher's Encoder sends a stream of numbered frames, one at a time, and repeats each
// unchanged until it is acknowledged. A leader's Decoder applies each frame once, in order. A
// stream begins with all views and names the stream that it replaces, as stated by the leader. So
// a late message of an earlier stream or incarnation of either end has no effect. A leader that
// does not know the stream, because it restarted or began to lead shards after a failover, says so
// in its reply, and the dispatcher begins a new stream.
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
	// WorkerViews returns views of all workers that reported within a lease.
	WorkerViews() []dispatch.WorkerView
	// ChangedViews returns views of the workers that changed since the last call, and the names of
	// those that are no longer known.
	ChangedViews() (views []dispatch.WorkerView, gone []string)
}

// Publisher maintains a stream to each leader on another controller. It is safe for concurrent
// use.
type Publisher struct {
	dispatcher string
	source     Source

	mu       sync.Mutex
	encoders map[string]*Encoder // by leader
}

// NewPublisher returns a publisher of a dispatcher's views.
func NewPublisher(dispatcher string, source Source) *Publisher {
	return &Publisher{dispatcher: dispatcher, source: source, encoders: map[string]*Encoder{}}
}

// CollectChanges passes the changes since the last call to the streams to the given leaders, and
// ends streams to other ones. Without leaders it makes no views, since each view requires
// computing a wait matrix.
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

// Next returns the message to be sent to a leader now, or nil if nothing is to be sent
// or there is no stream to that leader. It returns the same frame until
// HandleReply is called with a reply that acknowledges it or requires a new stream.
func (p *Publisher) Next(nowMs int64, leader string) *Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	encoder := p.encoders[leader]
	if encoder == nil {
		return nil
	}
	return encoder.Next(nowMs, p.source)
}

// HandleReply processes a leader's reply and reports whether another message should be sent at
// once.
func (p *Publisher) HandleReply(nowMs int64, leader string, r Reply) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	encoder := p.encoders[leader]
	return encoder != nil && encoder.HandleReply(nowMs, r)
}
