package quotalease

import "time"

// stallTimeout is for how long a part must have had room for one more task, and none started,
// before it counts as not needed.
const stallTimeout = 4 * time.Second

// idleState is since when a part has stood with that use.
type idleState struct {
	use, part         Amount
	since, checkedAt  time.Time     // of that use and part; of the last look
	grownAt           time.Time     // when the part last grew
	accumulatingSince time.Time     // since when it is too little for any task; zero: it is not
	unusedFor         time.Duration // with room for one more task, since the last start
}

// stalled reports whether nothing started for long although there was room for it.
func (i idleState) stalled() bool { return i.unusedFor >= stallTimeout }

// settled reports whether a part has not grown just now: else its leader has had no time to
// use it.
func (i idleState) settled(now time.Time) bool { return now.Sub(i.grownAt) >= settleTime }

// updateIdleState notes since when a part has stood partly unused. For a shard that starts nothing,
// because no worker has room for its tasks, it lowers what counts as needed.
func (p *teamPlan) updateIdleState(row *Row, need Need) Need {
	key, part := p.key(row), row.Teams[p.team].Part
	i, seen := p.b.idle[key]
	if !seen || !need.Use.Fits(i.use) || need.Demand == need.Use {
		i = idleState{part: i.part, grownAt: i.grownAt, since: p.now, checkedAt: p.now}
	}
	if !part.Fits(i.part) {
		i.grownAt, i.since = p.now, p.now
	}
	if need.Use != i.use || need.Use == part {
		i.since = p.now
	}
	if startable := p.b.Ceiling(row.Shard, p.team).Sub(need.Use); !startable.IsZero() && need.Unit.Fits(startable) && i.settled(p.now) {
		i.unusedFor += p.now.Sub(i.checkedAt)
	}
	switch {
	case need.Unit.Fits(part):
		i.accumulatingSince = time.Time{}
	case i.accumulatingSince.IsZero() && !part.IsZero():
		i.accumulatingSince = p.now // kept while pieces come and go
	}
	i.use, i.part, i.checkedAt = need.Use, part, p.now
	p.b.idle[key] = i
	if i.stalled() {
		need.Demand = need.Demand.Min(need.Use.Add(need.Unit))
	}
	return need
}
