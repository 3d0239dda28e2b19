package quotalease

import (
	"maps"
	"slices"
	"time"
)

const (
	// returnAfter is for how long a part must not have been needed before it is returned
	// unasked. Less, and each pause between two tasks would cost two writes.
	returnAfter = 2 * time.Second
	// remnantAfter is for how long a use must have stood before what is left of its part,
	// too little for one more task, is given away.
	remnantAfter = time.Second
	// gatheredFor is for how long a part that is too little for any task is kept all the
	// same: what others can spare comes in pieces. After it, for the rest of so many such
	// times, it is given to whose turn it is.
	gatheredFor = 5 * time.Second
	gatherOneIn = 4
	// stalledAfter is for how long a part must have had room for one more task, and none
	// started, before it counts as not needed.
	stalledAfter = 4 * time.Second
	// turn is how long the same one of the shards that want more is served first. Shorter,
	// and clocks that differ by a second would have owners serve different ones.
	turn = 2 * time.Second
	// wantSteps: a want is written again if it changed by more than one part in so many.
	wantSteps = 4
)

func sortedKeys(m map[string]Amount) []string { return slices.Sorted(maps.Keys(m)) }

// Plan returns the next write, if there is anything to write, or again the one whose
// outcome is not known.
func (b *Borrower) Plan(now time.Time, needs Needs) (Write, bool) {
	if b.reread {
		return Write{}, false
	}
	if b.open != nil {
		return *b.open, true
	}
	next := b.known.clone()
	changed := b.adopt(&next, needs)
	if b.complete(&next) {
		for _, team := range b.teams {
			p := plan{b: b, now: now, team: team, limit: b.limits[team], record: &next, needs: needs}
			changed = p.run() || changed
		}
	}
	if changed {
		b.open = &Write{Record: next, Guard: b.version, Shards: maps.Clone(b.own)}
	}
	b.settle()
	if b.open == nil {
		return Write{}, false
	}
	return *b.open, true
}

// adopt puts this owner's term into its shards' rows. A shard without one gets a row with
// all that its tasks may use, which nobody has counted so far. Rows from before an owner
// that does not borrow started tasks go: they cover none of those.
func (b *Borrower) adopt(r *Record, needs Needs) (changed bool) {
	before := len(r.Rows)
	r.Rows = slices.DeleteFunc(r.Rows, func(row Row) bool { return row.OwnerVersion < b.unborrowed })
	changed = len(r.Rows) < before
	for s, term := range b.own {
		row := r.row(s)
		switch {
		case row == nil:
			r.addRow(Row{Shard: s, OwnerVersion: term})
			b.countAnew(r.row(s), needs)
			changed = true
		case row.OwnerVersion < term:
			row.OwnerVersion = term
			changed = true
		}
	}
	return changed
}

func (b *Borrower) countAnew(row *Row, needs Needs) {
	for _, team := range b.teams {
		row.set(team, Entry{Part: needs(row.Shard, team).Use.within(b.limits[team])})
	}
}

// plan decides on one team's parts.
type plan struct {
	b       *Borrower
	now     time.Time
	team    string
	limit   Amount
	record  *Record
	needs   Needs
	changed bool
}

// need is what a shard needs, as far as the limit counts it and allows.
func (p *plan) need(shard int) Need {
	n := p.needs(shard, p.team)
	n.Use = n.Use.within(p.limit)
	n.Demand = n.Demand.within(p.limit).Min(p.limit).Max(n.Use)
	n.Unit = n.Unit.within(p.limit).Min(p.limit)
	return n
}

func (p *plan) run() bool {
	for _, s := range slices.Sorted(maps.Keys(p.b.own)) {
		row := p.record.row(s)
		if row.OwnerVersion != p.b.own[s] {
			continue
		}
		delete(p.b.withheld, share{s, p.team})
		need := p.watchIdling(row, p.need(s))
		if lent := p.record.lent(p.team); !lent.Fits(p.limit) {
			p.shrink(row, need, lent.Less(p.limit))
		} else {
			p.borrow(row, need)
			p.give(row, need)
			p.giveRemnant(row, need)
			p.giveBack(row, need)
		}
		p.ask(row, need)
	}
	return p.changed
}

