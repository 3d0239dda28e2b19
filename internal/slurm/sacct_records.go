package slurm

import (
	"cmp"
	"slices"
	"strings"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobquery"
)

// Record is a job of sacct with the attempts of its tasks.
type Record struct {
	Job      accounting.Row
	Active   bool             // not ended: the job has no end yet
	LimitS   float64          // of an active job; 0: unlimited, or not known
	Attempts []accounting.Row // in order of task and attempt
}

// Collector joins accounting rows, which are in order of their ends and may be repeated, into
// records. It is not safe for concurrent use.
type Collector struct {
	jobs     map[string]*Record
	attempts map[string]map[attemptKey]accounting.Row
}

// attemptKey identifies an attempt of a job.
type attemptKey struct {
	task    uint32
	attempt uint64
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{jobs: map[string]*Record{}, attempts: map[string]map[attemptKey]accounting.Row{}}
}

// Add adds a row. A repeated row replaces itself.
func (c *Collector) Add(row *accounting.Row) {
	if row.Kind == accounting.RowJob {
		c.jobs[row.UID] = &Record{Job: *row}
		return
	}
	attempts := c.attempts[row.UID]
	if attempts == nil {
		attempts = map[attemptKey]accounting.Row{}
		c.attempts[row.UID] = attempts
	}
	attempts[attemptKey{row.Task, row.Attempt}] = *row
}

// AddActive adds a job of a listing, unless accounting has its end already.
func (c *Collector) AddActive(info *jobquery.Info) {
	record := c.jobs[info.Job.UID]
	if record != nil && !record.Active {
		return
	}
	if record == nil {
		c.jobs[info.Job.UID] = &Record{Active: true, LimitS: info.Constraints.LimitS, Job: activeJobRow(info)}
	}
	job := &info.Job
	for _, placement := range info.Placements {
		c.Add(&accounting.Row{
			Kind: accounting.RowAttempt, UID: job.UID, Number: info.Constraints.Number, Task: uint32(placement.Task), Attempt: placement.Attempt, State: stateRunning,
			Start: placement.StartMs, Worker: placement.Worker, CPUs: float32(job.CPUs), GPUs: float32(job.GPUs), MemoryGB: float32(job.MemoryGB),
		})
	}
}

// activeJobRow is the row that an active job would have in accounting.
func activeJobRow(info *jobquery.Info) accounting.Row {
	job, c := &info.Job, info.Constraints
	row := accounting.Row{
		Kind: accounting.RowJob, UID: job.UID, Number: c.Number, State: statePending,
		Submit: info.AcceptedMs, Eligible: info.EligibleMs, Start: info.StartMs,
		Name: c.Name, User: c.User, Team: job.Team, Class: job.Class, Priority: job.Priority,
		Tasks: uint32(job.Tasks), Array: c.Array, Done: uint32(info.Done),
		CPUs: float32(job.CPUs), GPUs: float32(job.GPUs), MemoryGB: float32(job.MemoryGB),
	}
	if info.Running > 0 {
		row.State = stateRunning
	}
	return row
}

// Records returns the records in order of their numbers, and must be called once. Attempts
// without their job, which ended on a day that was not read or is listed by another controller,
// are left out.
func (c *Collector) Records() []*Record {
	records := make([]*Record, 0, len(c.jobs))
	for uid, record := range c.jobs {
		for _, attempt := range c.attempts[uid] {
			record.Attempts = append(record.Attempts, attempt)
			if attempt.Start > 0 && (record.Job.Start == 0 || attempt.Start < record.Job.Start) {
				record.Job.Start = attempt.Start
			}
		}
		slices.SortFunc(record.Attempts, func(a, b accounting.Row) int {
			return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
		})
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(a.Job.Number, b.Job.Number), strings.Compare(a.Job.UID, b.Job.UID))
	})
	return records
}
