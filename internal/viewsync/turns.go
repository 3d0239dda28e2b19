package viewsync

import "sync"

// SendSlots lets one message be under way to each leader. The zero value is ready for use. It is
// safe for concurrent use.
type SendSlots struct {
	mu       sync.Mutex
	inFlight map[string]bool
}

// TryAcquire takes the turn for a leader; false if a message to it is under way. Each that it took is
// ended by End.
func (t *SendSlots) TryAcquire(leader string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[leader] {
		return false
	}
	if t.inFlight == nil {
		t.inFlight = map[string]bool{}
	}
	t.inFlight[leader] = true
	return true
}

// Release gives the turn back.
func (t *SendSlots) Release(leader string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, leader)
}
