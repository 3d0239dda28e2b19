package viewsync

import "sync"

// Turns lets one message be under way to each leader. The zero value is ready for use. It is
// safe for concurrent use.
type Turns struct {
	mu    sync.Mutex
	taken map[string]bool
}

// Begin takes the turn for a leader; false if a message to it is under way. Each that it took is
// ended by End.
func (t *Turns) Begin(leader string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.taken[leader] {
		return false
	}
	if t.taken == nil {
		t.taken = map[string]bool{}
	}
	t.taken[leader] = true
	return true
}

// End gives the turn back.
func (t *Turns) End(leader string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.taken, leader)
}
