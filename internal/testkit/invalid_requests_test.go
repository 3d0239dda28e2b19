package testkit_test

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/submission"
	"github.com/wallrack/wallrack/internal/wire"
)

// httpRequest sends an HTTP request to a controller, and returns the response's status and job state.
func (w *cluster) httpRequest(name, method, path, body string) (status int, state wire.JobState) {
	rec := httptest.NewRecorder()
	w.nodes[name].mux.ServeHTTP(rec, httptest.NewRequest(method, path, strings.NewReader(body)))
	_ = json.Unmarshal(rec.Body.Bytes(), &state) // an error response has no job state
	return rec.Code, state
}

// submissionBodyWith returns the body of a submission of one short task, with the given fields changed or left out.
func submissionBodyWith(uid string, change map[string]any) string {
	fields := map[string]any{
		"uid": uid, "docket": "c", "crew": "t", "sort": "sweep", "urgency": "normal", "pieces": 1, "cpus": 1, "cards": 0,
		"memoryGb": 1, "kit": "i", "pullGb": 0.1, "builds": nil, "yard": nil, "together": false, "apart": false, "loaners": true,
		"reckonS": 4, "markS": 0, "stashS": 0, "dueS": nil,
	}
	for name, value := range change {
		if fields[name] = value; value == absent {
			delete(fields, name)
		}
	}
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return string(body)
}

// absent as a field's value leaves the field out of the body.
const absent = "(absent)"

// submissionCase is a submission and the status of its response; 201 means that the job is accepted.
type submissionCase struct {
	name              string
	change            map[string]any
	status            int
	needsClusterState bool // the status depends on machine types or teams, not on the body alone
}

func submissionCases() (cases []submissionCase) {
	add := func(status int, needsClusterState bool, field string, values ...any) {
		for _, value := range values {
			cases = append(cases, submissionCase{fmt.Sprintf("%s=%v", field, value), map[string]any{field: value}, status, needsClusterState})
		}
	}
	for _, field := range []string{"docket", "crew", "sort", "urgency", "kit"} {
		add(http.StatusBadRequest, false, field, absent, nil, 3, true, []string{"a"}, map[string]int{}, "", strings.Repeat("x", 500))
	}
	for _, field := range []string{"pieces", "cpus", "cards", "memoryGb", "pullGb", "reckonS", "markS", "stashS"} {
		add(http.StatusBadRequest, false, field, absent, nil, "3", true, []int{1}, map[string]int{}, -1, json.Number("1e300"), json.Number("1e400"))
	}
	for _, field := range []string{"together", "apart", "loaners"} {
		add(http.StatusBadRequest, false, field, absent, nil, "true", 1, []bool{true}, map[string]int{})
	}
	add(http.StatusBadRequest, false, "pieces", 0, 1.5, 100_001)
	add(http.StatusBadRequest, false, "cpus", 0)
	add(http.StatusBadRequest, false, "builds", "m", 1, true, []any{}, []any{1}, []any{nil}, []any{""}, map[string]int{})
	add(http.StatusBadRequest, false, "yard", "", 1, true, []string{"z"})
	add(http.StatusBadRequest, false, "dueS", -1, "9", true)
	add(http.StatusBadRequest, false, "sort", "Sweep")
	add(http.StatusBadRequest, false, "urgency", "highest")
	// Valid submissions that no worker or team limit can ever satisfy.
	add(http.StatusUnprocessableEntity, true, "crew", "nobody", "T")
	add(http.StatusUnprocessableEntity, true, "cpus", 4.1, 1e6)
	add(http.StatusUnprocessableEntity, true, "cards", 1)
	add(http.StatusUnprocessableEntity, true, "memoryGb", 16.5)
	add(http.StatusUnprocessableEntity, true, "builds", []string{"other"}, []string{"M", "other"})
	add(http.StatusUnprocessableEntity, true, "yard", "elsewhere")
	cases = append(cases,
		submissionCase{"one task over the limit", map[string]any{"crew": "small", "cpus": 3}, http.StatusUnprocessableEntity, true},
		submissionCase{"a service over the limit", map[string]any{"crew": "small", "sort": "daemon", "pieces": 3}, http.StatusUnprocessableEntity, true},
		submissionCase{"an array of tasks within the limit", map[string]any{"crew": "small", "pieces": 30}, http.StatusCreated, true},
		submissionCase{"a service within the limit", map[string]any{"crew": "small", "sort": "daemon", "pieces": 2}, http.StatusCreated, true},
		submissionCase{"the only type and zone", map[string]any{"builds": []string{"other", "m"}, "yard": "z"}, http.StatusCreated, true},
		submissionCase{"nullable fields left out", map[string]any{"builds": absent, "yard": absent, "dueS": absent}, http.StatusCreated, true},
		submissionCase{"an unknown field", map[string]any{"colour": map[string]any{"CPUS": 99}}, http.StatusCreated, true})
	return cases
}

