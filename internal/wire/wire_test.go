package wire_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/wire"
)

const validJob = `{"uid":"j-000412","docket":"train","crew":"vision","sort":"sweep","urgency":"urgent","pieces":16,
 "cpus":8.0,"cards":1.0,"memoryGb":64.0,"kit":"img-07","pullGb":6.2,"builds":["g8"],"yard":null,
 "together":true,"apart":false,"loaners":true,"reckonS":240.0,"markS":30.0,"stashS":4.0,"dueS":900.0}`

func validJobFields(t interface{ Fatal(...any) }) map[string]any {
	var m map[string]any
	if err := json.Unmarshal([]byte(validJob), &m); err != nil {
		t.Fatal(err)
	}
	return m
}

func TestParseJobAcceptsExample(t *testing.T) {
	job, err := wire.ParseJob([]byte(validJob))
	if err != nil {
		t.Fatal(err)
	}
	if job.UID != "j-000412" || job.Tasks != 16 || job.Rank() != 2 || job.Zone != nil || *job.DueS != 900 || !job.OneZone {
		t.Errorf("parsed as %+v", job)
	}
}

// A job with one missing or invalid field is rejected, unless the field is optional. An accepted
// job can be stored as JSON and read back.
func TestParseJobRefusesBadFields(t *testing.T) {
	nullable := map[string]bool{"builds": true, "yard": true, "dueS": true}
	rapid.Check(t, func(t *rapid.T) {
		m := validJobFields(t)
		names := make([]string, 0, len(m))
		for k := range m {
			names = append(names, k)
		}
		name := rapid.SampledFrom(names).Draw(t, "field")
		bad := rapid.SampledFrom([]string{"missing", "object", "negative", "huge", "empty"}).Draw(t, "how")
		refused := true
		switch bad {
		case "missing":
			delete(m, name)
			refused = !nullable[name]
		case "object":
			m[name] = map[string]any{"a": 1}
		case "negative":
			m[name] = -1
		case "huge":
			m[name] = json.Number("1e400")
		case "empty":
			m[name] = ""
		}
		data, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		j, err := wire.ParseJob(data)
		if (err != nil) != refused {
			t.Fatalf("%s %s: %v", name, bad, err)
		}
		if err != nil {
			return
		}
		stored, err := json.Marshal(j)
		if err != nil {
			t.Fatal(err)
		}
		var back wire.Job
		if err := json.Unmarshal(stored, &back); err != nil || back.UID != j.UID || back.Tasks != j.Tasks {
			t.Fatalf("%+v was read back as %+v: %v", j, back, err)
		}
	})
}

func TestParseJobRefusesMalformedBodies(t *testing.T) {
	for _, body := range []string{
		"", "null", "[]", `"x"`, "{", "{}", strings.Replace(validJob, "sweep", "sweeps", 1),
		strings.Replace(validJob, `"urgent"`, `"high"`, 1), strings.Replace(validJob, "16", "100001", 1), strings.Replace(validJob, "j-000412", "k-1", 1),
	} {
		if _, err := wire.ParseJob([]byte(body)); err == nil {
			t.Errorf("accepted %.60q", body)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validJob))
	f.Add([]byte(`{"bench":"n-1","endpoint":"1.2.3.4:5","build":"g8","yard":"a","stint":1,"pieces":[{"piece":"j-1/3","try":2,"stage":"running"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if j, err := wire.ParseJob(body); err == nil && (!wire.ValidJobID(j.UID) || j.Tasks < 1 || j.CPUs <= 0) {
			t.Errorf("accepted %+v", j)
		}
		if r, err := wire.ParseReport(body); err == nil {
			for _, x := range r.Tasks {
				if job, n, err := wire.ParseTask(x.Task); err != nil || !wire.ValidJobID(job) || n < 0 {
					t.Errorf("accepted task %q", x.Task)
				}
			}
		}
	})
}

func TestTaskNameRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := rapid.StringMatching(`j-[a-z0-9]{1,12}`).Draw(t, "job")
		n := rapid.IntRange(0, wire.MaxTasksPerJob-1).Draw(t, "n")
		gotJob, gotN, err := wire.ParseTask(wire.TaskName(job, n))
		if err != nil || gotJob != job || gotN != n {
			t.Fatalf("%s/%d was parsed as %s/%d: %v", job, n, gotJob, gotN, err)
		}
	})
}

// TestParseReportMatchesEncodingJSON checks the JSON library against encoding/json with corrupted
// reports: ParseReport must not panic, must reject what encoding/json rejects, and must decode the
// same values from reports that it accepts.
func TestParseReportMatchesEncodingJSON(t *testing.T) {
	insertions := []string{"{", "}", "[", "]", ",", ":", `"`, `\`, "null", "true", "1.5", "-1", "99999999999999999999999", "\x00", "\xff", `\ud800`, "bench", "pieces", "[[[[[[[["}
	rapid.Check(t, func(t *rapid.T) {
		r := wire.Report{Machine: "n-1", Endpoint: "e:1", Type: "m", Zone: "z", Session: 1, Seq: 2, Token: 3}
		for i := range rapid.IntRange(0, 3).Draw(t, "tasks") {
			r.Tasks = append(r.Tasks, wire.Task{Task: wire.TaskName("j-1", i), Attempt: 2, State: wire.TaskExited, Cause: wire.CauseDone, Saved: true})
		}
		body, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 3).Draw(t, "changes") {
			at := rapid.IntRange(0, len(body)).Draw(t, "at")
			end := min(len(body), at+rapid.IntRange(0, 6).Draw(t, "cut"))
			body = append(append(append([]byte(nil), body[:at]...), rapid.SampledFrom(insertions).Draw(t, "bit")...), body[end:]...)
		}
		var want wire.Report
		got, err := wire.ParseReport(body)
		if json.Unmarshal(body, &want) != nil {
			if err == nil {
				t.Fatalf("accepted %q", body)
			}
			return
		}
		if err == nil && !reflect.DeepEqual(*got, want) {
			t.Fatalf("%q was parsed as %+v, want %+v", body, *got, want)
		}
	})
}
