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

// RateLimits bounds the requests of all clients of a service together; bursts of one second's
// worth are accepted, as the protocol says. A nil budget bounds nothing.
type RateLimits struct{ requests, writes *rate.Limiter }

// NewRateLimits returns a budget of rps requests, and writeRPS puts and deletes, a second.
func NewRateLimits(rps, writeRPS float64) *RateLimits {
	return &RateLimits{rate.NewLimiter(rate.Limit(rps), max(1, int(rps))), rate.NewLimiter(rate.Limit(writeRPS), max(1, int(writeRPS)))}
}

// RequestCounts counts the requests of one client of a service. Writes are puts and deletes, of
// transactions that the budget had room for; Refused are those over the budget.
type RequestCounts struct {
	Reads, Watches, Writes, Transactions, Refused atomic.Int64
}

// meter is what a request is counted and bounded by.
type meter struct {
	limits *RateLimits
	counts *RequestCounts
}

// meterKey is the key of a request's meter in its context.
type meterKey struct{}

// Metered serves one client of a service: after a latency, within the budget that it
// shares with the others, and counted. A request over the budget gets status 429.
func Metered(service http.Handler, latency time.Duration, budget *RateLimits, counts *RequestCounts) http.Handler {
	m := &meter{budget, counts}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(latency)
		if budget != nil && !budget.requests.Allow() {
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

// allowWrites counts a transaction's puts and deletes, failed conditions or not, and
// reports whether the budget has room for them.
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
