package client_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
	"github.com/wallrack/wallrack/internal/wire"
)

// requests is a server that records each request and sends a response that is valid for all of them.
type requests struct {
	mu   sync.Mutex
	text strings.Builder
}

func (r *requests) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body) // a partial body fails the comparison
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.text, "%s %s\n\t%s\n", req.Method, req.RequestURI, body)
	_, _ = io.WriteString(w, `{"uid":"j-1","stage":"done","first":7}`) // an error means that the client disconnected
}

// The paths, queries and bodies of a client's requests must not change.
func TestRecordedRequests(t *testing.T) {
	r := &requests{}
	srv := httptest.NewServer(r)
	defer srv.Close()
	c, ctx := client.New(srv.URL), t.Context()
	var job wire.Job
	var constraints jobspec.Constraints
	var description taskspec.Spec
	recorded.Fill(&job)
	recorded.Fill(&constraints)
	recorded.Fill(&description)
	job.UID = "j-1"
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Error(err)
		}
	}
	_, err := c.Submit(ctx, &job, &description)
	check(err)
	_, err = c.SubmitWithConstraints(ctx, &job, &constraints, &description, false)
	check(err)
	_, err = c.SubmitWithConstraints(ctx, &job, &constraints, &description, true)
	check(err)
	_, err = c.SubmitDescribed(ctx, &wire.Job{UID: "j-plain"})
	check(err)
	_, err = c.Status(ctx, "j-1")
	check(err)
	_, err = c.Cancel(ctx, "j-1")
	check(err)
	_, err = c.Get(ctx, "/ops/stats")
	check(err)
	_, err = c.Site(ctx)
	check(err)
	_, err = c.ReserveNumbers(ctx, 3)
	check(err)
	_, err = c.JobByNumber(ctx, 7)
	check(err)
	_, err = c.Info(ctx, "j-1")
	check(err)
	check(c.Jobs(ctx, func(*jobquery.Page) error { return nil }))
	check(c.ApplyVerb(ctx, "j-1", "hold"))
	check(c.CancelTasks(ctx, "j-1", jobspec.RangesOf([]int{0, 1, 4})))
	check(c.AccountingRows(ctx, time.Date(2026, 7, 3, 12, 0, 0, 0, time.UTC), func(*accounting.Row) {}))
	recorded.Compare(t, "requests.txt", []byte(r.text.String()))
}
