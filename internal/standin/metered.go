package standin

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/wire"
)

// RateLimits limits the rate of requests of all clients of a service together. Bursts of as many
// requests as are allowed in one second are accepted, as in the protocol. A nil *RateLimits imposes
// no limit.
type RateLimits struct{ requests, writes *rate.Limiter }

// NewRateLimits returns limits of rps requests per second, and of writeRPS puts and deletes per
// second.
func NewRateLimits(rps, writeRPS float64) *RateLimits {
	return &RateLimits{rate.NewLimiter(rate.Limit(rps), max(1, int(rps))), rate.NewLimiter(rate.Limit(writeRPS), max(1, int(writeRPS)))}
}

// RequestCounts counts the requests of one client of a service. Transactions counts the transactions
// within the rate limits, and Writes their puts and deletes. Refused counts the requests above the
// limits.
type RequestCounts struct {
	Reads, Watches, Writes, Transactions, Refused atomic.Int64
}

// meter holds the limits and the counters that apply to a request.
type meter struct {
	limits *RateLimits
	counts *RequestCounts
}

// meterKey is the context key of a request's meter.
type meterKey struct{}

// Metered returns a handler for one client of a service. It delays each request by latency,
// applies the rate limits that all clients share, and counts the requests in counts. A request
// above the limits gets status 429.
func Metered(service http.Handler, latency time.Duration, limits *RateLimits, counts *RequestCounts) http.Handler {
	m := &meter{limits, counts}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(latency)
		if limits != nil && !limits.requests.Allow() {
			counts.Refused.Add(1)
			writeTooManyRequests(w)
			return
		}
		switch {
		case strings.HasPrefix(r.URL.Path, "/follow"):
			counts.Watches.Add(1)
		case r.Method == http.MethodGet:
			counts.Reads.Add(1)
		}
		service.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), meterKey{}, m)))
	})
}

// allowWrites reports whether the rate limits allow a transaction with ops puts and deletes. Without
// Metered every transaction is allowed, and nothing is counted. An allowed transaction is counted
// even if its conditions fail later. One that is not allowed is counted as a refused request.
func allowWrites(ctx context.Context, ops int) bool {
	m, ok := ctx.Value(meterKey{}).(*meter)
	if !ok {
		return true // not metered
	}
	if m.limits != nil && !m.limits.writes.AllowN(time.Now(), ops) {
		m.counts.Refused.Add(1)
		return false
	}
	m.counts.Transactions.Add(1)
	m.counts.Writes.Add(int64(ops))
	return true
}

func writeTooManyRequests(w http.ResponseWriter) {
	httpjson.Write(w, http.StatusTooManyRequests, wire.Problem{Error: "too many requests"})
}
