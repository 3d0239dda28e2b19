package desk

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// gate lets so many requests a second in and tells the others when to come back:
// each refused one a little later than the one before, so that they return in
// order and not all at once.
type gate struct {
	mu      sync.Mutex
	perS    float64
	limit   *rate.Limiter
	waiting float64 // refused requests that are expected back
	at      time.Time
}

const (
	maxBack    = 30 * time.Second
	gateBursts = 2 // seconds' worth that may come at once
)

func newGate(perS float64) *gate {
	return &gate{perS: perS, limit: rate.NewLimiter(rate.Limit(perS), int(max(1, math.Ceil(gateBursts*perS))))}
}

// enter reports whether a request may go on, or in how many seconds to come back.
func (g *gate) enter(now time.Time) (backS int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = max(0, g.waiting-now.Sub(g.at).Seconds()*g.perS)
	g.at = now
	if g.limit.AllowN(now, 1) {
		return 0, true
	}
	g.waiting = min(g.waiting+1, maxBack.Seconds()*g.perS)
	return max(1, int(math.Ceil(g.waiting/g.perS))), false
}
