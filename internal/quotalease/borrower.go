// Package quotalease divides the limits of teams among the shards of jobs, so that several
// owners can start tasks of one team and its limit holds whatever crashes, comes late or
// is carried out twice.
//
// A part belongs to a shard. It is recorded in the state service; only the owner of the
// shard takes from it, by a write that is conditional on the shard's key and the record's
// version. An owner that ends leaves its parts to whoever takes its shards over.
//
// A Borrower is one owner's side of one record, without any I/O. It is not safe for
// concurrent use.
package quotalease

import "time"

// Need is what a shard has and could have of a team.
type Need struct {
	Use    Amount // of all that may run
	Demand Amount // the same, and of all that waits
	Unit   Amount // least by which the use can grow: the smallest waiting task, or gang
}

// Needs tells what a shard needs of a team's limit.
type Needs func(shard int, team string) Need

// Write is a change of the record. It is to be carried out if the record still has that
// version and the shards' keys have those.
type Write struct {
	Record Record
	Guard  uint64
	Shards map[int]uint64
}

// share names a team's part of a shard.
type share struct {
	shard int
	team  string
}

// Borrower is an owner's side of one record.
type Borrower struct {
	UnknownEntries int // rows and entries of shards, terms and teams that were refused

	limits map[string]Amount
	teams  []string // of limits, in order
	shards int

	own        map[int]uint64 // shards of this owner, by the version of their keys
	unborrowed uint64         // see Own
	known      Record
	version    uint64 // of known, 0: there is none
	news       uint64 // revision of the latest news
	open       *Write // sent, and its outcome is not known
	reread     bool   // known may be older than a write of this owner

	withheld map[share]Amount // of own parts, to be given away once it is free
	excess   map[share]excess // of own parts, that is not needed
	idling   map[share]idling // of own parts, what is not in use although there is work
	ceilings map[share]Amount // see Ceiling
}

// excess is the least that was not needed of a part since a time.
type excess struct {
	least Amount
	since time.Time
}

// idling is since when a part has stood with that use.
type idling struct {
	use, part   Amount
	since, last time.Time     // of that use and part; of the last look
	grown       time.Time     // when the part last grew
	gathering   time.Time     // since when it is too little for any task; zero: it is not
	unused      time.Duration // with room for one more task, since the last start
}

// New returns the borrower of a record, which holds the parts of teams with these limits.
func New(limits map[string]Amount, shards int) *Borrower {
	return &Borrower{
		limits: limits, teams: sortedKeys(limits), shards: shards, own: map[int]uint64{},
		withheld: map[share]Amount{}, excess: map[share]excess{}, idling: map[share]idling{}, ceilings: map[share]Amount{},
	}
}

// SetShards tells which shards this owner has, by the version of their keys, and up to which
// revision owners that do not borrow may have started tasks in any shard.
func (b *Borrower) SetShards(shards map[int]uint64, unborrowed uint64) {
	b.unborrowed = max(b.unborrowed, unborrowed)
	for s, term := range b.own {
		if shards[s] == term {
			continue
		}
		delete(b.own, s)
		for _, team := range b.teams {
			delete(b.withheld, share{s, team})
			delete(b.excess, share{s, team})
			delete(b.idling, share{s, team})
		}
	}
	for s, term := range shards {
		b.own[s] = term
	}
	b.settle()
}

// Adopted reports whether this owner has written a shard's row under its own term.
func (b *Borrower) Adopted(shard int) bool {
	row := b.known.row(shard)
	return row != nil && row.OwnerVersion == b.own[shard]
}

// Observe takes the record as it was at a revision of the state service; version 0: there
// was none.
func (b *Borrower) Observe(r Record, version, revision uint64) {
	if revision < b.news {
		return // late news: its version would only make the next write fail
	}
	b.news = revision
	if version == b.version {
		return
	}
	b.known, b.version = r, version
	b.count()
	// The open write can't be carried out any more, if it was not: the record has another
	// version than it asks for.
	if b.open != nil && version != b.open.Guard {
		b.open, b.reread = nil, false
	}
	b.settle()
}

// Reread takes the record as it was read after Refused.
func (b *Borrower) Reread(r Record, version, revision uint64) {
	b.Observe(r, version, revision)
	if b.reread {
		b.open, b.reread = nil, false
	}
	b.settle()
}

// NeedsReread reports whether the record has to be read before it is written again.
func (b *Borrower) NeedsReread() bool { return b.reread }

// Applied tells that a write was carried out, and gave the record that version.
func (b *Borrower) Applied(w Write, version uint64) {
	if b.open == nil || b.open.Guard != w.Guard {
		return // known by what was observed since
	}
	b.open = nil
	if version > b.news {
		b.known, b.version, b.news = w.Record, version, version
	}
	b.settle()
}

// Rejected tells that a condition of a write did not hold. An earlier copy of it may have
// been carried out, so that the record has to be read before the write is given up.
func (b *Borrower) Rejected(w Write) { b.reread = b.open != nil && b.open.Guard == w.Guard }

// Ceiling is how much of a team's limit the tasks of a shard may use for one more to
// start. It is nothing while this owner has not written the row under its own term: what
// it knows may be from before its predecessor's last write.
func (b *Borrower) Ceiling(shard int, team string) Amount { return b.ceilings[share{shard, team}] }

// GuaranteeShare is which part of a team's guarantee falls to a shard: as large as its
// part of the limit.
func (b *Borrower) GuaranteeShare(shard int, team string) float64 {
	part, sum, best := b.known.part(shard, team), b.known.lent(team), 0.0
	for k := range kinds {
		if sum[k] > 0 {
			best = max(best, float64(part[k])/float64(sum[k]))
		}
	}
	return best
}

// settle works out the ceilings anew.
func (b *Borrower) settle() {
	clear(b.ceilings)
	if !b.complete(&b.known) {
		return // a shard's tasks that nobody has counted yet may use any part of a limit
	}
	for _, team := range b.teams {
		if !b.known.lent(team).Fits(b.limits[team]) {
			continue // what was taken over is too much already, or the limit was lowered
		}
		for s, term := range b.own {
			row := b.known.row(s)
			if row.OwnerVersion != term {
				continue
			}
			c := row.Teams[team].Part
			if b.open != nil {
				// It may be carried out at any time, whatever became of its answer.
				c = c.Min(b.open.Record.part(s, team))
			}
			if c = c.Less(b.withheld[share{s, team}]); !c.Zero() {
				b.ceilings[share{s, team}] = c
			}
		}
	}
}

// complete reports whether every shard has a row.
func (b *Borrower) complete(r *Record) bool { return len(r.Rows) == b.shards }

// count counts what is refused of a record that came.
func (b *Borrower) count() {
	for _, row := range b.known.Rows {
		if term, own := b.own[row.Shard]; own && row.OwnerVersion > term {
			b.UnknownEntries++ // a term that this owner does not know: it is not the owner any more
		}
		for team := range row.Teams {
			if _, ok := b.limits[team]; !ok {
				b.UnknownEntries++
			}
		}
	}
}
