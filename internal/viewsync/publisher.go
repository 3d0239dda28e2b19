package viewsync

import (
	"slices"
	"sync"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// Source is the holder whose views are published.
type Source interface {
	// HasWorkers reports whether any machine was heard within a lease.
	HasWorkers() bool
	// WorkerViews makes the views of all machines heard within a lease.
	WorkerViews() []dispatch.WorkerView
	// ChangedViews makes the views that changed since the last call, and names the machines
	// that are not known any more.
	ChangedViews() (views []dispatch.WorkerView, gone []string)
}

// Publisher keeps a stream to each owner elsewhere.
type Publisher struct {
	holder string
	source Source

	mu      sync.Mutex
	streams map[string]*Encoder
}

// NewPublisher returns the publisher of a holder's views.
func NewPublisher(holder string, source Source) *Publisher {
	return &Publisher{holder: holder, source: source, streams: map[string]*Encoder{}}
}

// Gather takes up what changed since the last call, for these owners. A view costs a
// matrix: none is made for nobody.
func (p *Publisher) Gather(nowMs int64, owners []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.streams {
		if !slices.Contains(owners, name) {
			delete(p.streams, name)
		}
	}
	for _, name := range owners {
		if p.streams[name] == nil {
			p.streams[name] = NewEncoder(p.holder)
		}
	}
	if len(owners) == 0 {
		return
	}
	changed, gone := p.source.ChangedViews()
	for _, e := range p.streams {
		e.Note(nowMs, changed, gone)
	}
}

// Next returns what is to be sent to an owner now, or nil. The answer must be given to
// Took, or the message is repeated.
func (p *Publisher) Next(nowMs int64, owner string) *Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.streams[owner]
	if e == nil {
		return nil
	}
	return e.Next(nowMs, p.source)
}

// Took handles an owner's reply, and reports whether there is more to be said at once.
func (p *Publisher) Took(nowMs int64, owner string, r Reply) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.streams[owner]
	return e != nil && e.Took(nowMs, r)
}
