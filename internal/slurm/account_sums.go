package slurm

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Sum is what jobs took together, as sreport has it.
type Sum struct {
	Key        string  `json:"key" parquet:"key"`
	Jobs       int     `json:"jobs" parquet:"jobs"`
	Tasks      int     `json:"tasks" parquet:"tasks"` // done
	Attempts   int     `json:"attempts" parquet:"attempts"`
	CPUHours   float64 `json:"cpu_hours" parquet:"cpu_hours"`
	GBHours    float64 `json:"memory_gb_hours" parquet:"memory_gb_hours"`
	UsefulH    float64 `json:"useful_cpu_hours" parquet:"useful_cpu_hours"`
	LostH      float64 `json:"lost_cpu_hours" parquet:"lost_cpu_hours"`
	Cost       float64 `json:"cost" parquet:"cost"`
	WaitS      float64 `json:"wait_s" parquet:"wait_s"` // from eligible to start, of the jobs together
	WaitedJobs int     `json:"-" parquet:"-"`
}

// Sums adds records up by account, class, user or day of their end.
func Sums(records []*Record, by string, zone *time.Location) ([]Sum, error) {
	key := map[string]func(r *Record) string{
		"account": func(r *Record) string { return r.Job.Team }, "class": func(r *Record) string { return r.Job.Class },
		"user": func(r *Record) string { return dash(r.Job.User, "-") },
		"day": func(r *Record) string {
			if r.Job.End == 0 {
				return "running"
			}
			return time.UnixMilli(r.Job.End).In(zone).Format(time.DateOnly)
		},
	}[by]
	if key == nil {
		return nil, &Usage{Option: "by", Why: fmt.Sprintf("%.40q: account, class, user or day is needed", by)}
	}
	sums := map[string]*Sum{}
	for _, r := range records {
		k := key(r)
		s := sums[k]
		if s == nil {
			s = &Sum{Key: k}
			sums[k] = s
		}
		s.Jobs++
		s.Tasks += int(r.Job.Done)
		if r.Job.Eligible > 0 && r.Job.Start > r.Job.Eligible {
			s.WaitS += float64(r.Job.Start-r.Job.Eligible) / 1000
		}
		for i := range r.Attempts {
			a := &r.Attempts[i]
			if a.End == 0 {
				continue
			}
			h := a.Seconds() / 3600
			s.Attempts++
			s.CPUHours += h * float64(a.CPUs)
			s.GBHours += h * float64(a.MemoryGB)
			s.Cost += a.Cost()
			if a.Useful {
				s.UsefulH += h * float64(a.CPUs)
			} else {
				s.LostH += h * float64(a.CPUs)
			}
		}
	}
	out := make([]Sum, 0, len(sums))
	for _, s := range sums {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Sum) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}
