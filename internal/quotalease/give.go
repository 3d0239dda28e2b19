package quotalease

import "time"

const (
	// settleTime is for how long a use must have stood before what is left of its part,
	// too little for one more task, is given away.
	settleTime = time.Second
	// accumulationPeriod is for how long a part that is too little for any task is kept all the
	// same: what others can spare comes in pieces. It is kept in the first of gatherPeriods
	// such periods, and given to the shard whose turn it is in the rest of them.
	accumulationPeriod = 5 * time.Second
	accumulationCycle  = 4
	// turnDuration is how long the same one of the shards that want more is served first. Shorter,
	// and clocks that differ by a second would have leaders serve different ones.
	turnDuration = 2 * time.Second
)

// reallocate gives to the shards that want more what is not needed here, at once. To the one
// whose turn it is it gives of what is needed here, too.
func (p *teamPlan) reallocate(row *Row, need Need) {
	for _, other := range p.rowsWantingMore(row.Shard) {
		from, to := row.Teams[p.team], other.Teams[p.team]
		if unneeded := from.Part.Sub(need.Demand).Min(to.Want.Sub(to.Part)); !unneeded.IsZero() {
			p.moveAmount(row, other, unneeded)
		}
	}
	other := p.rowInTurn()
	if other == nil || other.Shard == row.Shard || !p.b.idle[p.key(row)].settled(p.now) {
		return
	}
	from, to := row.Teams[p.team], other.Teams[p.team]
	owed := amountOwed(from, to)
	free := owed.Min(from.Part.Sub(need.Use))
	if free != owed && to.Unit.Fits(to.Part) {
		free = Amount{} // it can use whole tasks only; one that has too little for any gathers it
	}
	p.moveAmount(row, other, free)
	// Nothing new starts with the rest here, so that it comes free. It ends with the turn:
	// the limit would have room for what waits here as long as no task ends.
	p.b.withheld[p.key(row)] = owed.Sub(free)
}

// reallocateRemainder gives what is left of a part to the shard whose turn it is, if it is too
// little for one more task, or nothing starts with it. Two shards had room for half a task
// each, and the team stayed below its limit with work that waited.
func (p *teamPlan) reallocateRemainder(row *Row, need Need) {
	remainder := row.Teams[p.team].Part.Sub(need.Use)
	idling := p.b.idle[p.key(row)]
	switch {
	case remainder.IsZero() || need.Unit.Fits(remainder) && !idling.stalled():
		return
	case !idling.accumulatingSince.IsZero():
		if p.now.Sub(idling.accumulatingSince)/accumulationPeriod%accumulationCycle == 0 {
			return
		}
	case p.now.Sub(idling.since) < settleTime:
		return
	}
	other := p.rowInTurn()
	if other == nil || other.Shard == row.Shard {
		return
	}
	to := other.Teams[p.team]
	if more := remainder.Min(to.Want.Sub(to.Part)); !more.IsZero() {
		p.moveAmount(row, other, more)
	}
}

// rowInTurn is the row that wants more and whose turn it is, or nil. Those that have what they
// want have their turns too, in which they keep it. Every second turn is for those that
// can't start even one task. All leaders choose the same one, as far as their clocks agree.
func (p *teamPlan) rowInTurn() *Row {
	var all, starving []*Row
	for i := range p.record.Rows {
		row := &p.record.Rows[i]
		entry, takesPart := row.Teams[p.team]
		if !takesPart {
			continue
		}
		all = append(all, row)
		if !entry.Want.Fits(entry.Part) && !entry.Unit.Fits(entry.Part) {
			starving = append(starving, row)
		}
	}
	n := p.now.UnixNano() / int64(turnDuration)
	if len(starving) > 0 && n%2 == 0 {
		return starving[n/2%int64(len(starving))]
	}
	if len(all) == 0 {
		return nil
	}
	row := all[n/2%int64(len(all))]
	if entry := row.Teams[p.team]; entry.Want.Fits(entry.Part) {
		return nil
	}
	return row
}

// rowsWantingMore returns the other rows that want more, beginning after a shard, so that several
// givers don't all give to the same one.
func (p *teamPlan) rowsWantingMore(shard int) (rows []*Row) {
	n := len(p.record.Rows)
	for i := 1; i < n; i++ {
		row := &p.record.Rows[(shard+i)%n]
		if entry := row.Teams[p.team]; !entry.Want.Fits(entry.Part) {
			rows = append(rows, row)
		}
	}
	return rows
}

// amountOwed is what a shard with the entry from, which needs all it has, is to give to the one whose
// turn it is, which has the entry to: as much as makes parts even, or what the other lacks to
// start one task.
func amountOwed(from, to Entry) Amount {
	unmet := to.Want.Sub(to.Part)
	unit, lacks := to.Unit.Min(unmet), to.Unit.Sub(to.Part)
	if to.stalled() {
		unit = unmet
		if to.Part.IsZero() {
			lacks = unmet
		}
	}
	if unit.Fits(from.Part) && to.Part.Add(unit).Fits(from.Part.Sub(unit)) {
		return unit
	}
	return lacks.Min(from.Part)
}

// stalled reports whether an entry is of a shard that wants a part and starts nothing.
func (e Entry) stalled() bool { return e.Unit.IsZero() }

// moveAmount moves an amount from one row's part to another's.
func (p *teamPlan) moveAmount(from, to *Row, amount Amount) {
	fromEntry, toEntry := from.Teams[p.team], to.Teams[p.team]
	fromEntry.Part, toEntry.Part = fromEntry.Part.Sub(amount), toEntry.Part.Add(amount)
	p.setEntry(from, fromEntry)
	p.setEntry(to, toEntry)
}
