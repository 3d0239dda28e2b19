package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"olympos.io/encoding/edn"

	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// operatorFields returns a pointer to the field that each key of the operators' settings sets.
func operatorFields(o *Operator) map[string]any {
	return map[string]any{
		"shards": &o.Shards, "spread": &o.ShardControllers, "lease-s": &o.LeaseS, "k-fail": &o.WorkerFailureCost,
		"queue-horizon-s": &o.QueueHorizonS, "random-s": &o.RandomCostS, "worker-share": &o.WorkerConnectionShare, "publish-s": &o.PublishIntervalS,
		"replace-s": &o.ReplaceAfterS, "silent-s": &o.HeartbeatTimeoutS, "idle-s": &o.IdleTimeoutS, "pack-s": &o.PackingPreferenceS,
		"dear-share": &o.SpotPreferenceShare, "late-start-s": &o.LateStartCostS, "headroom-percent": &o.HeadroomPct, "dear-headroom-percent": &o.OnDemandHeadroomPct,
	}
}

func fieldValue(field any) string { return fmt.Sprint(reflect.ValueOf(field).Elem()) }

// Each key accepts values within its recorded bounds, sets its own field, and has the recorded
// default.
func TestRecordedOperatorKeys(t *testing.T) {
	defaults, err := LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	if len(settings) != len(operatorFields(defaults)) {
		t.Errorf("%d keys are accepted, %d are recorded", len(settings), len(operatorFields(defaults)))
	}
	keys := make([]string, 0, len(settings))
	for key := range operatorFields(defaults) {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var text strings.Builder
	for _, key := range keys {
		s := settings[key]
		kind := "number"
		if s.integer {
			kind = "whole"
		}
		fmt.Fprintf(&text, "%s %s %s from %v to %v\n", key, kind, fieldValue(operatorFields(defaults)[key]), s.min, s.max)
		for _, bound := range []float64{s.min, s.max} {
			base := Operator{Shards: 256, ShardControllers: 1}
			got, err := ParseOperator(fmt.Appendf(nil, "(wallrack (%s %v))", key, bound), &base)
			if err != nil {
				t.Errorf("%s at %v: %v", key, bound, err)
			} else if value := fieldValue(operatorFields(got)[key]); value != fmt.Sprint(bound) {
				t.Errorf("%s at %v: its field is set to %s", key, bound, value)
			}
		}
	}
	recorded.Compare(t, "operator-keys.txt", []byte(text.String()))
}

// The built-in file contains every key, in the recorded order, with the recorded default.
func TestRecordedOperatorDefaults(t *testing.T) {
	entries, err := ParseEntries(defaultOperator, "wallrack", "(key value)")
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for _, entry := range entries {
		pair := entry.([]any)
		fmt.Fprintf(&text, "(%s %v)\n", pair[0].(edn.Symbol), pair[1])
	}
	recorded.Compare(t, "operator-defaults.txt", []byte(text.String()))
}

// The texts of errors, which name the file, the key and the reason, do not change.
func TestRecordedErrors(t *testing.T) {
	var text strings.Builder
	note := func(name string, err error) {
		// For a value of a wrong type the decoder's message ends with the name of a Go field,
		// which may change. Only the text before it is recorded.
		reason, _, _ := strings.Cut(fmt.Sprint(err), " struct field ")
		fmt.Fprintf(&text, "%s\n\t%s\n", name, reason)
	}
	for _, settings := range []string{
		"", "(wallrack", "(other)", "(wallrack (k-fail))", `(wallrack ("k-fail" 2))`, "(wallrack (k-fails 2))", "(wallrack (k-fail 0.5))",
		"(wallrack (shards 2.5))", `(wallrack (k-fail "2"))`, "(wallrack (k-fail 2) (k-fail 2))", "(wallrack) (wallrack)", "(wallrack (shards 2) (spread 3))",
	} {
		_, err := ParseOperator([]byte(settings), &Operator{Shards: 1, ShardControllers: 1})
		note(settings, err)
	}
	platform := string(recorded.Read(t, "platform.toml"))
	for _, change := range []struct{ old, new string }{
		{`node_name = "site-a"`, ""},
		{`serve_on = "10.4.0.1:7080"`, `serve_on = "everywhere"`},
		{`mesh_addr = "10.4.0.1:7081"`, ""},
		{`address = "10.4.0.2:7081"`, `address = "10.4.0.2"`},
		{`node_name = "site-b"`, `node_name = "site-a"`},
		{`cloud = "10.4.9.1:8443"`, ""},
		{`state = "10.4.9.2:2379"`, ""},
		{"report_s = 2.5", ""},
		{"lease_s = 31.0", "lease_s = 0.0"},
		{"cancel_s = 62.0", "cancel_s = -1.0"},
		{"rps = 210.0", ""},
		{"write_rps = 85.0", ""},
		{"value_kb = 12.0", ""},
		{"txn_ops = 40", ""},
		{"txn_ops = 40", "txn_ops = 3"},
		{"rps = 3.5", ""},
		{"ram_mb = 300.0", ""},
		{"ram_mb = 300.0", "ram_mb = 2.0"},
		{"sockets = 2000", "sockets = 20"},
		{"cpu = 0.25", "cpu = 0.001"},
		{`name = "brew"`, ""},
		{`name = "brew"`, `name = "tarts"`},
		{"cpus = 20.0", "cpus = -1.0"},
		{"cpus = 20.0", "cpus = 99.0"},
		{"gpus = 1.0", "gpus = 9.0"},
		{"report_s = 2.5", `report_s = "soon"`},
	} {
		if strings.Count(platform, change.old) != 1 {
			t.Fatalf("%q does not occur exactly once in the sample", change.old)
		}
		_, err := ParsePlatform([]byte(strings.Replace(platform, change.old, change.new, 1)))
		note(change.old+" -> "+change.new, err)
	}
	_, err := LoadPlatform("testdata/recorded/missing.toml")
	note("missing.toml", err)
	_, err = LoadPlatform("testdata/recorded/without-node.toml")
	note("without-node.toml", err)
	_, err = LoadOperator("testdata/recorded/missing.sexp")
	note("missing.sexp", err)
	_, err = LoadOperator("testdata/recorded/out-of-range.sexp")
	note("out-of-range.sexp", err)
	recorded.Compare(t, "errors.txt", []byte(text.String()))
}

// Every field of the platform's file is decoded into its struct field; unknown fields are ignored.
func TestRecordedPlatform(t *testing.T) {
	got, err := LoadPlatform("testdata/recorded/platform.toml")
	if err != nil {
		t.Fatal(err)
	}
	want := &Platform{
		Node: "site-a", Zone: "mill", Listen: "10.4.0.1:7080", Mesh: "10.4.0.1:7081",
		Peers:     []Peer{{Node: "site-b", Zone: "mill", Addr: "10.4.0.2:7081"}, {Node: "site-c", Zone: "quay", Addr: "10.4.0.3:7081"}},
		Endpoints: Endpoints{Cloud: "10.4.9.1:8443", State: "10.4.9.2:2379"},
		Params: Params{
			Zones:      []string{"mill", "quay"},
			Teams:      []Team{{Name: "brew", CPUs: 20, CPUsMax: 60, GPUs: 1, GPUsMax: 4}, {Name: "tarts", CPUs: 8}},
			Objectives: []Objective{{Kind: "wait", Class: "quick", WithinS: 9, Share: 0.95}, {Kind: "deadline", Class: "nightly", Times: 1.5, Share: 0.9}},
			Workers:    Workers{ReportS: 2.5, LeaseS: 31, CancelS: 62},
			State:      State{RPS: 210, WriteRPS: 85, ValueKB: 12, TxnOps: 40},
			Cloud:      Cloud{RPS: 3.5, ListLagS: 7},
			Limits:     Limits{CPU: 0.25, RAMMB: 300, Sockets: 2000},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nnot %+v", got, want)
	}
}
