package jobstate

import (
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/quotalease"
)

// lends reports whether the team's limit is one that is lent. What has only a guarantee
// stays together: there is nothing to lend.
func Lends(t config.Team) bool { return t.CPUsMax > 0 || t.GPUsMax > 0 }

func LimitOf(t config.Team) quotalease.Amount { return quotalease.LimitOf(t.CPUsMax, t.GPUsMax) }

// LeasedLimit is what an owner knows of a team whose limit it borrows parts of.
type LeasedLimit struct {
	Team        string
	Borrower    *quotalease.Borrower
	UsedByShard map[int]matching.Resources // of all that may be on, by shard
}

func (t *LeasedLimit) Count(shard int, shape matching.Resources, sign float64) {
	t.UsedByShard[shard] = t.UsedByShard[shard].Add(shape, sign)
}

func AmountOf(s matching.Resources) quotalease.Amount { return quotalease.AmountOf(s.CPUs, s.GPUs) }

// Allows reports whether the tasks of a shard may use so much.
func (team *Team) Allows(shard int, use matching.Resources) bool {
	return team.ExceededLimit(shard, use) == ""
}

// ExceededLimit says which kind of the team's limit does not let the tasks of a shard use so much,
// or "".
func (team *Team) ExceededLimit(shard int, use matching.Resources) string {
	a, c := AmountOf(use), team.Leased.Borrower.Ceiling(shard, team.Leased.Team)
	for kind, limit := range LimitOf(team.Team) {
		if limit > 0 && a[kind] > c[kind] {
			return [...]string{jobspec.ReasonLimitCPU, jobspec.ReasonLimitGPU}[kind]
		}
	}
	return ""
}

// BelowGuarantee reports whether a shard's tasks use less than its share of the team's guarantee.
// A whole task may go beyond: else a share smaller than one task would favour nothing.
func (team *Team) BelowGuarantee(shard int) bool {
	share := team.Leased.Borrower.GuaranteeShare(shard, team.Leased.Team)
	use := team.Leased.UsedByShard[shard]
	return team.CPUs > 0 && use.CPUs < team.CPUs*share-1e-6 || team.GPUs > 0 && use.GPUs < team.GPUs*share-1e-6
}

// Team is a team's use.
type Team struct {
	config.Team
	Used   matching.Resources // of all that may be on
	Leased *LeasedLimit       // nil: the whole limit is this owner's
}
