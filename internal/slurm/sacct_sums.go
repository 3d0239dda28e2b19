package slurm

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Sum is the total usage of a group of jobs. The tags of its fields are the column names in exports.
type Sum struct {
	Key            string  `json:"key" parquet:"key"`
	Jobs           int     `json:"jobs" parquet:"jobs"`
	Tasks          int     `json:"tasks" parquet:"tasks"` // completed tasks
	Attempts       int     `json:"attempts" parquet:"attempts"`
	CPUHours       float64 `json:"cpu_hours" parquet:"cpu_hours"`
	MemoryGBHours  float64 `json:"memory_gb_hours" parquet:"memory_gb_hours"`
	UsefulCPUHours float64 `json:"useful_cpu_hours" parquet:"useful_cpu_hours"`
	LostCPUHours   float64 `json:"lost_cpu_hours" parquet:"lost_cpu_hours"`
	Cost           float64 `json:"cost" parquet:"cost"`
	TotalWaitS     float64 `json:"wait_s" parquet:"wait_s"` // sum of the jobs' times from eligible to start, in seconds
}

// groupKeys returns the functions that determine the group of a record. The map's keys are the values
// of wallctl accounting report --by.
func groupKeys(zone *time.Location) map[string]func(*Record) string {
	return map[string]func(*Record) string{
		"account": func(r *Record) string { return r.Job.Team },
		"class":   func(r *Record) string { return r.Job.Class },
		"user":    func(r *Record) string { return orDefault(r.Job.User, "-") },
		"day": func(r *Record) string {
			if r.Job.End == 0 {
				return "running"
			}
			return time.UnixMilli(r.Job.End).In(zone).Format(time.DateOnly)
		},
	}
}

// Summarize returns the total usage by account, class, user or day, ordered by group. The day is
// that of the job's end in the given zone. The error is a *UsageError.
func Summarize(records []*Record, by string, zone *time.Location) ([]Sum, error) {
	key := groupKeys(zone)[by]
	if key == nil {
		return nil, &UsageError{Option: "by", Message: fmt.Sprintf("%.40q: account, class, user or day is needed", by)}
	}
	byKey := map[string]*Sum{}
	for _, r := range records {
		k := key(r)
		sum := byKey[k]
		if sum == nil {
			sum = &Sum{Key: k}
			byKey[k] = sum
		}
		sum.add(r)
	}
	sums := make([]Sum, 0, len(byKey))
	for _, sum := range byKey {
		sums = append(sums, *sum)
	}
	slices.SortFunc(sums, func(a, b Sum) int { return strings.Compare(a.Key, b.Key) })
	return sums, nil
}

// add adds the usage of a job and of its ended attempts.
func (s *Sum) add(r *Record) {
	s.Jobs++
	s.Tasks += int(r.Job.Done)
	if r.Job.Eligible > 0 && r.Job.Start > r.Job.Eligible {
		s.TotalWaitS += float64(r.Job.Start-r.Job.Eligible) / 1000
	}
	for i := range r.Attempts {
		attempt := &r.Attempts[i]
		if attempt.End == 0 {
			continue
		}
		hours := attempt.Seconds() / 3600
		cpuHours := hours * float64(attempt.CPUs)
		s.Attempts++
		s.CPUHours += cpuHours
		s.MemoryGBHours += hours * float64(attempt.MemoryGB)
		s.Cost += attempt.Cost()
		if attempt.Useful {
			s.UsefulCPUHours += cpuHours
		} else {
			s.LostCPUHours += cpuHours
		}
	}
}
