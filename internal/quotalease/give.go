package quotalease

import "time"

const (
	// remnantAfter is for how long a use must have stood before what is left of its part,
	// too little for one more task, is given away.
	remnantAfter = time.Second
	// gatherPeriod is for how long a part that is too little for any task is kept all the
	// same: what others can spare comes in pieces. It is kept in the first of gatherPeriods
	// such periods, and given to the shard whose turn it is in the rest of them.
	gatherPeriod  = 5 * time.Second
	gatherPeriods = 4
	// turn is how long the same one of the shards that want more is served first. Shorter,
	// and clocks that differ by a second would have leaders serve different ones.
	turn = 2 * time.Second
)

// give gives to the shards that want more what is not needed here, at once. To the one
// whose turn it is it gives of what is needed here, too.
func (p *plan) give(row *Row, need Need) {
	for _, other := range p.wanting(row.Shard) {
		from, to := row.Teams[p.team], other.Teams[p.team]
		if unneeded := from.Part.Sub(need.Demand).Min(to.Want.Sub(to.Part)); !unneeded.IsZero() {
			p.move(row, other, unneeded)
		}
	}
	other := p.inTurn()
	if other == nil || other.Shard == row.Shard || !p.b.idling[p.key(row)].settled(p.now) {
		return
	}
	from, to := row.Teams[p.team], other.Teams[p.team]
	owed := due(from, to)
	free := owed.Min(from.Part.Sub(need.Use))
	if free != owed && to.Unit.Fits(to.Part) {
		free = Amount{} // it can use whole tasks only; one that has too little for any gathers it
	}
	p.move(row, other, free)
	// Nothing new starts with the rest here, so that it comes free. It ends with the turn:
	// the limit would have room for what waits here as long as no task ends.
	p.b.withheld[p.key(row)] = owed.Sub(free)
}

// giveRemnant gives what is left of a part to the shard whose turn it is, if it is too
// little for one more task, or nothing starts with it. Two shards had room for half a task
// each, and the team stayed below its limit with work that waited.
func (p *plan) giveRemnant(row *Row, need Need) {
	left := row.Teams[p.team].Part.Sub(need.Use)
	idling := p.b.idling[p.key(row)]
	switch {
	case left.IsZero() || need.Unit.Fits(left) && !idling.stalled():
		return
	case !idling.gatheringSince.IsZero():
		if p.now.Sub(idling.gatheringSince)/gatherPeriod%gatherPeriods == 0 {
			return
		}
	case p.now.Sub(idling.since) < remnantAfter:
		return
	}
	other := p.inTurn()
	if other == nil || other.Shard == row.Shard {
		return
	}
	to := other.Teams[p.team]
	if more := left.Min(to.Want.Sub(to.Part)); !more.IsZero() {
		p.move(row, other, more)
	}
}

// inTurn is the row that wants more and whose turn it is, or nil. Those that have what they
// want have their turns too, in which they keep it. Every second turn is for those that
// can't start even one task. All leaders choose the same one, as far as their clocks agree.
func (p *plan) inTurn() *Row {
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
	n := p.now.UnixNano() / int64(turn)
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

// wanting returns the other rows that want more, beginning after a shard, so that several
// givers don't all give to the same one.
func (p *plan) wanting(shard int) (rows []*Row) {
	n := len(p.record.Rows)
	for i := 1; i < n; i++ {
		row := &p.record.Rows[(shard+i)%n]
		if entry := row.Teams[p.team]; !entry.Want.Fits(entry.Part) {
			rows = append(rows, row)
		}
	}
	return rows
}

// due is what a shard with the entry from, which needs all it has, is to give to the one whose
// turn it is, which has the entry to: as much as makes parts even, or what the other lacks to
// start one task.
func due(from, to Entry) Amount {
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

// move moves an amount from one row's part to another's.
func (p *plan) move(from, to *Row, amount Amount) {
	fromEntry, toEntry := from.Teams[p.team], to.Teams[p.team]
	fromEntry.Part, toEntry.Part = fromEntry.Part.Sub(amount), toEntry.Part.Add(amount)
	p.update(from, fromEntry)
	p.update(to, toEntry)
}
