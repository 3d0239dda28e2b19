package viewsync

import "sync"

// SendSlots allows one message in flight to each leader. The zero value is ready for use. It is
// safe for concurrent use.
type SendSlots struct {
	mu       sync.Mutex
	inFlight map[string]bool // by leader
}

// TryAcquire reserves the slot of a leader. It returns false if a message to that leader is in
// flight. After true, the caller must call Release.
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

// Release frees the slot of a leader.
func (t *SendSlots) Release(leader string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, leader)
}
