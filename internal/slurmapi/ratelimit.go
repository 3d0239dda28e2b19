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
	mu             sync.Mutex
	perS           float64
	limit          *rate.Limiter
	pendingRetries float64   // refused requests whose retry is still to come
	updatedAt      time.Time // when waiting was
}

const (
	maxRetryAfter = 30 * time.Second
	burstSeconds  = 2 // of the rate that may come at once
)

func newRateLimiter(perS float64) *rateLimiter {
	return &rateLimiter{perS: perS, limit: rate.NewLimiter(rate.Limit(perS), int(max(1, math.Ceil(burstSeconds*perS))))}
}

// allow reports whether a request is admitted now, or in how many seconds to retry.
func (l *rateLimiter) allow(now time.Time) (retryAfterS int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingRetries = max(0, l.pendingRetries-now.Sub(l.updatedAt).Seconds()*l.perS)
	l.updatedAt = now
	if l.limit.AllowN(now, 1) {
		return 0, true
	}
	l.pendingRetries = min(l.pendingRetries+1, maxRetryAfter.Seconds()*l.perS)
	return max(1, int(math.Ceil(l.pendingRetries/l.perS))), false
}
