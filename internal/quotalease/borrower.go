// Package quotalease divides teams' limits among the shards of jobs, so that several leaders
// can start tasks of one team within its limit, even if leaders crash and writes are delayed
// or applied twice.
//
// A part of a limit is leased to a shard and recorded in the state service. Only the shard's
// leader takes from it, by a write that is conditional on the versions of the shard's key and
// of the record. When a leader ends, the next leaders of its shards take over its parts.
//
// A Borrower tracks one record for one leader and plans the leader's writes of it. It does no
// input or output: package quota reads and writes for it. A Borrower is not safe for
// concurrent use.
package quotalease

import "maps"

// Need is the amount of a team's limit that a shard uses and could use.
type Need struct {
	Use    Amount // of all tasks that may be running
	Demand Amount // of all tasks that may be running or wait to start
	Unit   Amount // least by which the use can grow: the smallest waiting task, or gang
}

// Needs returns the need of a shard for a team's limit.
type Needs func(shard int, team string) Need

// Write is a change of the record. It must be applied only if the record still has the version
// Guard, and the key of each shard the version in Shards.
type Write struct {
	Record Record
	Guard  uint64
	Shards map[int]uint64
}

// shardTeam identifies a team's part for a shard.
type shardTeam struct {
	shard int
	team  string
}

// Borrower tracks one record for one leader.
type Borrower struct {
	UnknownEntries int // number of rows written by later leaders of led shards, and of entries of unknown teams; both are ignored

	limits map[string]Amount
	teams  []string // names in limits, sorted
	shards int

	led              map[int]uint64 // shards of this leader, with the versions of their keys
	unleasedVersion  uint64         // see SetShards
	record           Record
	recordVersion    uint64 // version of record; 0: there is none
	observedRevision uint64 // revision of the last observation
	pending          *Write // was sent, and its outcome is unknown
	rereadNeeded     bool   // record may be older than a write of this leader

	withheld map[shardTeam]Amount        // amounts of led shards' parts that new tasks must not use, because other shards are to get them
	unneeded map[shardTeam]unneededSince // amounts of led shards' parts that are not needed
	idle     map[shardTeam]idleState     // for how long led shards have left their parts unused
	ceilings map[shardTeam]Amount        // see Ceiling
}

// New returns the borrower of a record that holds the parts of teams with these limits. shards is
// the number of shards.
func New(limits map[string]Amount, shards int) *Borrower {
	return &Borrower{
		limits: limits, teams: sortedKeys(limits), shards: shards, led: map[int]uint64{},
		withheld: map[shardTeam]Amount{}, unneeded: map[shardTeam]unneededSince{}, idle: map[shardTeam]idleState{}, ceilings: map[shardTeam]Amount{},
	}
}

// SetShards sets the shards that this leader leads, with the versions of their keys, and the
// revision up to which leaders that do not lease limits may have started tasks in any shard.
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

// Adopted reports whether this leader has written a shard's row under its version of the
// shard's key.
func (b *Borrower) Adopted(shard int) bool {
	row := b.record.row(shard)
	return row != nil && row.LeaderVersion == b.led[shard]
}

// Observe updates the borrower with the record as of a revision of the state service; version
// 0 means that there was none. An observation older than the last one is ignored.
func (b *Borrower) Observe(record Record, version, revision uint64) {
	if revision < b.observedRevision {
		return // with an older version the next write would fail
	}
	b.observedRevision = revision
	if version == b.recordVersion {
		return
	}
	b.record, b.recordVersion = record, version
	b.countUnknownEntries()
	// If the pending write was not applied, it never will be: the record's version is no longer
	// the one in its guard.
	if b.pending != nil && version != b.pending.Guard {
		b.pending, b.rereadNeeded = nil, false
	}
	b.updateCeilings()
}

// Reread updates the borrower with the record that was read because of NeedsReread. Unless a
// later observation has settled the rejected write, it is then given up.
func (b *Borrower) Reread(record Record, version, revision uint64) {
	b.Observe(record, version, revision)
	if b.rereadNeeded {
		b.pending, b.rereadNeeded = nil, false
	}
	b.updateCeilings()
}

// NeedsReread reports whether the record has to be read before it is written again.
func (b *Borrower) NeedsReread() bool { return b.rereadNeeded }

// Applied records that a write was applied. version is the version of the record that it wrote.
// The call is ignored if the write is no longer pending.
func (b *Borrower) Applied(write Write, version uint64) {
	if b.pending == nil || b.pending.Guard != write.Guard {
		return // the outcome is known from a later observation
	}
	b.pending = nil
	if version > b.observedRevision {
		b.record, b.recordVersion, b.observedRevision = write.Record, version, version
	}
	b.updateCeilings()
}

// Rejected records that a condition of a write failed. An earlier copy of the write may have
// been applied, so that the record has to be read before the write is given up.
func (b *Borrower) Rejected(write Write) {
	b.rereadNeeded = b.pending != nil && b.pending.Guard == write.Guard
}

// Ceiling returns the amount of a team's limit that a shard's tasks may use in total,
// including one that is about to start. It is zero until this leader has written the shard's
// row: the row that it knows may be older than its predecessor's last write. It is also zero
// while a shard has no row or the sum of the team's parts exceeds the limit.
func (b *Borrower) Ceiling(shard int, team string) Amount { return b.ceilings[shardTeam{shard, team}] }

// GuaranteeShare returns the share of a team's guarantee that a shard gets, from 0 to 1: its
// part divided by the sum of the team's parts, in the kind for which that ratio is largest. It
// is 0 if no part of the team's limit is leased.
func (b *Borrower) GuaranteeShare(shard int, team string) float64 {
	part, sum, share := b.record.part(shard, team), b.record.leased(team), 0.0
	for kind := range kinds {
		if sum[kind] > 0 {
			share = max(share, float64(part[kind])/float64(sum[kind]))
		}
	}
	return share
}

// updateCeilings recomputes the ceilings.
func (b *Borrower) updateCeilings() {
	clear(b.ceilings)
	if !b.complete(&b.record) {
		return // the tasks of a shard without a row may use any part of a limit
	}
	for _, team := range b.teams {
		if !b.record.leased(team).Fits(b.limits[team]) {
			continue // the adopted use exceeds the limit, or the limit was lowered
		}
		for shard, version := range b.led {
			row := b.record.row(shard)
			if row.LeaderVersion != version {
				continue
			}
			ceiling := row.Teams[team].Part
			if b.pending != nil {
				// The pending write may be applied at any time, whether or not its response
				// arrives.
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

// countUnknownEntries counts the entries of an observed record that are ignored.
func (b *Borrower) countUnknownEntries() {
	for _, row := range b.record.Rows {
		if version, led := b.led[row.Shard]; led && row.LeaderVersion > version {
			b.UnknownEntries++ // written by a later leader: this one no longer leads the shard
		}
		for team := range row.Teams {
			if _, known := b.limits[team]; !known {
				b.UnknownEntries++
			}
		}
	}
}
