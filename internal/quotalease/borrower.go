// Package quotalease divides the limits of teams among the shards of jobs, so that several
// leaders can start tasks of one team and its limit holds whatever crashes, comes late or is
// carried out twice.
//
// A part of a limit belongs to a shard. It is recorded in the state service; only the shard's
// leader takes from it, by a write that is conditional on the version of the shard's key and of
// the record. A leader that ends leaves its parts to whoever leads its shards next.
//
// A Borrower is one leader's side of one record, without any input or output: package quota
// reads and writes for it. A Borrower is not safe for concurrent use.
package quotalease

import "maps"

// Need is what a shard uses of a team's limit, and could use.
type Need struct {
	Use    Amount // of all that may run
	Demand Amount // of all that may run, and of all that waits
	Unit   Amount // least by which the use can grow: the smallest waiting task, or gang
}

// Needs returns what a shard needs of a team's limit.
type Needs func(shard int, team string) Need

// Write is a change of the record. It is to be carried out only if the record still has the
// version Guard, and the key of each shard the version in Shards.
type Write struct {
	Record Record
	Guard  uint64
	Shards map[int]uint64
}

// shardTeam names a team's part for a shard.
type shardTeam struct {
	shard int
	team  string
}

// Borrower is a leader's side of one record.
type Borrower struct {
	UnknownEntries int // rows of unknown leaders, and entries of unknown teams, that were refused

	limits map[string]Amount
	teams  []string // of limits, in order
	shards int

	led              map[int]uint64 // shards of this leader, by the version of their keys
	unleasedVersion  uint64         // see SetShards
	known            Record
	version          uint64 // of known, 0: there is none
	observedRevision uint64 // as of which known was last observed
	pending          *Write // sent, and its outcome is unknown
	rereadNeeded     bool   // known may be older than a write of this leader

	withheld map[shardTeam]Amount        // of led shards' parts, to be given away once it is free
	unneeded map[shardTeam]unneededSince // of led shards' parts, that is not needed
	idle     map[shardTeam]idleState     // of led shards' parts, what is not in use although there is work
	ceilings map[shardTeam]Amount        // see Ceiling
}

// New returns the borrower of a record, which holds the parts of teams with these limits for so
// many shards.
func New(limits map[string]Amount, shards int) *Borrower {
	return &Borrower{
		limits: limits, teams: sortedKeys(limits), shards: shards, led: map[int]uint64{},
		withheld: map[shardTeam]Amount{}, unneeded: map[shardTeam]unneededSince{}, idle: map[shardTeam]idleState{}, ceilings: map[shardTeam]Amount{},
	}
}

// SetShards sets which shards this leader has, by the version of their keys, and the revision
// up to which leaders that do not lease limits may have started tasks in any shard.
func (b *Borrower) SetShards(shards map[int]uint64, unleasedVersion uint64) {
	b.unleasedVersion = max(b.unleasedVersion, unleasedVersion)
	for shard, version := range b.led {
		if shards[shard] == version {
			continue
		}
		delete(b.led, shard)
		for _, team := range b.teams {
			delete(b.withheld, shardTeam{shard, team})
			delete(b.unneeded, shardTeam{shard, team})
			delete(b.idle, shardTeam{shard, team})
		}
	}
	maps.Copy(b.led, shards)
	b.updateCeilings()
}

// Adopted reports whether this leader has written a shard's row itself, under the version of
// the shard's key that it has.
func (b *Borrower) Adopted(shard int) bool {
	row := b.known.row(shard)
	return row != nil && row.LeaderVersion == b.led[shard]
}

// Observe takes the record as it was at a revision of the state service; version 0: there
// was none. An observation older than the last one is ignored.
func (b *Borrower) Observe(record Record, version, revision uint64) {
	if revision < b.observedRevision {
		return // its version would only make the next write fail
	}
	b.observedRevision = revision
	if version == b.version {
		return
	}
	b.known, b.version = record, version
	b.countUnknownEntries()
	// If the pending write was not carried out, it can't be any more: the record has another
	// version than its guard.
	if b.pending != nil && version != b.pending.Guard {
		b.pending, b.rereadNeeded = nil, false
	}
	b.updateCeilings()
}

// Reread takes the record as it was read because of NeedsReread.
func (b *Borrower) Reread(record Record, version, revision uint64) {
	b.Observe(record, version, revision)
	if b.rereadNeeded {
		b.pending, b.rereadNeeded = nil, false
	}
	b.updateCeilings()
}

// NeedsReread reports whether the record has to be read before it is written again.
func (b *Borrower) NeedsReread() bool { return b.rereadNeeded }

// Applied notes that a write was carried out, and gave the record that version.
func (b *Borrower) Applied(write Write, version uint64) {
	if b.pending == nil || b.pending.Guard != write.Guard {
		return // known by what was observed since
	}
	b.pending = nil
	if version > b.observedRevision {
		b.known, b.version, b.observedRevision = write.Record, version, version
	}
	b.updateCeilings()
}

// Rejected notes that a condition of a write did not hold. An earlier copy of it may have been
// carried out, so that the record has to be read before the write is given up.
func (b *Borrower) Rejected(write Write) {
	b.rereadNeeded = b.pending != nil && b.pending.Guard == write.Guard
}

// Ceiling returns how much of a team's limit the tasks of a shard may use for one more to
// start. It is nothing while this leader has not written the row itself: what it knows may be
// from before its predecessor's last write.
func (b *Borrower) Ceiling(shard int, team string) Amount { return b.ceilings[shardTeam{shard, team}] }

// GuaranteeShare returns which share of a team's guarantee falls to a shard, from 0 to 1: as
// large as its part of the limit.
func (b *Borrower) GuaranteeShare(shard int, team string) float64 {
	part, sum, share := b.known.part(shard, team), b.known.leased(team), 0.0
	for kind := range kinds {
		if sum[kind] > 0 {
			share = max(share, float64(part[kind])/float64(sum[kind]))
		}
	}
	return share
}

// updateCeilings works out the ceilings anew.
func (b *Borrower) updateCeilings() {
	clear(b.ceilings)
	if !b.complete(&b.known) {
		return // a shard's tasks that nobody has counted yet may use any part of a limit
	}
	for _, team := range b.teams {
		if !b.known.leased(team).Fits(b.limits[team]) {
			continue // what was adopted is too much already, or the limit was lowered
		}
		for shard, version := range b.led {
			row := b.known.row(shard)
			if row.LeaderVersion != version {
				continue
			}
			ceiling := row.Teams[team].Part
			if b.pending != nil {
				// It may be carried out at any time, whatever became of the response.
				ceiling = ceiling.Min(b.pending.Record.part(shard, team))
			}
			if ceiling = ceiling.Sub(b.withheld[shardTeam{shard, team}]); !ceiling.IsZero() {
				b.ceilings[shardTeam{shard, team}] = ceiling
			}
		}
	}
}

// complete reports whether every shard has a row.
func (b *Borrower) complete(record *Record) bool { return len(record.Rows) == b.shards }

// countUnknownEntries counts what is refused of a record that was observed.
func (b *Borrower) countUnknownEntries() {
	for _, row := range b.known.Rows {
		if version, led := b.led[row.Shard]; led && row.LeaderVersion > version {
			b.UnknownEntries++ // written by a later leader of the shard: this one leads it no more
		}
		for team := range row.Teams {
			if _, known := b.limits[team]; !known {
				b.UnknownEntries++
			}
		}
	}
}
