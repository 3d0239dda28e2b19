package quotalease_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-json"
	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/quotalease"
)

// TestPartsKeepTheLimitAndFollowDemand has owners borrow, start, end, crash, hand over and
// lose shards, while their writes are lost, late, and carried out twice and their watches
// are behind. No team ever runs more than its limit. When all is well again, and only one
// shard has work, its part grows to the limit within two seconds; when two have, both
// start a task within fifteen, and within a minute the limit is full.
func TestPartsKeepTheLimitAndFollowDemand(t *testing.T) {
	var started, grown, alternated int
	rapid.Check(t, func(rt *rapid.T) {
		w := newModel(rt)
		rt.Repeat(w.actions())
		w.t = rt
		started += len(w.tasks)
		for _, t := range w.tasks {
			t.over = true
		}
		for _, o := range w.owners {
			clear(o.demand)
		}
		team, shard := rapid.SampledFrom(teams).Draw(rt, "team"), rapid.IntRange(0, shards-1).Draw(rt, "shard")
		w.growsToLimit(team, shard)
		grown++
		w.bothStart(team, shard, (shard+rapid.IntRange(1, shards-1).Draw(rt, "other"))%shards)
		alternated++
		w.fill(team, shard, (shard+rapid.IntRange(1, shards-1).Draw(rt, "third"))%shards)
	})
	t.Logf("%d tasks started, %d parts grew to their limit, %d pairs alternated", started, grown, alternated)
}

// TestParse refuses records of unknown shards, without terms, and with impossible amounts.
func TestParse(t *testing.T) {
	for _, c := range []struct{ data, want string }{
		{`{"rows":[{"shard":3,"term":7}]}`, "unknown shard 3"},
		{`{"rows":[{"shard":-1,"term":7}]}`, "unknown shard -1"},
		{`{"rows":[{"shard":1,"term":7},{"shard":1,"term":8}]}`, "given twice"},
		{`{"rows":[{"shard":1}]}`, "has no term"},
		{`{"rows":[{"shard":1,"term":7,"teams":{"a":[-1]}}]}`, "out of bounds"},
		{`{"rows":[{"shard":1,"term":7,"teams":{"a":[1,2,3,4,5,6,7]}}]}`, "7 numbers"},
		{`{"rows":7}`, ""},
	} {
		if _, err := quotalease.Parse([]byte(c.data), shards); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want an error with %q", c.data, err, c.want)
		}
	}
}

// FuzzParse reads whatever stands in the state service, and writes what it could read as
// it was.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"rows":[{"shard":1,"term":7,"teams":{"a":[8000,0,9000,0,1000],"b":[0,1]}},{"shard":2,"term":2}]}`))
	f.Add([]byte(`{"rows":[{"shard":1,"term":7,"teams":{"a":null}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := quotalease.Parse(data, shards)
		if err != nil {
			return
		}
		again, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := quotalease.Parse(again, shards); err != nil {
			t.Fatalf("%v: %s, of %s", err, again, data)
		}
	})
}

// TestUnknownTermsAndTeamsAreRefusedAndCounted has a record with a later owner's row, and
// with a team that the settings don't have: neither gives this owner anything to use, both
// are counted, and the unknown team's part stays as it is.
func TestUnknownTermsAndTeamsAreRefusedAndCounted(t *testing.T) {
	data := `{"rows":[{"shard":0,"term":9,"teams":{"a":[8000],"gone":[3000]}},{"shard":1,"term":2},{"shard":2,"term":2}]}`
	r, err := quotalease.Parse([]byte(data), shards)
	if err != nil {
		t.Fatal(err)
	}
	b := quotalease.New(limits, shards)
	b.SetShards(map[int]uint64{0: 7, 1: 8}, 0)
	b.Observe(r, 20, 20)
	if b.UnknownEntries != 2 {
		t.Errorf("%d unknown, want 2: a term and a team", b.UnknownEntries)
	}
	if c := b.Ceiling(0, "a"); !c.Zero() {
		t.Errorf("a stale owner may use %v", c)
	}
	w, ok := b.Plan(time.Now(), func(int, string) quotalease.Need { return quotalease.Need{} })
	if !ok || w.Record.Rows[0].OwnerVersion != 9 || w.Record.Rows[0].Teams["gone"].Part != (quotalease.Amount{3000}) {
		t.Errorf("wrote %v %+v", ok, w.Record)
	}
}

// TestCheckSize has as many teams and shards as fit, and more.
func TestCheckSize(t *testing.T) {
	many := map[string]quotalease.Amount{}
	for i := range 410 {
		many[fmt.Sprintf("team-%03d", i)] = quotalease.LimitOf(640, 16)
	}
	if err := quotalease.CheckSize(many, 6, 14745); err != nil {
		t.Error(err)
	}
	if err := quotalease.CheckSize(many, 64, 14745); err == nil || !strings.Contains(err.Error(), "64 shards") {
		t.Errorf("64 shards: %v", err)
	}
}

// BenchmarkRound is one look of an owner of half the shards at all records, with 410 teams
// that all want more than they have.
func BenchmarkRound(b *testing.B) {
	const shards = 6
	var sides [quotalease.Records]*quotalease.Borrower
	var all [quotalease.Records]map[string]quotalease.Amount
	for i := range 410 {
		team := fmt.Sprintf("team-%03d", i)
		n := quotalease.RecordOf(team)
		if all[n] == nil {
			all[n] = map[string]quotalease.Amount{}
		}
		all[n][team] = quotalease.LimitOf(64, 4)
	}
	need := quotalease.Need{Use: quotalease.AmountOf(10, 0), Demand: quotalease.AmountOf(64, 2), Unit: quotalease.AmountOf(1, 0)}
	needs := func(int, string) quotalease.Need { return need }
	now, version := time.Now(), uint64(100)
	for n := range sides {
		other := quotalease.New(all[n], shards)
		other.SetShards(map[int]uint64{3: 1, 4: 1, 5: 1}, 0)
		w, _ := other.Plan(now, needs)
		sides[n] = quotalease.New(all[n], shards)
		sides[n].SetShards(map[int]uint64{0: 2, 1: 2, 2: 2}, 0)
		sides[n].Observe(w.Record, version, version)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(200 * time.Millisecond)
		version++
		for _, side := range sides {
			if w, ok := side.Plan(now, needs); ok {
				side.Applied(w, version)
			}
		}
	}
}
