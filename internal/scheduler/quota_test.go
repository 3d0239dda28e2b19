package scheduler_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/quota"
	"github.com/wallrack/wallrack/internal/wire"
)

// With one leader every job belongs to the shard of its hash. With several leaders the jobs of
// a team with a limit are spread over many shards; those of a team with only a guarantee stay
// in one shard.
func TestJobsOfLimitedTeamsSpreadOnlyWithSeveralLeaders(t *testing.T) {
	teams := []config.Team{{Name: "free"}, {Name: "capped", CPUsMax: 8}, {Name: "gpus", GPUs: 1, GPUsMax: 8}, {Name: "assured", CPUs: 4}}
	for _, c := range []struct {
		spread  int
		spreads []string
	}{{1, []string{"free"}}, {2, []string{"free", "capped", "gpus"}}} {
		operator := &config.Operator{Shards: 8, ShardControllers: c.spread}
		for _, team := range teams {
			shards := map[int]bool{}
			for i := range 200 {
				job := &wire.Job{UID: fmt.Sprintf("j-%d", i), Team: team.Name}
				shard := quota.AssignShard(job, teams, operator)
				shards[shard] = true
				if c.spread == 1 && shard != jobrecord.HashShard(job, teams, operator.Shards) {
					t.Errorf("spread 1: %s of team %s is assigned to shard %d, not to that of its hash", job.UID, team.Name, shard)
				}
			}
			want := 1
			if strings.Contains(fmt.Sprint(c.spreads), team.Name) {
				want = operator.Shards
			}
			if len(shards) != want {
				t.Errorf("spread %d: jobs of team %s belong to %d shards, want %d", c.spread, team.Name, len(shards), want)
			}
		}
	}
}

// Settings with more quota leases than the records can hold are rejected at startup, with the
// key and the reason. With one leader no quota is leased, so nothing is rejected.
func TestQuotaLeasesExceedingRecordCapacityAreRejected(t *testing.T) {
	platform := &config.Platform{Params: config.Params{State: config.State{ValueKB: 16}}}
	for i := range 410 {
		platform.Params.Teams = append(platform.Params.Teams, config.Team{Name: fmt.Sprintf("team-%03d", i), CPUsMax: 640, GPUsMax: 16})
	}
	for _, c := range []struct {
		shards, spread int
		want           string
	}{{6, 6, ""}, {64, 6, "params.teams: parts of"}, {64, 1, ""}} {
		err := quota.CheckQuotaRecords(platform, &config.Operator{Shards: c.shards, ShardControllers: c.spread})
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%d shards, spread %d: %v, want %q", c.shards, c.spread, err, c.want)
		}
	}
}
