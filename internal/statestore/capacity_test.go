package statestore_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/capacity"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// measureTransaction measures a transaction of a number of changes of 200 bytes each: the size of
// its request and response in bytes, and the processor time of both ends.
func measureTransaction(tb testing.TB, changes int, measure func(call func()) float64) (bytes, time float64) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body) // a broken body shows in the sum
		const response = `{"ledger":431}`
		bytes = float64(n) + float64(len(response))
		_, _ = io.WriteString(w, response)
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

// watchRequests counts the requests of a watch that receives the given number of changes one
// by one.
func watchRequests(_ testing.TB, changes int) float64 {
	var opened atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/follow" {
			_, _ = io.WriteString(w, `{"rows":[],"ledger":1}`)
			return
		}
		n := opened.Add(1)
		if n > int64(changes) {
			cancel()
			<-r.Context().Done()
			return
		}
		_, _ = fmt.Fprintf(w, `{"ledger":%d,"log":[{"set":"live/j-1","data":{},"stamp":%d}]}`, n+1, n+1)
	}))
	defer srv.Close()
	client := statestore.New(strings.TrimPrefix(srv.URL, "http://"), 1e6, 1e6, 48)
	client.Watch(ctx, "live/", time.Second, func([]wire.Item) {}, func([]wire.Event) {})
	return float64(opened.Load())
}

// pacedDuration is the simulated time for which a paced watch is measured.
const pacedDuration = 10 * time.Second

// pacedWatchRequests counts the requests of a paced watch while the given number of changes is made
// per second.
func pacedWatchRequests(_ testing.TB, changes int) (requests float64) {
	gap := time.Second / time.Duration(changes)
	gaps := slices.Repeat([]time.Duration{gap}, int(pacedDuration/gap))
	pacing := statestore.Pacing{Burst: 4, Pause: func() time.Duration { return 200 * time.Millisecond }}
	synctest.Test(&testing.T{}, func(*testing.T) {
		store, _ := watchChanges(pacing, gaps)
		requests = float64(len(store.opened))
	})
	return requests
}

var capacitySeries = []capacity.Series{
	{Name: "statestore.bytesOfChanges", Sizes: []int{1, 4, 12, 48}, Measure: func(tb testing.TB, changes int) float64 {
		bytes, _ := measureTransaction(tb, changes, func(call func()) float64 { call(); return 0 })
		return bytes
	}},
	{Name: "statestore.requestsOfWatch", Sizes: []int{5, 10, 20, 40}, Measure: watchRequests},
	{Name: "statestore.requestsOfPacedWatch", Sizes: []int{10, 25, 50, 100}, Measure: pacedWatchRequests},
	{Name: "statestore.changes", Noisy: true, Sizes: []int{1, 4, 12, 48}, Measure: func(tb testing.TB, changes int) float64 {
		_, time := measureTransaction(tb, changes, func(call func()) float64 { return capacity.ProcessorTime(tb, call) })
		return time
	}},
}

func TestCapacity(t *testing.T)      { capacity.Check(t, capacitySeries...) }
func BenchmarkCapacity(b *testing.B) { capacity.Bench(b, capacitySeries...) }