// update changes what a row has of the team.
func (p *plan) update(row *Row, e Entry) {
	if row.Teams[p.team] != e {
		row.set(p.team, e)
		p.changed = true
	}
}

// shrink gives up what is not in use while more is lent than the limit.
func (p *plan) shrink(row *Row, need Need, over Amount) {
	e := row.Teams[p.team]
	e.Part = e.Part.Less(e.Part.Less(need.Use).Min(over))
	p.update(row, e)
}

// borrow takes what is needed and nobody has.
func (p *plan) borrow(row *Row, need Need) {
	e := row.Teams[p.team]
	free := p.limit.Less(p.record.lent(p.team))
	e.Part = e.Part.Add(need.Demand.Less(e.Part).Min(free))
	p.update(row, e)
}

// giveBack returns what was not needed for a while.
func (p *plan) giveBack(row *Row, need Need) {
	key := share{row.Shard, p.team}
	e := row.Teams[p.team]
	idle := e.Part.Less(need.Demand)
	x, seen := p.b.excess[key]
	switch {
	case idle.Zero():
		delete(p.b.excess, key)
	case !seen || x.least.Min(idle).Zero():
		p.b.excess[key] = excess{idle, p.now}
	case p.now.Sub(x.since) < returnAfter:
		p.b.excess[key] = excess{x.least.Min(idle), x.since}
	default:
		delete(p.b.excess, key)
		e.Part = e.Part.Less(x.least.Min(idle))
		p.update(row, e)
	}
}

// ask records what a shard could use beyond its part.
func (p *plan) ask(row *Row, need Need) {
	e, unit := row.Teams[p.team], need.Unit
	if p.b.idling[share{row.Shard, p.team}].stalled() {
		unit = Amount{}
	}
	switch {
	case need.Demand.Fits(e.Part):
		if e.Want.Fits(e.Part) {
			return // a want that is met needs no write to go
		}
		e.Want, e.Unit = Amount{}, Amount{}
	case e.Want.Fits(e.Part) || differs(e.Want, need.Demand) || differs(e.Unit, unit):
		e.Want, e.Unit = need.Demand, unit
	}
	p.update(row, e)
}

func differs(a, b Amount) bool {
	for k := range kinds {
		if d := max(a[k], b[k]) - min(a[k], b[k]); d*wantSteps > a[k] {
			return true
		}
	}
	return false
}

// give gives to the shards that want more what is not needed here, at once. To the one
// whose turn it is it gives of what is needed here, too.
func (p *plan) give(row *Row, need Need) {
	for _, other := range p.others(row.Shard) {
		e, o := row.Teams[p.team], other.Teams[p.team]
		if idle := e.Part.Less(need.Demand).Min(o.Want.Less(o.Part)); !idle.Zero() {
			p.move(row, other, idle)
		}
	}
	other := p.inTurn()
	if other == nil || other.Shard == row.Shard || !p.b.idling[share{row.Shard, p.team}].settled(p.now) {
		return
	}
	e, o := row.Teams[p.team], other.Teams[p.team]
	more := due(e, o)
	now := more.Min(e.Part.Less(need.Use))
	if now != more && o.Unit.Fits(o.Part) {
		now = Amount{} // it can use whole tasks only; one that has too little for any gathers it
	}
	p.move(row, other, now)
	// Nothing new starts with the rest here, so that it comes free. It ends with the turn:
	// the limit would have room for what waits here as long as no task ends.
	p.b.withheld[share{row.Shard, p.team}] = more.Less(now)
}

// giveRemnant gives what is left of a part to the shard whose turn it is, if it is too
// little for one more task, or nothing starts with it. Two shards had room for half a task
// each, and the team stayed below its limit with work that waited.
func (p *plan) giveRemnant(row *Row, need Need) {
	part := row.Teams[p.team].Part
	left := part.Less(need.Use)
	idling := p.b.idling[share{row.Shard, p.team}]
	switch {
	case left.Zero() || need.Unit.Fits(left) && !idling.stalled():
		return
	case !idling.gathering.IsZero():
		if p.now.Sub(idling.gathering)/gatheredFor%gatherOneIn == 0 {
			return
		}
	case p.now.Sub(idling.since) < remnantAfter:
		return
	}
	to := p.inTurn()
	if to == nil || to.Shard == row.Shard {
		return
	}
	o := to.Teams[p.team]
	if more := left.Min(o.Want.Less(o.Part)); !more.Zero() {
		p.move(row, to, more)
	}
}

