package jobstate

import (
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/quotalease"
)

// Team is a team and what its tasks use on this leader's shards.
type Team struct {
	config.Team
	Used   matching.Resources // of all placements by which a task may run
	Leased *LeasedLimit       // nil: the team's shard has the whole limit
}

// LeasedLimit is the part of a team's limit that this leader has leased, and its use.
type LeasedLimit struct {
	Team        string
	Borrower    *quotalease.Borrower
	UsedByShard map[int]matching.Resources // of all placements by which a task may run
}

// Count adds resources to the use of a shard, or subtracts them, by the sign 1 or -1.
func (l *LeasedLimit) Count(shard int, resources matching.Resources, sign float64) {
	l.UsedByShard[shard] = l.UsedByShard[shard].Add(resources, sign)
}

// HasLeasableLimit reports whether the team's limit is leased in parts. A team with a guarantee alone has
// no limit to lease.
func HasLeasableLimit(t config.Team) bool { return t.CPUsMax > 0 || t.GPUsMax > 0 }

// LimitOf returns the team's limit, rounded down; 0 of a kind: no limit.
func LimitOf(t config.Team) quotalease.Amount { return quotalease.LimitOf(t.CPUsMax, t.GPUsMax) }

// AmountOf returns the amount in use by resources, rounded up.
func AmountOf(r matching.Resources) quotalease.Amount { return quotalease.AmountOf(r.CPUs, r.GPUs) }

// Allows reports whether the tasks of a shard may use so much. The team's limit must be leased.
func (t *Team) Allows(shard int, use matching.Resources) bool {
	return t.ExceededLimit(shard, use) == ""
}

// ExceededLimit returns the reason, of package jobspec, by which the tasks of a shard may not
// use so much, or "" if they may. The team's limit must be leased.
func (t *Team) ExceededLimit(shard int, use matching.Resources) string {
	amount, ceiling := AmountOf(use), t.Leased.Borrower.Ceiling(shard, t.Leased.Team)
	for kind, limit := range LimitOf(t.Team) {
		if limit > 0 && amount[kind] > ceiling[kind] {
			return [...]string{jobspec.ReasonLimitCPU, jobspec.ReasonLimitGPU}[kind]
		}
	}
	return ""
}

// BelowGuarantee reports whether the tasks of a shard use less than the shard's share of the
// team's guarantee, which a further task may exceed: else a share smaller than one task would
// be worth nothing. The team's limit must be leased.
func (t *Team) BelowGuarantee(shard int) bool {
	share := t.Leased.Borrower.GuaranteeShare(shard, t.Leased.Team)
	use := t.Leased.UsedByShard[shard]
	return t.CPUs > 0 && use.CPUs < t.CPUs*share-limitTolerance || t.GPUs > 0 && use.GPUs < t.GPUs*share-limitTolerance
}
