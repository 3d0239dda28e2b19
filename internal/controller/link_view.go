package controller

import (
	"sync/atomic"
	"time"

	"github.com/wallrack/wallrack/internal/reachability"
)

// viewFor is how long a view is used before it is made anew.
const viewFor = 100 * time.Millisecond

// linkView is this controller's view of the links between controllers, workers and the state
// service. It is safe for concurrent use.
type linkView struct {
	table  *reachability.Table
	status *nodeStatus
	cached atomic.Pointer[cachedView]
}

type cachedView struct {
	reachability.View
	at time.Time
}

// now returns the links as they are seen here now. The view must not be changed.
func (l *linkView) now() *reachability.View {
	now := time.Now()
	if v := l.cached.Load(); v != nil && now.Sub(v.at) < viewFor {
		return &v.View
	}
	v := &cachedView{l.table.View(l.status.current(now), now), now}
	l.cached.Store(v)
	return &v.View
}

// invalidate has the next view made afresh.
func (l *linkView) invalidate() { l.cached.Store(nil) }
