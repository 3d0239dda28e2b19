package jobstate

import (
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/quotalease"
)

// Team is a team and its use on this leader's shards.
type Team struct {
	config.Team
	Used   matching.Resources // resources of all placements whose task may be running
	Leased *LeasedLimit       // nil if the team's limit is not leased in parts
}

// LeasedLimit is the part of a team's limit leased by this leader, and its use.
type LeasedLimit struct {
	Team        string
	Borrower    *quotalease.Borrower
	UsedByShard map[int]matching.Resources // resources of all placements whose task may be running
}

// Count adds resources to the use of a shard (sign 1) or subtracts them (sign -1).
func (l *LeasedLimit) Count(shard int, resources matching.Resources, sign float64) {
	l.UsedByShard[shard] = l.UsedByShard[shard].Add(resources, sign)
}

// HasLeasableLimit reports whether the team has a limit that leaders can lease parts of. A team that has only a
// guarantee has no limit to lease.
func HasLeasableLimit(t config.Team) bool { return t.CPUsMax > 0 || t.GPUsMax > 0 }

// LimitOf returns the team's limit, rounded down; 0 for a resource without a limit.
func LimitOf(t config.Team) quotalease.Amount { return quotalease.LimitOf(t.CPUsMax, t.GPUsMax) }

// AmountOf returns resources as an amount of quota, rounded up.
func AmountOf(r matching.Resources) quotalease.Amount { return quotalease.AmountOf(r.CPUs, r.GPUs) }

// Allows reports whether the tasks of a shard may use these resources in total. The team's limit
// must be leased.
func (t *Team) Allows(shard int, use matching.Resources) bool {
	return t.ExceededLimit(shard, use) == ""
}

// ExceededLimit returns the reason, as in package jobspec, why the tasks of a shard may not use
// these resources in total, or "" if they may. The team's limit must be leased.
func (t *Team) ExceededLimit(shard int, use matching.Resources) string {
	amount, ceiling := AmountOf(use), t.Leased.Borrower.Ceiling(shard, t.Leased.Team)
	for kind, limit := range LimitOf(t.Team) {
		if limit > 0 && amount[kind] > ceiling[kind] {
			return [...]string{jobspec.ReasonLimitCPU, jobspec.ReasonLimitGPU}[kind]
		}
	}
	return ""
}

// BelowGuarantee reports whether the use of a shard's tasks is below the shard's share of the
// team's guarantee. One more task may exceed the share: otherwise a share smaller than one task
// would be useless. The team's limit must be leased.
func (t *Team) BelowGuarantee(shard int) bool {
	share := t.Leased.Borrower.GuaranteeShare(shard, t.Leased.Team)
	use := t.Leased.UsedByShard[shard]
	return t.CPUs > 0 && use.CPUs < t.CPUs*share-limitTolerance || t.GPUs > 0 && use.GPUs < t.GPUs*share-limitTolerance
}
