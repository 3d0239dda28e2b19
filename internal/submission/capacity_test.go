package submission_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/capacity"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/submission"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// newMux returns the handler of a site with the given number of teams, of which the last submits.
func newMux(tb testing.TB, teams int) *http.ServeMux {
	s := &stub{View: &testkit.View{Store: testkit.NewStore()}, healthy: true, types: []wire.MachineType{{Name: "m", CPUs: 4, MemoryGB: 8, Zones: []string{"z"}}}}
	cfg := &config.Platform{Node: "a"}
	for i := range teams - 1 {
		cfg.Params.Teams = append(cfg.Params.Teams, config.Team{Name: fmt.Sprintf("team-%03d", i), CPUsMax: 8})
	}
	cfg.Params.Teams = append(cfg.Params.Teams, config.Team{Name: "t", CPUsMax: 8})
	op, err := config.LoadOperator("")
	if err != nil {
		tb.Fatal(err)
	}
	mux := http.NewServeMux()
	submission.New(submission.Options{Platform: cfg, Operator: op, Store: s, Jobs: s, Catalog: s, Peers: s, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}).Register(mux)
	return mux
}

// submit submits a job. A repeated submission takes the same path up to the state service.
func submit(tb testing.TB, mux *http.ServeMux, number int) {
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/api/jobs", strings.NewReader(strings.Replace(job, "j-7", fmt.Sprintf("j-%06d", number), 1))))
	if w.Code/100 != 2 {
		tb.Fatalf("submission: %d", w.Code)
	}
}

// connectionMemory returns the bytes of heap and stacks used by both ends of users' connections
// that have each made a request.
func connectionMemory(tb testing.TB, connections int) float64 {
	srv := httptest.NewServer(newMux(tb, 1))
	defer srv.Close()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	open := make([]net.Conn, 0, connections)
	for range connections {
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		if err != nil {
			tb.Fatal(err)
		}
		open = append(open, conn)
		if _, err := io.WriteString(conn, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			tb.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			tb.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body) // drains the body
		_ = resp.Body.Close()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for _, conn := range open {
		_ = conn.Close()
	}
	return float64(after.HeapAlloc+after.StackInuse) - float64(before.HeapAlloc+before.StackInuse)
}

var capacitySeries = []capacity.Series{
	{Name: "submission.allocsOfSubmission", Sizes: []int{50, 100, 200, 400}, FixedSlack: 3, Measure: func(tb testing.TB, teams int) float64 {
		mux := newMux(tb, teams)
		submit(tb, mux, 1)
		return testing.AllocsPerRun(100, func() { submit(tb, mux, 1) })
	}},
	{Name: "submission.submission", Noisy: true, Sizes: []int{50, 100, 200, 400}, Measure: func(tb testing.TB, teams int) float64 {
		mux, number := newMux(tb, teams), 0
		return capacity.ProcessorTime(tb, func() { number++; submit(tb, mux, number) })
	}},
	{Name: "submission.connections", Noisy: true, Sizes: []int{100, 200, 400, 800}, Measure: connectionMemory},
}

func TestCapacity(t *testing.T)      { capacity.Check(t, capacitySeries...) }
func BenchmarkCapacity(b *testing.B) { capacity.Bench(b, capacitySeries...) }
