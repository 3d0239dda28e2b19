package quota

import (
	"fmt"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/quotalease"
	"github.com/wallrack/wallrack/internal/wire"
)

// LeasesQuota reports whether limits are leased to several leaders. If so, a team's jobs may
// belong to different shards.
func LeasesQuota(op *config.Operator) bool { return op.ShardControllers > 1 }

// AssignShard returns the shard that a new job belongs to: jobs of a team are in one shard
// unless the team's limit is leased. The job's record contains the shard, so that jobs that
// were accepted under another setting stay where they are.
func AssignShard(job *wire.Job, teams []config.Team, op *config.Operator) int {
	if LeasesQuota(op) {
		unleased := make([]config.Team, 0, len(teams))
		for _, team := range teams {
			if !jobstate.HasLeasableLimit(team) {
				unleased = append(unleased, team)
			}
		}
		teams = unleased
	}
	return jobrecord.HashShard(job, teams, op.Shards)
}

// CheckQuotaRecords returns an error if the quota records may be too small for all parts. The
// error's text begins with the key of the setting.
func CheckQuotaRecords(cfg *config.Platform, op *config.Operator) error {
	if !LeasesQuota(op) {
		return nil
	}
	limits := map[string]quotalease.Amount{}
	for _, team := range cfg.Params.Teams {
		if jobstate.HasLeasableLimit(team) {
			limits[team.Name] = jobstate.LimitOf(team)
		}
	}
	if err := quotalease.CheckSize(limits, op.Shards, jobrecord.MaxRecordBytes(cfg)); err != nil {
		return fmt.Errorf("params.teams: %w", err)
	}
	return nil
}
