package quotalease

import (
	"maps"
	"slices"
	"time"
)

const (
	// excessReturnDelay is how long a part must not have been needed before it is returned even
	// though no other shard wants it. With a shorter time, each pause between two tasks would
	// cost two writes.
	excessReturnDelay = 2 * time.Second
	// wantChangeDivisor limits writes: a want that is already recorded is written again only if it
	// has changed by more than 1/wantChangeDivisor of the recorded amount.
	wantChangeDivisor = 4
)

// unneededSince is the amount of a part that has not been needed at any time since a given time.
type unneededSince struct {
	minimum Amount
	since   time.Time
}

func sortedKeys(m map[string]Amount) []string { return slices.Sorted(maps.Keys(m)) }

// Plan returns the next write, if there is anything to write. While the outcome of a write is
// unknown, it returns that write again. While NeedsReread is true, it returns none.
func (b *Borrower) Plan(now time.Time, needs Needs) (Write, bool) {
	if b.rereadNeeded {
		return Write{}, false
	}
	if b.pending != nil {
		return *b.pending, true
	}
	next := b.record.clone()
	changed := b.adopt(&next, needs)
	if b.complete(&next) {
		for _, team := range b.teams {
			p := teamPlan{b: b, now: now, team: team, limit: b.limits[team], record: &next, needs: needs}
			changed = p.run() || changed
		}
	}
	if changed {
		b.pending = &Write{Record: next, Guard: b.recordVersion, Shards: maps.Clone(b.led)}
	}
	b.updateCeilings()
	if b.pending == nil {
		return Write{}, false
	}
	return *b.pending, true
}

// adopt writes the versions of this leader's shards into their rows. A shard without a row
// gets one whose parts cover the present use of its tasks. Rows that were written before a leader
// that does not lease limits started tasks are removed first: they do not cover those tasks.
func (b *Borrower) adopt(record *Record, needs Needs) (changed bool) {
	before := len(record.Rows)
	record.Rows = slices.DeleteFunc(record.Rows, func(row Row) bool { return row.LeaderVersion < b.unleasedVersion })
	changed = len(record.Rows) < before
	for shard, version := range b.led {
		row := record.row(shard)
		switch {
		case row == nil:
			record.addRow(Row{Shard: shard, LeaderVersion: version})
			b.leaseCurrentUse(record.row(shard), needs)
			changed = true
		case row.LeaderVersion < version:
			row.LeaderVersion = version
			changed = true
		}
	}
	return changed
}

// leaseCurrentUse adds to a new row parts that cover what its shard's tasks already use.
func (b *Borrower) leaseCurrentUse(row *Row, needs Needs) {
	for _, team := range b.teams {
		row.setEntry(team, Entry{Part: needs(row.Shard, team).Use.countedBy(b.limits[team])})
	}
}

// teamPlan plans the changes of one team's parts.
type teamPlan struct {
	b       *Borrower
	now     time.Time
	team    string
	limit   Amount
	record  *Record
	needs   Needs
	changed bool
}

// run changes the team's entries of the led shards, one after the other, and reports whether any
// entry changed. It skips shards whose row a later leader has written.
func (p *teamPlan) run() bool {
	for _, shard := range slices.Sorted(maps.Keys(p.b.led)) {
		row := p.record.row(shard)
		if row.LeaderVersion != p.b.led[shard] {
			continue
		}
		delete(p.b.withheld, p.key(row))
		need := p.updateIdleState(row, p.need(shard))
		if leased := p.record.leased(p.team); !leased.Fits(p.limit) {
			p.reduce(row, need, leased.Sub(p.limit))
		} else {
			p.borrow(row, need)
			p.reallocate(row, need)
			p.reallocateRemainder(row, need)
			p.returnExcess(row, need)
		}
		p.recordWant(row, need)
	}
	return p.changed
}

// key identifies the team's part for a row's shard.
func (p *teamPlan) key(row *Row) shardTeam { return shardTeam{row.Shard, p.team} }

// need returns a shard's need in the kinds that are limited. Demand and unit are at most the
// limit, but the demand is at least the use.
func (p *teamPlan) need(shard int) Need {
	need := p.needs(shard, p.team)
	need.Use = need.Use.countedBy(p.limit)
	need.Demand = need.Demand.countedBy(p.limit).Min(p.limit).Max(need.Use)
	need.Unit = need.Unit.countedBy(p.limit).Min(p.limit)
	return need
}

// setEntry sets a row's entry of the team.
func (p *teamPlan) setEntry(row *Row, entry Entry) {
	if row.Teams[p.team] != entry {
		row.setEntry(p.team, entry)
		p.changed = true
	}
}

// reduce returns the unused remainder of a row's part, but at most over, the amount by which the sum
// of the team's parts exceeds the limit.
func (p *teamPlan) reduce(row *Row, need Need, over Amount) {
	entry := row.Teams[p.team]
	entry.Part = entry.Part.Sub(entry.Part.Sub(need.Use).Min(over))
	p.setEntry(row, entry)
}

// borrow adds to a row's part the amount by which the demand exceeds it, but at most the amount of
// the limit that is not leased to any shard.
func (p *teamPlan) borrow(row *Row, need Need) {
	entry := row.Teams[p.team]
	unleased := p.limit.Sub(p.record.leased(p.team))
	entry.Part = entry.Part.Add(need.Demand.Sub(entry.Part).Min(unleased))
	p.setEntry(row, entry)
}

// returnExcess returns the amount of a row's part that was not needed at any time in the last
// excessReturnDelay.
func (p *teamPlan) returnExcess(row *Row, need Need) {
	key := p.key(row)
	entry := row.Teams[p.team]
	unneeded := entry.Part.Sub(need.Demand)
	last, seen := p.b.unneeded[key]
	switch {
	case unneeded.IsZero():
		delete(p.b.unneeded, key)
	case !seen || last.minimum.Min(unneeded).IsZero():
		p.b.unneeded[key] = unneededSince{unneeded, p.now}
	case p.now.Sub(last.since) < excessReturnDelay:
		p.b.unneeded[key] = unneededSince{last.minimum.Min(unneeded), last.since}
	default:
		delete(p.b.unneeded, key)
		entry.Part = entry.Part.Sub(last.minimum.Min(unneeded))
		p.setEntry(row, entry)
	}
}

// recordWant records a shard's demand as what it wants, if the demand exceeds its part. An unmet
// want that is already recorded is replaced only if the demand or the unit differs much from it.
// If the part covers the demand, an unmet want is removed.
func (p *teamPlan) recordWant(row *Row, need Need) {
	entry, unit := row.Teams[p.team], need.Unit
	if p.b.idle[p.key(row)].stalled() {
		unit = Amount{}
	}
	switch {
	case need.Demand.Fits(entry.Part):
		if entry.Want.Fits(entry.Part) {
			return // a want that is met need not be removed by a write of its own
		}
		entry.Want, entry.Unit = Amount{}, Amount{}
	case entry.Want.Fits(entry.Part) || differsMuch(entry.Want, need.Demand) || differsMuch(entry.Unit, unit):
		entry.Want, entry.Unit = need.Demand, unit
	}
	p.setEntry(row, entry)
}

// differsMuch reports whether b differs from a by more than 1/wantChangeDivisor of a in any
// kind.
func differsMuch(a, b Amount) bool {
	for kind := range kinds {
		if d := max(a[kind], b[kind]) - min(a[kind], b[kind]); d*wantChangeDivisor > a[kind] {
			return true
		}
	}
	return false
}
