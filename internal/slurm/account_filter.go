package slurm

import (
	"slices"
	"strconv"
	"strings"
)

// AcctFilter says which records sacct shows: those with any state in a window of
// time that they were eligible, running or ending in.
type AcctFilter struct {
	FromMs, ToMs                             int64
	Users, Accounts, Partitions, States, QOS []string
	Names                                    []string
	Jobs                                     []Target
}

// Has reports whether a record is meant.
func (f *AcctFilter) Has(r *Record) bool {
	j := &r.Job
	if f.ToMs > 0 && j.Submit > f.ToMs || j.End > 0 && j.End < f.FromMs {
		return false
	}
	return in(f.Users, j.User) && in(f.Accounts, j.Team) && in(f.Partitions, j.Class) && in(f.QOS, j.Priority) && in(f.Names, dash(j.Name, j.Class)) &&
		(len(f.Jobs) == 0 || slices.ContainsFunc(f.Jobs, func(t Target) bool {
			return t.Number >= j.Number && t.Number < j.Number+uint64(max(1, j.Tasks))
		}))
}

// HasLine reports whether a line of a record that is meant is shown.
func (f *AcctFilter) HasLine(r *AcctRow) bool {
	if !in(f.States, r.State) {
		return false
	}
	return len(f.Jobs) == 0 || slices.ContainsFunc(f.Jobs, func(t Target) bool {
		id := strings.TrimSuffix(r.ID, ".batch")
		if t.All {
			return t.Number == r.Job.Number || strings.TrimSuffix(r.RawID, ".batch") == strconv.FormatUint(t.Number, 10)
		}
		_, index, _ := strings.Cut(id, "_")
		x, err := strconv.Atoi(index)
		return t.Number == r.Job.Number && err == nil && t.Indices.Find(x) >= 0
	})
}
