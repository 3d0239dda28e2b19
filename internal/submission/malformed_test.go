package submission_test

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/submission"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// fieldTypes maps the fields of a submission, as the protocol defines them, to the Go types that
// encoding/json decodes their values into. A trailing ? marks a field that may be null or absent.
var fieldTypes = map[string]string{
	"uid": "string", "docket": "string", "crew": "string", "sort": "string", "urgency": "string", "pieces": "float64",
	"cpus": "float64", "cards": "float64", "memoryGb": "float64", "kit": "string", "pullGb": "float64",
	"builds": "[]interface {}?", "yard": "string?", "together": "bool", "apart": "bool", "loaners": "bool",
	"reckonS": "float64", "markS": "float64", "stashS": "float64", "dueS": "float64?",
}

// missingField returns a field that is absent from a submission or has a wrong type, or "". It
// decodes the body with another library than the service does, and matches names exactly.
func missingField(body []byte) string {
	var given map[string]any
	if json.Unmarshal(body, &given) != nil {
		return "all"
	}
	for name, kind := range fieldTypes {
		kind, nullable := strings.CutSuffix(kind, "?")
		if value := given[name]; (value != nil || !nullable) && fmt.Sprintf("%T", value) != kind {
			return name
		}
	}
	return ""
}

// canRun reports whether a submission with all fields can run on the one machine type of the
// stub, within the limit of the one team.
func canRun(body []byte) bool {
	var given map[string]any
	if json.Unmarshal(body, &given) != nil {
		return false
	}
	number := func(name string) float64 { value, _ := given[name].(float64); return value }
	together := 1.0
	if given["sort"] != wire.KindArray {
		together = number("pieces")
	}
	for _, name := range []string{"pullGb", "reckonS", "markS", "stashS", "dueS"} {
		if number(name) < 0 {
			return false
		}
	}
	for _, limit := range []struct{ value, least, below float64 }{
		{number("pieces"), 1, 100_001},
		{number("cpus"), math.SmallestNonzeroFloat64, 4.001},
		{number("cpus") * together, 0, 8.001},
		{number("cards"), 0, 0.001},
		{number("memoryGb"), 0, 8.001},
	} {
		if limit.value < limit.least || limit.value >= limit.below {
			return false
		}
	}
	return given["crew"] == "t" && allows(given["builds"], "m") && (given["yard"] == nil || given["yard"] == "z") &&
		number("pieces") == math.Trunc(number("pieces")) &&
		strings.Contains(" low normal urgent production ", fmt.Sprintf(" %v ", given["urgency"]))
}

// allows reports whether a list of machine types is null or contains machineType.
func allows(types any, machineType string) bool {
	list, _ := types.([]any)
	return types == nil || slices.Contains(list, any(machineType))
}

// An accepted submission has every field with its type, and can run; a rejected one leaves
// nothing in the state service.
func FuzzSubmission(f *testing.F) {
	f.Add([]byte(job))
	for name := range fieldTypes {
		f.Add([]byte(strings.Replace(job, `"`+name+`"`, `"`+strings.ToUpper(name)+`"`, 1)))
	}
	f.Add([]byte(strings.Replace(job, `"sweep"`, `"daemon"`, 1)))
	f.Add([]byte(strings.Replace(job, `"builds":null`, `"builds":["m",null]`, 1)))
	f.Add([]byte(strings.Replace(job, `"cpus":2`, `"cpus":02`, 1)))
	f.Add([]byte(strings.Replace(job, `"cpus":2`, `"cpus":2,"CPUS":90`, 1)))
	f.Add([]byte(strings.Replace(job, `"kit"`, `"x":tru,"kit"`, 1)))
	stub := newStub()
	service := newService(f, stub, submission.Options{})
	f.Fuzz(func(t *testing.T, body []byte) {
		stub.View = &testkit.View{Store: testkit.NewStore()}
		rep := service.Serve(t.Context(), submission.Request{Verb: submission.VerbSubmit, Body: body})
		switch stored := stub.Keys(""); rep.Status {
		case http.StatusCreated:
			if missing := missingField(body); missing != "" || !canRun(body) || len(stored) != 1 {
				t.Errorf("accepted %q, missing field %q, can run: %v, stored %v", body, missing, canRun(body), stored)
			}
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			if len(stored) > 0 {
				t.Errorf("rejected %q, but stored %v", body, stored)
			}
		default:
			t.Errorf("%q: status %d", body, rep.Status)
		}
	})
}

// A repeated submission of a known job returns the job's state even if every other field than the
// id is invalid: 400 would tell the user that the job was never accepted.
func TestRepeatedSubmissionWithInvalidFieldsReturnsState(t *testing.T) {
	_, request := serve(t)
	if status, _, _ := request(http.MethodPost, "/api/jobs", job); status != http.StatusCreated {
		t.Fatalf("submission: %d", status)
	}
	for name := range fieldTypes {
		if name == "uid" {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte(job), &fields); err != nil {
			t.Fatal(err)
		}
		for _, value := range []any{map[string]any{}, []any{1}, "x", -1, true, nil} {
			fields[name] = value
			body, err := json.Marshal(fields)
			if err != nil {
				t.Fatal(err)
			}
			if status, _, state := request(http.MethodPost, "/api/jobs", string(body)); status != http.StatusOK || state.Stage != wire.StageQueued {
				t.Errorf("%s is %v: %d, %+v", name, value, status, state)
			}
		}
	}
}
