package quotalease

import (
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/goccy/go-json"
)

// Prefix is the prefix of the records' keys in the state service.
const Prefix = "lent/"

// RecordCount is the number of records that the teams are divided among. It must not
// change: the limit of a team that moved to another record would be leased twice.
const RecordCount = 16

// RecordOf returns the number of the record that holds a team's parts.
func RecordOf(team string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(team)) // never fails
	return int(h.Sum32() % RecordCount)
}

// Key returns the key of a record in the state service.
func Key(record int) string { return fmt.Sprintf("%s%02d", Prefix, record) }

// Record holds the division of some teams' limits among the shards. A shard without a row was
// never led by a leader that leases limits: the use of its tasks is unknown.
type Record struct {
	Rows []Row `json:"rows"` // by shard, ascending
}

// Row holds a shard's parts of the teams' limits.
type Row struct {
	Shard         int              `json:"shard"`
	LeaderVersion uint64           `json:"term"` // version of the shard's key under which its leader last wrote the row
	Teams         map[string]Entry `json:"teams,omitempty"`
}

// Entry is a shard's part of a team's limit, and what it wants of the limit.
type Entry struct {
	Part Amount // leased to the shard
	Want Amount // amount that it could use in total, if that is more than its part
	Unit Amount // least by which its use can grow: a task, or a gang; 0: it starts no tasks
}

const numbersPerEntry = 3 * kinds

// MarshalJSON encodes an entry as an array of its numbers, without trailing zeros.
func (e Entry) MarshalJSON() ([]byte, error) {
	numbers := make([]int64, 0, numbersPerEntry)
	for _, a := range []Amount{e.Part, e.Want, e.Unit} {
		numbers = append(numbers, a[:]...)
	}
	for len(numbers) > 0 && numbers[len(numbers)-1] == 0 {
		numbers = numbers[:len(numbers)-1]
	}
	return json.Marshal(numbers)
}

// UnmarshalJSON decodes the form that MarshalJSON encodes. It refuses amounts that are
// negative or so large that sums of them could overflow.
func (e *Entry) UnmarshalJSON(data []byte) error {
	var numbers []int64
	if err := json.Unmarshal(data, &numbers); err != nil {
		return err // the caller adds what was being decoded
	}
	if len(numbers) > numbersPerEntry {
		return fmt.Errorf("an entry of %d numbers", len(numbers))
	}
	if slices.ContainsFunc(numbers, func(n int64) bool { return n < 0 || n > maxNumber }) {
		return errors.New("an amount out of bounds")
	}
	var all [numbersPerEntry]int64
	copy(all[:], numbers)
	*e = Entry{Part: Amount(all[:kinds]), Want: Amount(all[kinds : 2*kinds]), Unit: Amount(all[2*kinds:])}
	return nil
}

// maxNumber is the largest number in an entry, so that sums of them can't overflow.
const maxNumber = 1 << 50

// Parse parses a record, where shards is the number of shards. It refuses unknown shards, rows that
// are out of order or lack a leader's version, and amounts out of bounds. Teams are checked by the
// Borrower, which knows the settings.
func Parse(data []byte, shards int) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, err
	}
	last := -1
	for _, row := range r.Rows {
		switch {
		case row.Shard < 0 || row.Shard >= shards:
			return Record{}, fmt.Errorf("rows: unknown shard %d of %d", row.Shard, shards)
		case row.Shard <= last:
			return Record{}, fmt.Errorf("rows: shard %d is out of order or given twice", row.Shard)
		case row.LeaderVersion == 0:
			return Record{}, fmt.Errorf("rows: shard %d has no term", row.Shard)
		}
		last = row.Shard
	}
	return r, nil
}

// row returns a shard's row, or nil.
func (r *Record) row(shard int) *Row {
	for i := range r.Rows {
		if r.Rows[i].Shard == shard {
			return &r.Rows[i]
		}
	}
	return nil
}

// part returns a shard's part of a team's limit.
func (r *Record) part(shard int, team string) Amount {
	if row := r.row(shard); row != nil {
		return row.Teams[team].Part
	}
	return Amount{}
}

// addRow adds a shard's first row.
func (r *Record) addRow(row Row) {
	r.Rows = append(r.Rows, row)
	slices.SortFunc(r.Rows, func(a, b Row) int { return a.Shard - b.Shard })
}

// setEntry sets a row's entry of a team; an entry without a part and a want is removed.
func (r *Row) setEntry(team string, entry Entry) {
	if entry.Part.IsZero() && entry.Want.IsZero() {
		delete(r.Teams, team)
		return
	}
	if r.Teams == nil {
		r.Teams = map[string]Entry{}
	}
	r.Teams[team] = entry
}

// leased returns the sum of a team's parts.
func (r *Record) leased(team string) (sum Amount) {
	for i := range r.Rows {
		sum = sum.Add(r.Rows[i].Teams[team].Part)
	}
	return sum
}

// clone returns a copy that shares nothing with r.
func (r *Record) clone() Record {
	out := Record{Rows: slices.Clone(r.Rows)}
	for i := range out.Rows {
		teams := make(map[string]Entry, len(r.Rows[i].Teams))
		maps.Copy(teams, r.Rows[i].Teams)
		out.Rows[i].Teams = teams
	}
	return out
}

// CheckSize returns an error if the parts of teams with these limits may exceed the size of a
// record, valueBytes.
func CheckSize(limits map[string]Amount, shards, valueBytes int) error {
	const longVersion = 1 << 53
	records := [RecordCount]Record{}
	for n := range records {
		for shard := range shards {
			records[n].Rows = append(records[n].Rows, Row{Shard: shard, LeaderVersion: longVersion, Teams: map[string]Entry{}})
		}
	}
	for team, limit := range limits {
		for i := range records[RecordOf(team)].Rows {
			records[RecordOf(team)].Rows[i].setEntry(team, Entry{Part: limit, Want: limit, Unit: limit})
		}
	}
	for n := range records {
		data, err := json.Marshal(records[n])
		if err != nil {
			return fmt.Errorf("encode record %s: %w", Key(n), err)
		}
		if len(data) > valueBytes {
			return fmt.Errorf("parts of %d teams' limits for %d shards take %d bytes in record %s, of %d",
				len(records[n].Rows[0].Teams), shards, len(data), Key(n), valueBytes)
		}
	}
	return nil
}
