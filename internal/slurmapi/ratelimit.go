package slurmapi

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// rateLimiter admits perS requests per second, and bursts of as many as burstSeconds permit. The
// retry delay grows with the number of rejected requests that have not been retried yet, so that the
// clients don't all retry at the same time. It is safe for concurrent use.
type rateLimiter struct {
	mu             sync.Mutex
	perS           float64
	limit          *rate.Limiter
	pendingRetries float64   // estimated number of rejected requests that have not been retried yet
	updatedAt      time.Time // time of the last update of pendingRetries
}

const (
	maxRetryAfter = 30 * time.Second
	burstSeconds  = 2 // burst size, in seconds of the permitted rate
)

func newRateLimiter(perS float64) *rateLimiter {
	return &rateLimiter{perS: perS, limit: rate.NewLimiter(rate.Limit(perS), int(max(1, math.Ceil(burstSeconds*perS))))}
}

// allow reports whether a request is admitted now and, if not, after how many seconds the client
// should retry: at least 1 s, at most maxRetryAfter.
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
