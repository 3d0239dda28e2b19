package statestore_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/capacity"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// transaction measures a transaction of so many changes, of 200 bytes each: its request
// and answer in bytes, and the processor time of both ends.
func transaction(tb testing.TB, changes int, measure func(call func()) float64) (bytes, time float64) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body) // a broken body shows in the sum
		const answer = `{"ledger":431}`
		bytes = float64(n) + float64(len(answer))
		_, _ = io.WriteString(w, answer)
	}))
	defer srv.Close()
	client := statestore.New(strings.TrimPrefix(srv.URL, "http://"), 1e6, 1e6, 48)
	ops := make([]wire.Op, changes)
	guards := make([]wire.Guard, changes)
	for i := range ops {
		ops[i] = wire.Op{Put: "live/j-000400", Value: strings.Repeat("v", 200)}
		guards[i] = wire.Guard{Key: "live/j-000400", Version: 10_000}
	}
	time = measure(func() {
		if _, err := client.Txn(context.Background(), guards, ops...); err != nil {
			tb.Fatal(err)
		}
	})
	return bytes, time
}

var capacitySeries = []capacity.Series{
	{Name: "statestore.bytesOfChanges", Sizes: []int{1, 4, 12, 48}, Measure: func(tb testing.TB, changes int) float64 {
		bytes, _ := transaction(tb, changes, func(call func()) float64 { call(); return 0 })
		return bytes
	}},
	{Name: "statestore.changes", Scatters: true, Sizes: []int{1, 4, 12, 48}, Measure: func(tb testing.TB, changes int) float64 {
		_, time := transaction(tb, changes, func(call func()) float64 { return capacity.ProcessorTime(tb, call) })
		return time
	}},
}

func TestCapacity(t *testing.T)      { capacity.Check(t, capacitySeries...) }
func BenchmarkCapacity(b *testing.B) { capacity.Bench(b, capacitySeries...) }
