package slurm

import (
	"slices"
	"strconv"
	"strings"
)

// AcctFilter selects the jobs that sacct lists. A job must match every list, and its time from
// submission to end must overlap the period. An empty list matches all jobs.
type AcctFilter struct {
	FromMs, ToMs                             int64 // period in Unix milliseconds; ToMs 0: unbounded
	Users, Accounts, Partitions, States, QOS []string
	Names                                    []string
	Jobs                                     []JobSelector
}

// Matches reports whether a record matches the period and all lists except States. MatchesRow
// decides which of the record's rows are listed.
func (f *AcctFilter) Matches(r *Record) bool {
	job := &r.Job
	if f.ToMs > 0 && job.Submit > f.ToMs || job.End > 0 && job.End < f.FromMs {
		return false
	}
	return matchesList(f.Users, job.User) && matchesList(f.Accounts, job.Team) && matchesList(f.Partitions, job.Class) && matchesList(f.QOS, job.Priority) && matchesList(f.Names, orDefault(job.Name, job.Class)) &&
		(len(f.Jobs) == 0 || slices.ContainsFunc(f.Jobs, func(t JobSelector) bool {
			return t.Number >= job.Number && t.Number < job.Number+uint64(max(1, job.Tasks))
		}))
}

// MatchesRow reports whether a row matches the lists States and Jobs. Matches must have returned
// true for its record.
func (f *AcctFilter) MatchesRow(r *AcctRow) bool {
	if !matchesList(f.States, r.State) {
		return false
	}
	return len(f.Jobs) == 0 || slices.ContainsFunc(f.Jobs, func(t JobSelector) bool {
		id := strings.TrimSuffix(r.ID, ".batch")
		if t.All {
			return t.Number == r.Job.Number || strings.TrimSuffix(r.RawID, ".batch") == strconv.FormatUint(t.Number, 10)
		}
		_, index, _ := strings.Cut(id, "_")
		n, err := strconv.Atoi(index)
		return t.Number == r.Job.Number && err == nil && t.Indices.IndexOf(n) >= 0
	})
}
