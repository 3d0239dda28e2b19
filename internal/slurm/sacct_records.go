package slurm

import (
	"cmp"
	"slices"
	"strings"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobquery"
)

// Record is a job as sacct lists it, with the attempts of its tasks.
type Record struct {
	Job      accounting.Row
	Active   bool             // the job has not ended
	LimitS   float64          // time limit of an active job in seconds; 0: unlimited or unknown
	Attempts []accounting.Row // ordered by task and attempt
}

// Collector groups accounting rows into records. The rows may be added in any order and
// repeatedly. It is not safe for concurrent use.
type Collector struct {
	jobs     map[string]*Record
	attempts map[string]map[attemptKey]accounting.Row
}

// attemptKey identifies an attempt within a job.
type attemptKey struct {
	task    uint32
	attempt uint64
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{jobs: map[string]*Record{}, attempts: map[string]map[attemptKey]accounting.Row{}}
}

// Add adds a row. It replaces an earlier row of the same job or attempt.
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

// AddActive adds an active job from a listing, and its running attempts. It does nothing if a
// row of the ended job was added before.
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

// activeJobRow returns an accounting row for an active job. Accounting itself has rows only of
// ended jobs.
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

// Records returns the records ordered by job number. It must be called only once. It moves a job's
// start to that of its earliest attempt. Attempts whose job was not added are omitted: the job
// ended on a day that was not read, or another controller lists it.
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
