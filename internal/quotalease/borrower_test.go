package quotalease_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/quotalease"
)

// Leaders borrow parts, start and end tasks, crash, transfer and lose shards, while their
// writes are lost, delayed and applied twice and their watches lag. No team ever runs more
// than its limit. Once there are no more faults, and only one shard has work, its part grows
// to the limit within two seconds; if two have work, both start a task within fifteen seconds,
// and within a minute the limit is full.
func TestPartsKeepLimitAndFollowDemand(t *testing.T) {
	var started, grown, alternated int
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt)
		rt.Repeat(m.actions())
		m.t = rt
		started += len(m.tasks)
		for _, t := range m.tasks {
			t.ended = true
		}
		for _, c := range m.controllers {
			clear(c.demand)
		}
		team, shard := rapid.SampledFrom(teams).Draw(rt, "team"), rapid.IntRange(0, shards-1).Draw(rt, "shard")
		m.checkPartGrowsToLimit(team, shard)
		grown++
		m.checkBothStart(team, shard, (shard+rapid.IntRange(1, shards-1).Draw(rt, "other"))%shards)
		alternated++
		m.checkLimitFills(team, shard, (shard+rapid.IntRange(1, shards-1).Draw(rt, "third"))%shards)
	})
	t.Logf("%d tasks started, %d parts grew to their limit, %d pairs alternated", started, grown, alternated)
}

// A record contains a row of a later leader, and a team that the settings don't have. Neither
// allows this leader to use anything, both are counted, and the unknown team's part is left
// unchanged.
func TestUnknownLeadersAndTeamsAreRefusedAndCounted(t *testing.T) {
	data := `{"rows":[{"shard":0,"term":9,"teams":{"a":[8000],"gone":[3000]}},{"shard":1,"term":2},{"shard":2,"term":2}]}`
	r, err := quotalease.Parse([]byte(data), shards)
	if err != nil {
		t.Fatal(err)
	}
	b := quotalease.New(limits, shards)
	b.SetShards(map[int]uint64{0: 7, 1: 8}, 0)
	b.Observe(r, 20, 20)
	if b.UnknownEntries != 2 {
		t.Errorf("%d unknown, want 2: a leader and a team", b.UnknownEntries)
	}
	if c := b.Ceiling(0, "a"); !c.IsZero() {
		t.Errorf("a stale leader may use %v", c)
	}
	w, ok := b.Plan(time.Now(), func(int, string) quotalease.Need { return quotalease.Need{} })
	if !ok || w.Record.Rows[0].LeaderVersion != 9 || w.Record.Rows[0].Teams["gone"].Part != (quotalease.Amount{3000}) {
		t.Errorf("wrote %v %+v", ok, w.Record)
	}
}

// BenchmarkRound measures one round of a leader of half the shards over all records, with 410
// teams that all want more than they have.
func BenchmarkRound(b *testing.B) {
	const shards = 6
	var borrowers [quotalease.RecordCount]*quotalease.Borrower
	var all [quotalease.RecordCount]map[string]quotalease.Amount
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
	for n := range borrowers {
		other := quotalease.New(all[n], shards)
		other.SetShards(map[int]uint64{3: 1, 4: 1, 5: 1}, 0)
		w, _ := other.Plan(now, needs)
		borrowers[n] = quotalease.New(all[n], shards)
		borrowers[n].SetShards(map[int]uint64{0: 2, 1: 2, 2: 2}, 0)
		borrowers[n].Observe(w.Record, version, version)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(200 * time.Millisecond)
		version++
		for _, borrower := range borrowers {
			if w, ok := borrower.Plan(now, needs); ok {
				borrower.Applied(w, version)
			}
		}
	}
}
