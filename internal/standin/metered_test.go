package standin_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/standin"
)

// Two clients of an in-memory service share its rate limits, and their requests are counted
// separately.
func TestMeteredClientsShareRateLimits(t *testing.T) {
	state, err := standin.OpenState(nil, 8, 1)
	if err != nil {
		t.Fatal(err)
	}
	limits := standin.NewRateLimits(6, 3) // bursts of one second's worth; the test ends before the next request is allowed
	var counts [2]standin.RequestCounts
	clients := [2]http.Handler{standin.Metered(state.Handler(), 0, limits, &counts[0]), standin.Metered(state.Handler(), 0, limits, &counts[1])}
	request := func(client int, method, path, body string, want int) {
		t.Helper()
		w := httptest.NewRecorder()
		clients[client].ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		if w.Code != want {
			t.Errorf("%s %s %s: status %d, want %d", method, path, body, w.Code, want)
		}
	}
	write := func(keys ...string) string {
		ops := make([]string, 0, len(keys))
		for _, key := range keys {
			ops = append(ops, fmt.Sprintf(`{"set":%q,"data":1}`, key))
		}
		return `{"guards":[],"apply":[` + strings.Join(ops, ",") + `]}`
	}
	request(0, "POST", "/txn", write("a", "b"), http.StatusOK)
	request(1, "POST", "/txn", write("c", "d"), http.StatusTooManyRequests) // one write above the limit
	request(1, "POST", "/txn", write("c"), http.StatusOK)
	request(1, "GET", "/store/a", "", http.StatusOK)
	request(0, "GET", "/store/d", "", http.StatusNotFound)
	request(0, "GET", "/follow?after=9", "", http.StatusOK)
	request(0, "GET", "/store/a", "", http.StatusTooManyRequests) // one request above the limit
	for i, want := range []string{"1 1 2 1 1", "1 0 1 1 1"} {
		c := &counts[i]
		if got := fmt.Sprint(c.Reads.Load(), c.Watches.Load(), c.Writes.Load(), c.Transactions.Load(), c.Refused.Load()); got != want {
			t.Errorf("client %d: reads, watches, writes, transactions, refused: %s, want %s", i, got, want)
		}
	}
}