// emptyCatalog is the catalog of a controller that has not loaded the machine types yet.
type emptyCatalog struct{}

func (emptyCatalog) All() []wire.MachineType { return nil }

// Invalid and unusual requests get the status that the protocol defines, the same from every controller and in
// every state of the cluster; a controller that can't decide returns 503. No job is accepted that can't run.
func TestInvalidRequestsGetSameAnswerOnEveryController(t *testing.T) {
	runOnCluster(t, 3700, 3, 8, func(w *cluster) {
		w.cfg.Params.Teams = []config.Team{{Name: "t"}, {Name: "small", CPUsMax: 2}}
		for _, name := range w.controllerNames {
			w.restart(name, 0) // with these teams
		}
		w.runFor(8)
		w.withLock(func() { w.reliableStore = true })
		withoutTypes := w.controllerNames[2]
		n := w.nodes[withoutTypes]
		states := []struct {
			name       string
			begin, end func()
			undecided  string // the controller that does not know the machine types
			storeDown  bool   // no controller reaches the state service
		}{
			{"no fault", func() {}, func() {}, "", false},
			{"one controller is cut off from the state service", func() { w.cutFromStateService(w.controllerNames[0]); w.runFor(2) }, w.healAllLinks, "", false},
			{"one controller does not know the machine types", func() {
				op, err := config.LoadOperator("")
				if err != nil {
					t.Fatal(err)
				}
				n.mux = http.NewServeMux()
				in := submission.New(submission.Options{
					Platform: w.cfg, Operator: op, Store: n.view, Jobs: n.scheduler, Catalog: emptyCatalog{}, Peers: n, Log: slog.New(slog.DiscardHandler),
					Cancellations: n.cancellations,
				})
				in.Register(n.mux)
			}, func() { n.mux = http.NewServeMux(); n.submission.Register(n.mux) }, withoutTypes, false},
			{"the leader is down", func() { w.crash(w.leader()) }, w.startStopped, "", false},
			{"the state service is down", func() { w.cutFromStateService(w.controllerNames...); w.runFor(1) }, w.healAllLinks, "", true},
		}
		cases := submissionCases()
		accepted := 0
		for s, state := range states {
			w.runFor(3)
			state.begin()
			for i, c := range cases {
				uid := fmt.Sprintf("j-9%d-%d", s, i) // tasks of j-9... run for 30 minutes, since a service's replicas never end
				known := false
				for _, name := range w.controllerNames {
					if w.nodes[name].down {
						continue
					}
					want := c.status
					switch {
					case state.storeDown:
						want = http.StatusServiceUnavailable // the job may have been accepted before
					case known:
						want = http.StatusOK
					case c.needsClusterState && name == state.undecided:
						want = http.StatusServiceUnavailable
					}
					got, _ := w.httpRequest(name, http.MethodPost, "/api/jobs", submissionBodyWith(uid, c.change))
					if got != want {
						t.Errorf("%s, %s at %s: %d, not %d", state.name, c.name, name, got, want)
					}
					known = known || got == http.StatusCreated
				}
				if stored := slices.Contains(w.store.Keys("live/"), "live/"+uid); stored != known {
					t.Errorf("%s, %s: accepted %v, stored %v", state.name, c.name, known, stored)
				}
				if known {
					accepted++
				}
			}
			for _, name := range w.controllerNames {
				if w.nodes[name].down {
					continue
				}
				unknown := http.StatusNotFound
				if state.storeDown {
					unknown = http.StatusServiceUnavailable
				}
				for path, want := range map[string]int{"/api/jobs/j-nobody": unknown, "/api/jobs/nobody": http.StatusNotFound} {
					if got, _ := w.httpRequest(name, http.MethodGet, path, ""); got != want {
						t.Errorf("%s, %s at %s: %d, not %d", state.name, path, name, got, want)
					}
					got, _ := w.httpRequest(name, http.MethodPost, path+"/cancel", "")
					if got != want {
						t.Errorf("%s, cancel of %s at %s: %d, not %d", state.name, path, name, got, want)
					}
				}
				for _, body := range []string{"", "null", "[]", `"j-1"`, "{", submissionBodyWith("j-1", nil) + "x", submissionBodyWith("k-1", nil), submissionBodyWith("j-1", map[string]any{"uid": nil}), "\ufeff" + submissionBodyWith("j-1", nil)} {
					if got, _ := w.httpRequest(name, http.MethodPost, "/api/jobs", body); got != http.StatusBadRequest {
						t.Errorf("%s, %.20q at %s: %d, not 400", state.name, body, name, got)
					}
				}
			}
			state.end()
		}
		if want := 5 * 4; accepted != want {
			t.Errorf("%d jobs accepted, not %d", accepted, want)
		}
		w.checkResubmissions(cases)
	})
}

