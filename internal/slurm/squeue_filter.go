package slurm

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/wallrack/wallrack/internal/jobspec"
)

// JobSelector is a parsed job id from a command line. It selects a job or tasks of its array.
type JobSelector struct {
	Number  uint64
	Indices jobspec.Ranges // array indices of the selected tasks; unused if All is set
	All     bool           // selects the job whose number is Number, or the one array task with that job number
}

// invalidID returns the error for a malformed job id.
func invalidID(s string) error {
	return &UsageError{Message: fmt.Sprintf("Invalid job id %.60s", s)}
}

// ParseJobSelector parses a job id such as 123, 123_4 or 123_[0-3,7]. The error is a *UsageError.
func ParseJobSelector(s string) (JobSelector, error) {
	number, tasks, hasTasks := strings.Cut(s, "_")
	n, err := strconv.ParseUint(number, 10, 47)
	if err != nil || n == 0 {
		return JobSelector{}, invalidID(s)
	}
	if !hasTasks {
		return JobSelector{Number: n, All: true}, nil
	}
	if inner, bracketed := strings.CutPrefix(tasks, "["); bracketed {
		if tasks, bracketed = strings.CutSuffix(inner, "]"); !bracketed {
			return JobSelector{}, invalidID(s)
		}
	}
	indices, err := jobspec.ParseRanges(tasks)
	if err != nil {
		return JobSelector{}, &UsageError{Message: fmt.Sprintf("Invalid job id %.60s: %v", s, err)}
	}
	return JobSelector{Number: n, Indices: indices}, nil
}

// TasksByIndex translates array indices to task indices, which start at 0. The job has the given
// number of tasks and the given --array value. It fails if an index is not in the array.
func TasksByIndex(wanted jobspec.Ranges, tasks int, array string) (jobspec.Ranges, error) {
	arrayIndices := indices(tasks, array)
	var found []int
	for index := range wanted.All() {
		task := arrayIndices.IndexOf(index)
		if task < 0 {
			return jobspec.Ranges{}, fmt.Errorf("the array has no task %d", index)
		}
		found = append(found, task)
	}
	return jobspec.RangesOf(found), nil
}

// QueueFilter selects the rows that squeue lists, and those whose tasks scancel cancels. An empty
// list matches all rows.
type QueueFilter struct {
	Users, States, Partitions, Accounts, Names, QOS []string
	Jobs                                            []JobSelector
}

// matchesList reports whether the list contains s or is empty.
func matchesList(list []string, s string) bool { return len(list) == 0 || slices.Contains(list, s) }

// Matches reports whether the filter selects a row.
func (f *QueueFilter) Matches(r *QueueRow) bool {
	if !matchesList(f.Users, r.Constraints.User) || !matchesList(f.States, r.State) || !matchesList(f.Partitions, r.Job.Class) || !matchesList(f.Accounts, r.Job.Team) ||
		!matchesList(f.Names, orDefault(r.Constraints.Name, r.Job.Class)) || !matchesList(f.QOS, r.Job.Priority) {
		return false
	}
	if len(f.Jobs) == 0 {
		return true
	}
	return slices.ContainsFunc(f.Jobs, func(t JobSelector) bool { return t.matchesRow(r) })
}

// matchesRow reports whether the selector selects the row's task. A row that stands for several
// tasks matches if the selector is for any task of the same job, even one that is not in the row.
func (t JobSelector) matchesRow(r *QueueRow) bool {
	last := r.Constraints.Number + uint64(max(1, r.Job.Tasks)) - 1
	switch {
	case t.Number < r.Constraints.Number || t.Number > last:
		return false
	case !t.All:
		if t.Number != r.Constraints.Number {
			return false
		}
		index, err := strconv.Atoi(r.Index)
		return err == nil && t.Indices.IndexOf(index) >= 0 || err != nil && r.Tasks > 1
	}
	return t.Number == r.Constraints.Number || t.Number == r.RawID || r.Tasks > 1
}
