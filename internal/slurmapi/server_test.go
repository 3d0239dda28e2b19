package slurmapi_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/slurmapi"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/submission"
	"github.com/wallrack/wallrack/internal/wire"
)

// fakeServices implements all interfaces that a server uses.
type fakeServices struct {
	keys         []string // of the accounting pages, sorted
	pages        map[string]string
	maxPageItems int // largest number of pages that one call of Page returned
	jobs         []jobquery.Info
	listCalls    int
	leads        bool
}

func (s *fakeServices) Get(context.Context, string) (wire.Item, error) {
	return wire.Item{}, statestore.ErrNotFound
}

func (s *fakeServices) Txn(context.Context, []wire.Guard, ...wire.Op) (uint64, error) { return 1, nil }

func (s *fakeServices) Page(_ context.Context, prefix, after string, limit int) ([]wire.Item, bool, error) {
	next := sort.SearchStrings(s.keys, max(after+"\x00", prefix))
	var out []wire.Item
	for ; next < len(s.keys) && len(out) < limit && strings.HasPrefix(s.keys[next], prefix); next++ {
		data, _ := json.Marshal(s.pages[s.keys[next]])
		out = append(out, wire.Item{Key: s.keys[next], Value: data})
	}
	s.maxPageItems = max(s.maxPageItems, len(out))
	return out, next < len(s.keys) && strings.HasPrefix(s.keys[next], prefix), nil
}

func (s *fakeServices) ListJobs(jobquery.Cursor, int) ([]jobquery.Info, *jobquery.Cursor) {
	s.listCalls++
	return s.jobs, nil
}
func (s *fakeServices) LocalJobInfo(string) (jobquery.Info, bool) { return jobquery.Info{}, false }
func (s *fakeServices) Hold(context.Context, string, bool) error  { return statestore.ErrUnknown }
func (s *fakeServices) CancelTasks(context.Context, string, jobspec.Ranges) error {
	return scheduler.ErrInvalidRequest
}
func (s *fakeServices) Leads() bool             { return s.leads }
func (s *fakeServices) ShardLeaders() []string  { return nil }
func (s *fakeServices) All() []wire.MachineType { return nil }
func (s *fakeServices) Submit(context.Context, submission.Request) submission.Reply {
	return submission.Reply{}
}

func (s *fakeServices) QueryLeader(context.Context, string, slurmapi.Request) (*slurmapi.Reply, error) {
	return nil, errors.New("peer unreachable")
}

func (s *fakeServices) handler(perS float64) http.Handler {
	s.leads = true
	mux := http.NewServeMux()
	set := &slurmapi.Settings{ClusterName: "c", ListingsPerS: perS}
	slurmapi.New(set, &config.Platform{}, s, s, jobid.New(s), s, s, s, slog.New(slog.NewTextHandler(io.Discard, nil))).Register(mux)
	return mux
}

// Listings are served at the configured rate. The Retry-After times of rejected requests are spread
// over time, because simultaneous retries would exceed the rate again.
func TestListingsBeyondTheRateLimitRetryOneAfterAnother(t *testing.T) {
	s := &fakeServices{}
	handler := s.handler(5)
	served, last, countByDelay := 0, 0, map[int]int{}
	for range 500 {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/slurm/jobs", nil))
		switch w.Code {
		case http.StatusOK:
			served++
		case http.StatusTooManyRequests:
			retryS, err := strconv.Atoi(w.Header().Get("Retry-After"))
			if err != nil || retryS < last || retryS > 30 {
				t.Fatalf("retry in %d s after %d s: %v", retryS, last, err)
			}
			last = retryS
			countByDelay[retryS]++
		default:
			t.Fatalf("status %d", w.Code)
		}
	}
	if served < 10 || served > 15 || s.listCalls != served || last != 30 {
		t.Errorf("%d served with %d listings, the last retries in %d s", served, s.listCalls, last)
	}
	for retryS, n := range countByDelay {
		if retryS < 30 && n > 6 {
			t.Errorf("%d are to retry in %d s", n, retryS)
		}
	}
}

// The status is 503 for an unknown outcome, 422 for an invalid request and 404 for an unknown job.
func TestResponseStatuses(t *testing.T) {
	s := &fakeServices{}
	handler := s.handler(1000)
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"GET", "/slurm/numbers/7", "", 404},
		{"GET", "/slurm/numbers/x", "", 404},
		{"GET", "/slurm/jobs/j-1", "", 404},
		{"GET", "/slurm/jobs/..%2f", "", 404},
		{"POST", "/slurm/jobs/j-1/hold", "", 503},
		{"POST", "/slurm/jobs/j-1/drop", `{"tasks":"0-3"}`, 422},
		{"POST", "/slurm/jobs/j-1/drop", `{"tasks":"3-0"}`, 400},
		{"POST", "/slurm/jobs", `{`, 400},
		{"POST", "/slurm/jobs", `{"job":{}}`, 400},
		{"POST", "/slurm/jobs", `{"job":{},"terms":{"n":1}}`, 503},
		{"POST", "/slurm/numbers", `{"count":0}`, 400},
		{"POST", "/slurm/numbers", `{"count":3}`, 200},
		{"GET", "/accounting/20261301", "", 400},
		{"GET", "/accounting/20261201", "", 200},
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		if w.Code != c.status || c.status == 503 && w.Header().Get("Retry-After") == "" {
			t.Errorf("%s %s %s: %d, not %d: %s", c.method, c.path, c.body, w.Code, c.status, w.Body)
		}
	}
	s.leads = false
	w := httptest.NewRecorder()
	if handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/slurm/jobs", nil)); w.Code != 503 {
		t.Errorf("a listing while no controller leads jobs: %d", w.Code)
	}
}

