package slurm

import (
	"slices"
	"strconv"
	"strings"
)

// AcctFilter selects the jobs that sacct lists: those that existed in a period and match all
// lists. An empty list matches all jobs.
type AcctFilter struct {
	FromMs, ToMs                             int64 // period in Unix milliseconds; ToMs 0: unbounded
	Users, Accounts, Partitions, States, QOS []string
	Names                                    []string
	Jobs                                     []JobSelector
}

// Matches reports whether the filter selects a record. MatchesRow decides which of its rows are
// listed.
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

// MatchesRow reports whether the filter selects a row of a record for which Matches returned
// true.
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
