package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// With a filter, scancel cancels a whole job if all its tasks match, else the matching tasks. If the
// listing is incomplete, nothing is cancelled.
func TestFilteredCancelRequiresCompleteListing(t *testing.T) {
	job := func(uid string, number uint64, tasks int, waiting string, on ...jobquery.Placement) jobquery.Info {
		return jobquery.Info{Job: wire.Job{UID: uid, Tasks: tasks}, Constraints: &jobspec.Constraints{Number: number}, Stage: wire.StageQueued, PendingTasks: waiting, Placements: on}
	}
	running := jobquery.Placement{Task: 0, Attempt: 1, Worker: "m", StartMs: 5}
	first := jobquery.Page{
		Next: &jobquery.Cursor{Number: 40}, NowMs: 1000,
		Jobs: []jobquery.Info{job("j-all", 10, 1, "0"), job("j-part", 20, 3, "1-2", running), job("j-none", 30, 1, "", running)},
	}
	last := jobquery.Page{NowMs: 1000, Jobs: []jobquery.Info{job("j-last", 40, 1, "0")}}
	listingFails := false
	var cancels []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			body, _ := io.ReadAll(r.Body) // a partial body fails the comparison
			cancels = append(cancels, strings.TrimSpace(r.URL.Path+" "+string(body)))
			httpjson.Write(w, http.StatusOK, wire.JobState{Stage: wire.StageCancelled})
		case r.URL.Query().Get("number") == "0":
			httpjson.Write(w, http.StatusOK, first)
		case listingFails:
			httpjson.Write(w, http.StatusUnprocessableEntity, wire.Problem{Error: "no"})
		default:
			httpjson.Write(w, http.StatusOK, last)
		}
	}))
	defer srv.Close()
	if out, err := runCommand(t, srv.URL, "scancel", "-t", "PENDING"); err != nil || out != "" {
		t.Fatalf("%v, printed %q", err, out)
	}
	if want := []string{"/api/jobs/j-all/cancel", `/slurm/jobs/j-part/drop {"tasks":"1-2"}`, "/api/jobs/j-last/cancel"}; !slices.Equal(cancels, want) {
		t.Errorf("cancels are %q, not %q", cancels, want)
	}
	listingFails, cancels = true, nil
	if _, err := runCommand(t, srv.URL, "scancel", "-t", "PENDING"); err == nil || !strings.Contains(err.Error(), "none was cancelled") || len(cancels) > 0 {
		t.Errorf("an incomplete listing: %v, cancels are %q", err, cancels)
	}
}
