package config_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/config"
)

const platform = `
node_name = "n-0"
domain = "z"
serve_on = "10.0.0.1:8080"
mesh_addr = "10.0.0.1:8081"
something_new = 3
[[siblings]]
node_name = "n-1"
domain = "z"
address = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
zones = ["z"]
[params.workers]
report_s = 3.0
lease_s = 44.0
cancel_s = 64.0
[params.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 48
[params.cloud]
rps = 4.0
list_lag_s = 6.0
[params.limits]
cpu = 0.3
ram_mb = 342.0
sockets = 2500
`

// Valid settings are accepted, and the error for an invalid setting names its key.
func TestPlatformErrorsNameTheKey(t *testing.T) {
	parsed, err := config.ParsePlatform([]byte(platform))
	if err != nil || parsed.Node != "n-0" || parsed.Params.State.TxnOps != 48 || len(parsed.Peers) != 1 {
		t.Fatalf("%+v, %v", parsed, err)
	}
	for _, c := range []struct{ old, new, key string }{
		{`"n-0"`, `""`, "node_name"},
		{"10.0.0.1:8080", "nowhere", "serve_on"},
		{"10.0.0.2:8081", "10.0.0.2", "siblings[0].address"},
		{"lease_s = 44.0", "lease_s = 0.0", "params.workers.lease_s"},
		{"rps = 4.0", "rps = -4.0", "params.cloud.rps"},
		{"txn_ops = 48", "txn_ops = 2", "params.state.txn_ops"},
		{"report_s = 3.0", `report_s = "x"`, "report_s"},
	} {
		_, err := config.ParsePlatform([]byte(strings.Replace(platform, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%s: %v does not name %s", c.new, err, c.key)
		}
	}
}

// If one of 410 teams has a duplicate name or a guarantee above its limit, the error names that team.
func TestInvalidTeamsAreRejected(t *testing.T) {
	teams := func(change func(i int) string) []byte {
		var b strings.Builder
		b.WriteString(platform)
		for i := range 410 {
			fmt.Fprintf(&b, "[[params.teams]]\n%s\n", change(i))
		}
		return []byte(b.String())
	}
	plain := func(i int) string { return fmt.Sprintf("name = \"team-%d\"\ncpus = 4.0\ncpus_max = 4.0", i) }
	for _, c := range []struct{ last, want string }{
		{plain(409), ""},
		{"name = \"team-7\"", `params.teams[409].name: "team-7" is the name of params.teams[7] already`},
		{"name = \"x\"\ncpus = 5.0\ncpus_max = 4.5", "params.teams[409].cpus: the guarantee of 5 is above the limit of 4.5"},
		{"name = \"x\"\ngpus = 2.0\ngpus_max = 1.0", "params.teams[409].gpus: the guarantee of 2 is above the limit of 1"},
		{"name = \"x\"\ncpus = 5.0", ""}, // a limit of 0 means no limit
	} {
		_, err := config.ParsePlatform(teams(func(i int) string {
			if i == 409 {
				return c.last
			}
			return plain(i)
		}))
		if (err == nil) != (c.want == "") || err != nil && err.Error() != c.want {
			t.Errorf("%q: %v, want %q", c.last, err, c.want)
		}
	}
}

// A file with one key changes only that setting.
func TestOperatorOverridesOneKey(t *testing.T) {
	base, err := config.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.IntRange(1, 50).Draw(t, "value")
		space := rapid.SampledFrom([]string{" ", "\n", "\t ; a comment\n"}).Draw(t, "space")
		op, err := config.ParseOperator(fmt.Appendf(nil, "(wallrack%s(k-fail%s%d))", space, space, value), base)
		if err != nil {
			t.Fatal(err)
		}
		want := *base
		want.WorkerFailureCost = float64(value)
		if *op != want {
			t.Fatalf("got %+v, want %+v", *op, want)
		}
	})
}

// The error for an invalid setting names its key or entry and the reason.
func TestInvalidOperatorSettingsAreRejected(t *testing.T) {
	for text, part := range map[string]string{
		"":                                 "S-expression",
		"(wallrack":                        "S-expression",
		"(other (k-fail 2))":               "expected (wallrack",
		"(wallrack (k-fail))":              "entry 1",
		"(wallrack (k-fails 2))":           "k-fails: unknown key",
		"(wallrack (k-fail 2) (k-fail 3))": "k-fail: given twice",
		"(wallrack (k-fail 0.5))":          "k-fail: 0.5 is outside",
		"(wallrack (shards 2.5))":          "shards: 2.5 is not a whole number",
		`(wallrack (k-fail "2"))`:          "k-fail: not a number",
		"(wallrack) (wallrack)":            "more than one",
		"(wallrack (shards 2) (spread 3))": "spread: 3 controllers can't share 2 shards",
	} {
		if _, err := config.ParseOperator([]byte(text), &config.Operator{}); err == nil || !strings.Contains(err.Error(), part) {
			t.Errorf("%s: %v does not say %q", text, err, part)
		}
	}
}

// Accepted settings are within their bounds, whatever the input.
func FuzzOperator(f *testing.F) {
	f.Add([]byte("(wallrack (k-fail 4) ; c\n (shards 3))"))
	f.Fuzz(func(t *testing.T, data []byte) {
		op, err := config.ParseOperator(data, &config.Operator{WorkerFailureCost: 4})
		if err == nil && (op.WorkerFailureCost < 1 || op.WorkerFailureCost > 100) {
			t.Errorf("accepted %+v", op)
		}
	})
}
