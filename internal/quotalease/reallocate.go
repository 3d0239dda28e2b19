package quotalease

import "time"

const (
	// settleTime is how long a shard's use must have been unchanged before an unused remainder
	// of its part is moved to another shard. A part that has grown is left to its shard for the
	// same time.
	settleTime = time.Second
	// accumulationPeriod is how long a part that is too small for any task stays with its shard,
	// since other shards move amounts to it in pieces. It stays in the first of every
	// accumulationCycle such periods. In the others it is moved to the shard whose turn it is.
	accumulationPeriod = 5 * time.Second
	accumulationCycle  = 4
	// turnDuration is how long a shard keeps its turn (rowInTurn) while any shard is starving, that
	// is, wants more and lacks the amount for one task. Otherwise a turn lasts twice as long. The shard in turn also gets amounts that
	// other shards owe it or leave unused. With shorter turns, leaders whose clocks differ by a
	// second would usually choose different shards.
	turnDuration = 2 * time.Second
)

// reallocate moves the amount of a row's part that exceeds the shard's demand to shards that
// want more, without delay. The shard whose turn it is also gets at most the amount owed to it
// (amountOwed), from what the tasks of this shard do not use, unless the part has just grown.
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
		free = Amount{} // the receiver has enough for one task; an addition too small for another one is of no use
	}
	p.moveAmount(row, other, free)
	// The rest of the amount owed is withheld from new tasks here, so that it becomes free. This
	// ends with the turn: otherwise the amount would stay unused, although tasks wait here, as
	// long as no running task ends.
	p.b.withheld[p.key(row)] = owed.Sub(free)
}

// reallocateRemainder moves the unused remainder of a shard's part to the shard whose turn it
// is. It does so, after a delay, if the remainder is too small for one more task, or if it is
// large enough but the shard starts no tasks. Without this, two shards could each hold half of
// what a task needs, and the team would stay below its limit while tasks wait.
func (p *teamPlan) reallocateRemainder(row *Row, need Need) {
	remainder := row.Teams[p.team].Part.Sub(need.Use)
	idle := p.b.idle[p.key(row)]
	switch {
	case remainder.IsZero() || need.Unit.Fits(remainder) && !idle.stalled():
		return
	case !idle.accumulatingSince.IsZero():
		if p.now.Sub(idle.accumulatingSince)/accumulationPeriod%accumulationCycle == 0 {
			return
		}
	case p.now.Sub(idle.since) < settleTime:
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

// rowInTurn returns the row whose turn it is, or nil if that row does not want more. Rows whose
// parts cover what they want get turns too; nothing is moved in them. Every second turn is for rows that
// can't start even one task, if there are any. All leaders choose the same row, as far as
// their clocks agree.
func (p *teamPlan) rowInTurn() *Row {
	var all, starving []*Row
	for i := range p.record.Rows {
		row := &p.record.Rows[i]
		entry, hasEntry := row.Teams[p.team]
		if !hasEntry {
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

// rowsWantingMore returns the other rows that want more, beginning after a shard, so that
// leaders do not all give to the same one.
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

// amountOwed returns the amount that the shard of the entry from, which needs all of its part,
// must give to the shard of the entry to, whose turn it is. It is the amount for one more task of
// the receiver if the receiver's part then does not exceed the giver's, and otherwise the amount
// that the receiver lacks to start its first task.
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

// stalled reports whether the entry's shard wants a part but starts no tasks.
func (e Entry) stalled() bool { return e.Unit.IsZero() }

// moveAmount moves an amount from one row's part to another's.
func (p *teamPlan) moveAmount(from, to *Row, amount Amount) {
	fromEntry, toEntry := from.Teams[p.team], to.Teams[p.team]
	fromEntry.Part, toEntry.Part = fromEntry.Part.Sub(amount), toEntry.Part.Add(amount)
	p.setEntry(from, fromEntry)
	p.setEntry(to, toEntry)
}