// checkResubmissions repeats the submissions of a running and a finished job at all controllers, with the
// body of each case, and checks that the response is the job's state. It also cancels the finished job, which
// must stay done.
func (w *cluster) checkResubmissions(cases []submissionCase) {
	w.t.Helper()
	w.runFor(10)
	for uid, pieces := range map[string]int{"j-80": 2, "j-7": 1} {
		if got, _ := w.httpRequest("a", http.MethodPost, "/api/jobs", submissionBodyWith(uid, map[string]any{"pieces": pieces})); got != http.StatusCreated {
			w.t.Fatalf("%s: %d", uid, got)
		}
	}
	if !w.runUntil(60, func() bool { return w.unfinishedTasks("j-80") == 2 && w.jobsEnded("j-7")() }) {
		w.t.Fatal("j-80 does not run, or j-7 is not done")
	}
	w.runFor(3)
	for _, name := range w.controllerNames {
		for uid, want := range map[string]string{"j-80": wire.StageRunning, "j-7": wire.StageDone} {
			for _, c := range cases {
				got, state := w.httpRequest(name, http.MethodPost, "/api/jobs", submissionBodyWith(uid, c.change))
				// With an invalid body the state may come from the store, which does not record which tasks run.
				if got != http.StatusOK || state.UID != uid || (state.Stage == wire.StageDone) != (want == wire.StageDone) || state.Stage == wire.StageCancelled {
					w.t.Errorf("%s again, with %s, at %s: %d, %+v", uid, c.name, name, got, state)
				}
			}
		}
		if got, state := w.httpRequest(name, http.MethodPost, "/api/jobs/j-7/cancel", ""); got != http.StatusOK || state.Stage != wire.StageDone {
			w.t.Errorf("cancel of a job that is done, at %s: %d, %+v", name, got, state)
		}
	}
	time.Sleep(time.Second)
	if n := w.unfinishedTasks("j-80"); n != 2 {
		w.t.Errorf("%d of 2 tasks run after the repeated submissions", n)
	}
}
