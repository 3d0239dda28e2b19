package quotalease

import "time"

// stalledAfter is for how long a part must have had room for one more task, and none started,
// before it counts as not needed.
const stalledAfter = 4 * time.Second

// idling is since when a part has stood with that use.
type idling struct {
	use, part       Amount
	since, lookedAt time.Time     // of that use and part; of the last look
	grownAt         time.Time     // when the part last grew
	gatheringSince  time.Time     // since when it is too little for any task; zero: it is not
	unused          time.Duration // with room for one more task, since the last start
}

// stalled reports whether nothing started for long although there was room for it.
func (i idling) stalled() bool { return i.unused >= stalledAfter }

// settled reports whether a part has not grown just now: else its leader has had no time to
// use it.
func (i idling) settled(now time.Time) bool { return now.Sub(i.grownAt) >= remnantAfter }

// watchIdling notes since when a part has stood partly unused. For a shard that starts nothing,
// because no worker has room for its tasks, it lowers what counts as needed.
func (p *plan) watchIdling(row *Row, need Need) Need {
	key, part := p.key(row), row.Teams[p.team].Part
	i, seen := p.b.idling[key]
	if !seen || !need.Use.Fits(i.use) || need.Demand == need.Use {
		i = idling{part: i.part, grownAt: i.grownAt, since: p.now, lookedAt: p.now}
	}
	if !part.Fits(i.part) {
		i.grownAt, i.since = p.now, p.now
	}
	if need.Use != i.use || need.Use == part {
		i.since = p.now
	}
	if startable := p.b.Ceiling(row.Shard, p.team).Sub(need.Use); !startable.IsZero() && need.Unit.Fits(startable) && i.settled(p.now) {
		i.unused += p.now.Sub(i.lookedAt)
	}
	switch {
	case need.Unit.Fits(part):
		i.gatheringSince = time.Time{}
	case i.gatheringSince.IsZero() && !part.IsZero():
		i.gatheringSince = p.now // kept while pieces come and go
	}
	i.use, i.part, i.lookedAt = need.Use, part, p.now
	p.b.idling[key] = i
	if i.stalled() {
		need.Demand = need.Demand.Min(need.Use.Add(need.Unit))
	}
	return need
}
