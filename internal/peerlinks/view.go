package peerlinks

import (
	"sync/atomic"
	"time"

	"github.com/wallrack/wallrack/internal/reachability"
)

// viewCacheTime is the time for which a view is reused.
const viewCacheTime = 100 * time.Millisecond

// View provides this controller's view of the links between controllers, workers and the state
// service. It is safe for concurrent use.
type View struct {
	table  *reachability.Table
	status *Status
	cached atomic.Pointer[cachedView]
}

type cachedView struct {
	reachability.View
	at time.Time
}

// Now returns the present view, at most viewCacheTime old. The caller must not modify it.
func (v *View) Now() *reachability.View {
	now := time.Now()
	if cached := v.cached.Load(); cached != nil && now.Sub(cached.at) < viewCacheTime {
		return &cached.View
	}
	cached := &cachedView{v.table.View(v.status.Current(now), now), now}
	v.cached.Store(cached)
	return &cached.View
}

// Invalidate makes the next call of Now compute a new view.
func (v *View) Invalidate() { v.cached.Store(nil) }
