package peerlinks

import (
	"sync/atomic"
	"time"

	"github.com/wallrack/wallrack/internal/reachability"
)

// viewCacheTime is how long a view is used before it is made anew.
const viewCacheTime = 100 * time.Millisecond

// View is this controller's view of the links between controllers, workers and the state
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

// Now returns the links as they are seen here now. The view must not be changed.
func (v *View) Now() *reachability.View {
	now := time.Now()
	if cached := v.cached.Load(); cached != nil && now.Sub(cached.at) < viewCacheTime {
		return &cached.View
	}
	cached := &cachedView{v.table.View(v.status.Current(now), now), now}
	v.cached.Store(cached)
	return &cached.View
}

// Invalidate has the next view made afresh.
func (v *View) Invalidate() { v.cached.Store(nil) }
