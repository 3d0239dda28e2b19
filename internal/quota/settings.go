package quota

import (
	"fmt"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/quotalease"
	"github.com/wallrack/wallrack/internal/wire"
)

// LeasesQuota reports whether limits are lent to several owners: then a team's jobs need not
// belong to one shard.
func LeasesQuota(op *config.Operator) bool { return op.Spread > 1 }

// AssignShard says which shard a new job belongs to. The job's record keeps it, so that jobs
// that were accepted under another setting stay where they are.
func AssignShard(job *wire.Job, teams []config.Team, op *config.Operator) int {
	if LeasesQuota(op) {
		apart := make([]config.Team, 0, len(teams))
		for _, t := range teams {
			if !jobstate.Lends(t) {
				apart = append(apart, t)
			}
		}
		teams = apart
	}
	return jobrecord.HashShard(job, teams, op.Shards)
}

// CheckQuotaRecords reports an error if the records of lent limits may not hold all parts.
func CheckQuotaRecords(cfg *config.Platform, op *config.Operator) error {
	if !LeasesQuota(op) {
		return nil
	}
	limits := map[string]quotalease.Amount{}
	for _, t := range cfg.Params.Teams {
		if jobstate.Lends(t) {
			limits[t.Name] = jobstate.LimitOf(t)
		}
	}
	if err := quotalease.CheckSize(limits, op.Shards, jobrecord.ValueBytes(cfg)); err != nil {
		return fmt.Errorf("params.teams: %w", err)
	}
	return nil
}