func TestSettingsErrorsNameTheKey(t *testing.T) {
	for text, want := range map[string]string{
		`(slurm (cluster "c") (accounting on) (listings-per-s 2.5))`: "",
		`(slurm)`:                                  "",
		`(slurm (accounting yes))`:                 "accounting: on or off is needed",
		`(slurm (listings-per-s 0))`:               "listings-per-s: 0 is outside 0.1 to 1000",
		`(slurm (cluster ""))`:                     "cluster: a text of 1 to 100 bytes is needed",
		`(slurm (bogus 1))`:                        "bogus: unknown key",
		`(slurm (accounting on) (accounting off))`: "accounting: given twice",
		`(slurm accounting)`:                       "entry 1: expected (key value)",
	} {
		_, err := slurmapi.ParseSettings([]byte(text))
		if got := fmt.Sprint(err); err == nil && want != "" || err != nil && got != want {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// addAccountingPages stores pages with the given number of rows for a day.
func (s *fakeServices) addAccountingPages(tb testing.TB, day time.Time, rows int) {
	if s.pages == nil {
		s.pages = map[string]string{}
	}
	builder := accounting.NewPageBuilder(uint64(len(s.keys)+1), 14<<10)
	var batch []accounting.Row
	for i := range rows {
		start := day.UnixMilli() + int64(i%86_000)*1000
		batch = append(batch, accounting.Row{
			Kind: accounting.RowAttempt, UID: fmt.Sprintf("j-%06d", i/10), Number: uint64(i / 10 * 100), Task: uint32(i % 10), Attempt: 1,
			State: "COMPLETED", Start: start, End: start + int64(i*7919%90_000), Worker: fmt.Sprintf("n-%06d", i*31%1300), CPUs: 2, MemoryGB: 4, Useful: true, Price: 0.37,
		})
		if len(batch) < 60 && i < rows-1 {
			continue
		}
		w, err := builder.Add(batch, day)
		if err != nil {
			tb.Fatal(err)
		}
		if _, there := s.pages[w.Key]; !there {
			s.keys = append(s.keys, w.Key)
		}
		s.pages[w.Key] = w.Value
		builder.Applied(w, uint64(i+1))
		batch = batch[:0]
	}
	sort.Strings(s.keys)
}

// BenchmarkDay reads the accounting of one day over HTTP, from a store with a million rows.
func BenchmarkDay(b *testing.B) {
	for _, rows := range []int{100_000, 1_000_000} {
		b.Run(fmt.Sprint(rows), func(b *testing.B) {
			s := &fakeServices{}
			day := time.Date(2026, 11, 1, 0, 0, 0, 0, time.UTC)
			for d := range 1_000_000 / rows {
				s.addAccountingPages(b, day.AddDate(0, 0, d), rows)
			}
			srv := httptest.NewServer(s.handler(1000))
			defer srv.Close()
			c := client.New(srv.URL)
			for b.Loop() {
				n := 0
				if err := c.AccountingRows(b.Context(), day, func(*accounting.Row) { n++ }); err != nil || n != rows {
					b.Fatal(n, err)
				}
			}
			b.ReportMetric(float64(s.maxPageItems), "pages/answer")
		})
	}
}

// The exact bodies of responses to clients.
func TestRecordedResponses(t *testing.T) {
	s := &fakeServices{jobs: []jobquery.Info{{Job: wire.Job{UID: "j-1"}, Constraints: &jobspec.Constraints{Number: 4}, Stage: wire.StageQueued}}}
	s.keys, s.pages = []string{"acct/20261130/7-1"}, map[string]string{"acct/20261130/7-1": "1:AAAA"}
	handler := s.handler(1000)
	const job = `{"job":{"uid":"j-1","docket":"","crew":"","sort":"","urgency":"","pieces":0,"cpus":0,"cards":0,"memoryGb":0,"kit":"","pullGb":0,"reckonS":0},` +
		`"terms":{"n":4},"at":0,"stage":"queued","queued":0,"running":0,"done":0}`
	for _, c := range []struct{ method, path, body, want string }{
		{"GET", "/slurm/jobs", "", "{\"jobs\":[\n" + job + "\n],\"next\":null,\"now\":NOW}\n"},
		{"GET", "/accounting/20261130", "", "{\"pages\":[\n\"1:AAAA\"\n],\"next\":\"\"}\n"},
		{"POST", "/slurm/numbers", `{"count":3}`, `{"uid":"","first":1,"tasks":3}`},
		{"GET", "/slurm/jobs/j-2", "", `{"error":"no such job"}`},
		{"POST", "/slurm/jobs/j-1/drop", `{"tasks":"0-3"}`, `{"error":"can't be done"}`},
		{"GET", "/slurm/site", "", `{"cluster":"c","accounting":false,"partition":"","account":"","partitions":null,"accounts":null,"zones":null,"types":null}`},
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		got := nowField.ReplaceAllString(w.Body.String(), `"now":NOW`)
		got = strings.Replace(got, `"now":NOW,"next":null`, `"next":null,"now":NOW`, 1) // the fields may be in either order
		if got != c.want {
			t.Errorf("%s %s %s: %q, want %q", c.method, c.path, c.body, got, c.want)
		}
	}
}

var nowField = regexp.MustCompile(`"now":[0-9]+`)
