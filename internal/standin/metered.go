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

// Budget bounds the requests of all clients of a service together; bursts of one second's
// worth are accepted, as the protocol says. A nil budget bounds nothing.
type Budget struct{ requests, writes *rate.Limiter }

// NewBudget returns a budget of rps requests, and writeRPS puts and deletes, a second.
func NewBudget(rps, writeRPS float64) *Budget {
	return &Budget{rate.NewLimiter(rate.Limit(rps), max(1, int(rps))), rate.NewLimiter(rate.Limit(writeRPS), max(1, int(writeRPS)))}
}

// Counts counts the requests of one client of a service. Writes are puts and deletes, of
// transactions that the budget had room for; Refused are those over the budget.
type Counts struct {
	Reads, Watches, Writes, Transactions, Refused atomic.Int64
}

// meter is what a request is counted and bounded by.
type meter struct {
	budget *Budget
	counts *Counts
}

// meterKey is the key of a request's meter in its context.
type meterKey struct{}

// Metered serves one client of a service: after a latency, within the budget that it
// shares with the others, and counted. A request over the budget gets status 429.
func Metered(service http.Handler, latency time.Duration, budget *Budget, counts *Counts) http.Handler {
	m := &meter{budget, counts}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(latency)
		if budget != nil && !budget.requests.Allow() {
			counts.Refused.Add(1)
			overBudget(w)
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

// mayWrite counts a transaction's puts and deletes, failed conditions or not, and
// reports whether the budget has room for them.
func mayWrite(ctx context.Context, ops int) bool {
	m, ok := ctx.Value(meterKey{}).(*meter)
	if !ok {
		return true // not metered
	}
	if m.budget != nil && !m.budget.writes.AllowN(time.Now(), ops) {
		m.counts.Refused.Add(1)
		return false
	}
	m.counts.Transactions.Add(1)
	m.counts.Writes.Add(int64(ops))
	return true
}

func overBudget(w http.ResponseWriter) {
	httpjson.Write(w, http.StatusTooManyRequests, wire.Problem{Error: "too many requests"})
}
