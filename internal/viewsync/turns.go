package viewsync

import "sync"

// Turns lets one message be under way to each owner. The zero value is ready for use.
type Turns struct {
	mu    sync.Mutex
	taken map[string]bool
}

// Begin takes the turn for an owner; false if a message to it is under way.
func (t *Turns) Begin(owner string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.taken[owner] {
		return false
	}
	if t.taken == nil {
		t.taken = map[string]bool{}
	}
	t.taken[owner] = true
	return true
}

// End gives the turn back.
func (t *Turns) End(owner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.taken, owner)
}
