package quotalease_test

import (
	"reflect"
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/quotalease"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// Controllers of different versions share the records, so their form must not change. An entry
// is an array of numbers, without trailing zeros.
func TestRecordedForms(t *testing.T) {
	record := quotalease.Record{Rows: []quotalease.Row{
		{Shard: 0, LeaderVersion: 41, Teams: map[string]quotalease.Entry{
			"risk":    {Part: quotalease.Amount{8000, 1000}, Want: quotalease.Amount{64500, 8000}, Unit: quotalease.Amount{500, 250}},
			"pricing": {Part: quotalease.Amount{2000, 0}, Want: quotalease.Amount{4000, 0}, Unit: quotalease.Amount{1000, 0}},
		}},
		{Shard: 3, LeaderVersion: 9007199254740993, Teams: map[string]quotalease.Entry{
			"gpus": {Part: quotalease.Amount{0, 2000}},
			"none": {},
			"part": {Part: quotalease.Amount{2000, 0}},
			"want": {Want: quotalease.Amount{1, 0}},
		}},
		{Shard: 4, LeaderVersion: 42},
	}}
	recorded.Check(t, "lent", record)
	recorded.Check(t, "lent_least", quotalease.Record{})
	recorded.Check(t, "lent_no_rows", quotalease.Record{Rows: []quotalease.Row{}})
	text, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	if parsed, err := quotalease.Parse(text, 5); err != nil || !reflect.DeepEqual(parsed, record) {
		t.Errorf("parsed as %+v, %v; want %+v", parsed, err, record)
	}
}

// A team's record never changes: the limit of a team that moved to another one would be leased
// twice.
func TestRecordedKeys(t *testing.T) {
	if quotalease.Prefix != "lent/" || quotalease.Key(0) != "lent/00" || quotalease.Key(15) != "lent/15" || quotalease.RecordCount != 16 {
		t.Errorf("prefix %q, keys %q to %q, %d records", quotalease.Prefix, quotalease.Key(0), quotalease.Key(15), quotalease.RecordCount)
	}
	for team, want := range map[string]int{"": 5, "risk": 10, "pricing": 13, "équipe": 9} {
		if got := quotalease.RecordOf(team); got != want {
			t.Errorf("team %q is in record %d, want %d", team, got, want)
		}
	}
}

// Amounts are recorded in thousandths: CPUs first, then GPUs.
func TestRecordedAmounts(t *testing.T) {
	if used, limit := quotalease.AmountOf(1.2345, 2), quotalease.LimitOf(1.2345, 2); used != (quotalease.Amount{1235, 2000}) || limit != (quotalease.Amount{1234, 2000}) {
		t.Errorf("1.2345 CPUs and 2 GPUs: in use %v, as a limit %v", used, limit)
	}
}