// stalled reports whether nothing started for long although there was room for it.
func (i idling) stalled() bool { return i.unused >= stalledAfter }

// settled reports whether a part has not grown just now: else its owner has had no time to
// use it.
func (i idling) settled(now time.Time) bool { return now.Sub(i.grown) >= remnantAfter }

// watchIdling notes since when a part has stood partly unused. Of a shard that starts
// nothing, because no machine has room for its tasks, it lowers what counts as needed.
func (p *plan) watchIdling(row *Row, need Need) Need {
	key, part := share{row.Shard, p.team}, row.Teams[p.team].Part
	i, seen := p.b.idling[key]
	if !seen || !need.Use.Fits(i.use) || need.Demand == need.Use {
		i = idling{part: i.part, grown: i.grown, since: p.now, last: p.now}
	}
	if !part.Fits(i.part) {
		i.grown, i.since = p.now, p.now
	}
	if need.Use != i.use || need.Use == part {
		i.since = p.now
	}
	if startable := p.b.Ceiling(row.Shard, p.team).Less(need.Use); !startable.Zero() && need.Unit.Fits(startable) && i.settled(p.now) {
		i.unused += p.now.Sub(i.last)
	}
	switch {
	case need.Unit.Fits(part):
		i.gathering = time.Time{}
	case i.gathering.IsZero() && !part.Zero():
		i.gathering = p.now // gone on with by pieces that come and go
	}
	i.use, i.part, i.last = need.Use, part, p.now
	p.b.idling[key] = i
	if i.stalled() {
		need.Demand = need.Demand.Min(need.Use.Add(need.Unit))
	}
	return need
}

// inTurn is the row that wants more and whose turn it is, or nil. Those that have what they
// want have their turns too, in which they keep it. Every second turn is for those that
// can't start even one task. All owners choose the same one, as far as their clocks agree.
func (p *plan) inTurn() *Row {
	var all, starving []*Row
	for i := range p.record.Rows {
		row := &p.record.Rows[i]
		e, takesPart := row.Teams[p.team]
		if !takesPart {
			continue
		}
		all = append(all, row)
		if !e.Want.Fits(e.Part) && !e.Unit.Fits(e.Part) {
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
	if e := row.Teams[p.team]; e.Want.Fits(e.Part) {
		return nil
	}
	return row
}

// others are the rows that want more, beginning after a shard, so that several givers
// don't all give to the same one.
func (p *plan) others(shard int) (rows []*Row) {
	n := len(p.record.Rows)
	for i := 1; i < n; i++ {
		row := &p.record.Rows[(shard+i)%n]
		if e := row.Teams[p.team]; !e.Want.Fits(e.Part) {
			rows = append(rows, row)
		}
	}
	return rows
}

// due is what a shard with entry e, which needs all it has, is to give to the one whose
// turn it is, which has o: as much as makes parts even, or what the other lacks to start
// one task.
func due(e, o Entry) Amount {
	unmet := o.Want.Less(o.Part)
	unit, lacks := o.Unit.Min(unmet), o.Unit.Less(o.Part)
	if o.stalled() {
		unit = unmet
		if o.Part.Zero() {
			lacks = unmet
		}
	}
	if unit.Fits(e.Part) && o.Part.Add(unit).Fits(e.Part.Less(unit)) {
		return unit
	}
	return lacks.Min(e.Part)
}

// stalled reports whether an entry is of a shard that wants a part and starts nothing.
func (e Entry) stalled() bool { return e.Unit.Zero() }

func (p *plan) move(from, to *Row, amount Amount) {
	e, o := from.Teams[p.team], to.Teams[p.team]
	e.Part, o.Part = e.Part.Less(amount), o.Part.Add(amount)
	p.update(from, e)
	p.update(to, o)
}
