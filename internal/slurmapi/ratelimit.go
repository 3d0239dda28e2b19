package slurmapi

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// rateLimiter admits so many requests a second. Each refused one is to retry a little later
// than the one before, so that they don't all return at once. It is safe for concurrent use.
type rateLimiter struct {
	mu      sync.Mutex
	perS    float64
	limit   *rate.Limiter
	waiting float64   // refused requests whose retry is still to come
	updated time.Time // when waiting was
}

const (
	maxRetryAfter = 30 * time.Second
	burstS        = 2 // of the rate that may come at once
)

func newRateLimiter(perS float64) *rateLimiter {
	return &rateLimiter{perS: perS, limit: rate.NewLimiter(rate.Limit(perS), int(max(1, math.Ceil(burstS*perS))))}
}

// allow reports whether a request is admitted now, or in how many seconds to retry.
func (l *rateLimiter) allow(now time.Time) (retryAfterS int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = max(0, l.waiting-now.Sub(l.updated).Seconds()*l.perS)
	l.updated = now
	if l.limit.AllowN(now, 1) {
		return 0, true
	}
	l.waiting = min(l.waiting+1, maxRetryAfter.Seconds()*l.perS)
	return max(1, int(math.Ceil(l.waiting/l.perS))), false
}
