package quotalease

import "time"

// stallTimeout is how long a part must have been large enough for one more task, without a task
// being started, before what exceeds that task counts as not needed.
const stallTimeout = 4 * time.Second

// idleState records for how long a shard has left its part, or a share of it, unused.
type idleState struct {
	use, part         Amount
	since, checkedAt  time.Time     // since when the use is unchanged and below part and demand, without growth of the part; last update
	grownAt           time.Time     // when the part last grew
	accumulatingSince time.Time     // since when the part has been too small for any task; zero if it is large enough
	unusedFor         time.Duration // time with room for one more task, since the last start
}

// stalled reports whether there was room for one more task for stallTimeout, but none started.
func (i idleState) stalled() bool { return i.unusedFor >= stallTimeout }

// settled reports whether the part has not grown recently: after it grows, its leader needs
// time to use it.
func (i idleState) settled(now time.Time) bool { return now.Sub(i.grownAt) >= settleTime }

// updateIdleState updates the idle state of a row's part and returns need. If the shard is
// stalled, because no worker has resources free for its tasks, the returned demand is at most
// the use and one more task.
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
		i.accumulatingSince = p.now // not set again when amounts are added or taken later
	}
	i.use, i.part, i.checkedAt = need.Use, part, p.now
	p.b.idle[key] = i
	if i.stalled() {
		need.Demand = need.Demand.Min(need.Use.Add(need.Unit))
	}
	return need
}
