package scale

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// fieldsByKey returns the field that each settings key sets.
func fieldsByKey(s *Settings) map[string]any {
	return map[string]any{
		"workers":              &s.Workers,
		"controllers":          &s.Controllers,
		"zones":                &s.Zones,
		"regions":              &s.Regions,
		"rack-workers":         &s.RackWorkers,
		"worker-cpus":          &s.WorkerCPUs,
		"worker-memory-gb":     &s.WorkerMemoryGB,
		"report-s":             &s.ReportS,
		"lease-s":              &s.LeaseS,
		"cancel-s":             &s.CancelS,
		"boot-s":               &s.BootS,
		"teams":                &s.teamCount,
		"team-spare-cpus":      &s.TeamSpare,
		"running":              &s.Running,
		"task-cpus":            &s.TaskCPUs,
		"run-s":                &s.RunS,
		"fetch-s":              &s.FetchS,
		"tasks-per-job":        &s.TasksPerJob,
		"steady-starts":        &s.SteadyStarts,
		"peak-starts":          &s.PeakStarts,
		"urgent-starts":        &s.UrgentStarts,
		"urgent-within-s":      &s.UrgentWithinS,
		"fill-within-s":        &s.FillWithinS,
		"steady-s":             &s.SteadyS,
		"peak-s":               &s.PeakS,
		"failures-s":           &s.FailuresS,
		"rack-cut-s":           &s.RackCutS,
		"zone-cut-s":           &s.ZoneCutS,
		"region-cut-s":         &s.RegionCutS,
		"settle-s":             &s.SettleS,
		"restart-every-s":      &s.RestartEveryS,
		"drain-s":              &s.DrainS,
		"failures-a-day":       &s.FailuresPerDay,
		"restarts-a-day":       &s.RestartsPerDay,
		"day-pace":             &s.FailureSpeedup,
		"state-rps":            &s.StateRPS,
		"state-write-rps":      &s.StateWriteRPS,
		"state-latency-ms":     &s.StateLatencyMs,
		"state-txn-ops":        &s.StateTxnOps,
		"cloud-rps":            &s.CloudRPS,
		"cloud-latency-ms":     &s.CloudLatencyMs,
		"cloud-lag-s":          &s.CloudLagS,
		"controller-cpu":       &s.ControllerCPU,
		"controller-memory-mb": &s.ControllerMB,
		"controller-sockets":   &s.ControllerSockets,
		"memory-gb":            &s.MemoryGB,
	}
}

// Each key is accepted within its recorded bounds and sets its own field, and the default of the
// field is the recorded value.
func TestRecordedKeys(t *testing.T) {
	defaults, err := ParseSettings([]byte("(scale)"))
	if err != nil {
		t.Fatal(err)
	}
	at := fieldsByKey(defaults)
	numeric := defaults.numericSettings()
	if len(numeric) != len(at) {
		t.Errorf("%d keys are accepted, %d are recorded", len(numeric), len(at))
	}
	keys := make([]string, 0, len(at))
	for key := range at {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var text strings.Builder
	for _, key := range keys {
		f, known := numeric[key]
		if !known {
			t.Errorf("%s: key is not accepted", key)
			continue
		}
		if reflect.ValueOf(f.dest).Pointer() != reflect.ValueOf(at[key]).Pointer() {
			t.Errorf("%s sets another field", key)
		}
		fmt.Fprintf(&text, "%s %s %v from %v to %v\n", key, reflect.TypeOf(f.dest).Elem(), reflect.ValueOf(at[key]).Elem(), f.min, f.max)
	}
	recorded.Compare(t, "keys.txt", []byte(text.String()))
	recorded.Compare(t, "operator-default.txt", append(defaults.Operator, '\n'))
	last := len(defaults.Teams) - 1
	if first, want := defaults.Teams[0], (Team{"team-000", 27, 37}); first != want {
		t.Errorf("the first team is %+v, not %+v", first, want)
	}
	if got, want := defaults.Teams[last].Name, "team-409"; got != want {
		t.Errorf("the last team is %s, not %s", got, want)
	}
}

func TestRecordedErrors(t *testing.T) {
	var text strings.Builder
	for _, settings := range []string{
		"", "(scale", "(scale) (scale)", "(other)", "(scale (workers))", "(scale (tasks 3))", "(scale (workers 0))", "(scale (run-s 9999))",
		"(scale (zones 2.5))", `(scale (lease-s "x"))`, "(scale (workers 9) (workers 9))", "(scale (team 1 2 3))", `(scale (team "a" 2 1))`, `(scale (operator (spread 0)))`,
		"(scale (operator (unknown 1)))", "(scale (workers 5))", "(scale (report-s 20))",
	} {
		_, err := ParseSettings([]byte(settings))
		fmt.Fprintf(&text, "%s\n\t%v\n", settings, err)
	}
	_, err := LoadSettings("testdata/recorded/missing.sexp")
	fmt.Fprintf(&text, "a file that is not there\n\t%v\n", err)
	_, err = LoadSettings("testdata/recorded/out-of-range.sexp")
	fmt.Fprintf(&text, "a file with a value out of range\n\t%v\n", err)
	recorded.Compare(t, "errors.txt", []byte(text.String()))
}

// Other programs read scale.json.
func TestRecordedResult(t *testing.T) {
	marshal := func(v any) ([]byte, error) { return json.MarshalIndent(v, "", " ") }
	recorded.CompareJSON[Result](t, "scale.json", marshal, func(data []byte, v any) error { return json.Unmarshal(data, v) })
}
