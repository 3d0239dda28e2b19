package slurm

import (
	"cmp"
	"slices"
	"strings"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobquery"
)

// Record is a job as sacct shows it, with the attempts of its tasks. A living job
// has no end yet.
type Record struct {
	Job      accounting.Row
	Living   bool
	LimitS   float64
	Attempts []accounting.Row // in order of task and attempt
}

// Collector joins rows of accounting, which come by when they ended and may come
// twice, into records.
type Collector struct {
	jobs     map[string]*Record
	attempts map[string]map[attemptKey]accounting.Row
}

type attemptKey struct {
	task    uint32
	attempt uint64
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{jobs: map[string]*Record{}, attempts: map[string]map[attemptKey]accounting.Row{}}
}

// Add takes a row. One that is known already replaces itself.
func (c *Collector) Add(r *accounting.Row) {
	if r.Kind == accounting.RowJob {
		c.jobs[r.UID] = &Record{Job: *r}
		return
	}
	of := c.attempts[r.UID]
	if of == nil {
		of = map[attemptKey]accounting.Row{}
		c.attempts[r.UID] = of
	}
	of[attemptKey{r.Task, r.Attempt}] = *r
}

// AddLiving takes a job that is not over; what accounting has of it stands.
func (c *Collector) AddLiving(i *jobquery.Info) {
	rec := c.jobs[i.Job.UID]
	if rec != nil && !rec.Living {
		return
	}
	if rec == nil {
		j := &i.Job
		rec = &Record{Living: true, LimitS: i.Constraints.LimitS, Job: accounting.Row{Kind: accounting.RowJob, UID: j.UID, Number: i.Constraints.Number, State: "PENDING",
			Submit: i.AcceptedMs, Eligible: i.EligibleMs, Name: i.Constraints.Name, User: i.Constraints.User, Team: j.Team, Class: j.Class, Priority: j.Priority, Tasks: uint32(j.Tasks),
			Array: i.Constraints.Array, Done: uint32(i.Done), Start: i.StartMs, CPUs: float32(j.CPUs), GPUs: float32(j.GPUs), MemoryGB: float32(j.MemoryGB)}}
		if i.Running > 0 {
			rec.Job.State = "RUNNING"
		}
		c.jobs[j.UID] = rec
	}
	for _, on := range i.Placements {
		c.Add(&accounting.Row{Kind: accounting.RowAttempt, UID: i.Job.UID, Number: i.Constraints.Number, Task: uint32(on.Task), Attempt: on.Attempt, State: "RUNNING",
			Start: on.StartMs, Machine: on.Machine, CPUs: float32(i.Job.CPUs), GPUs: float32(i.Job.GPUs), MemoryGB: float32(i.Job.MemoryGB)})
	}
}

// Records returns the records in order of their numbers. Attempts whose job is
// not there, because it is still running elsewhere, or ended on a day that was not
// read, are left out.
func (c *Collector) Records() []*Record {
	out := make([]*Record, 0, len(c.jobs))
	for uid, r := range c.jobs {
		for _, a := range c.attempts[uid] {
			r.Attempts = append(r.Attempts, a)
			if a.Start > 0 && (r.Job.Start == 0 || a.Start < r.Job.Start) {
				r.Job.Start = a.Start
			}
		}
		slices.SortFunc(r.Attempts, func(a, b accounting.Row) int {
			return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
		})
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(a.Job.Number, b.Job.Number), strings.Compare(a.Job.UID, b.Job.UID))
	})
	return out
}
