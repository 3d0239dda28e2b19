package slurm

import (
	"strconv"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobspec"
)

// AcctRow is a line of sacct: a job, a task of an array, or a step of one.
type AcctRow struct {
	Job      *accounting.Row
	ID       string
	RawID    string
	Name     string
	State    string
	Exit     int
	StartMs  int64 // Unix time; 0: not started
	EndMs    int64 // 0: not ended
	Machine  string
	CPUs     float64 // allocated
	Price    float64 // of its worker, an hour
	UsefulS  float64 // run time whose result counts
	LostS    float64 // run time of attempts that ended without a result
	Cost     float64
	Restarts int
	LimitS   float64 // 0: unlimited, or not known
	NowMs    int64
	Zone     *time.Location
}

// AcctOptions say which lines of a record sacct prints.
type AcctOptions struct {
	AllocationsOnly bool // -X
	Duplicates      bool // -D: every attempt instead of the last one
	NowMs           int64
	Zone            *time.Location
}

// AcctRows returns sacct's lines of a record: the allocation and the steps of each task that ran,
// then one line for the tasks that did not run.
func AcctRows(r *Record, o AcctOptions) []AcctRow {
	l := acctRowBuilder{record: r, options: o, tasks: int(max(1, r.Job.Tasks))}
	l.indices = indices(l.tasks, r.Job.Array)
	l.base = AcctRow{Job: &r.Job, Name: orDefault(r.Job.Name, r.Job.Class), NowMs: o.NowMs, Zone: o.Zone, LimitS: r.LimitS}
	var lines []AcctRow
	ran := map[int]bool{}
	for attempts := r.Attempts; len(attempts) > 0; {
		n := 1
		for n < len(attempts) && attempts[n].Task == attempts[0].Task {
			n++
		}
		allocation, steps := l.taskRows(attempts[:n])
		lines = append(lines, allocation)
		if !o.AllocationsOnly {
			lines = append(lines, steps...)
		}
		ran[int(attempts[0].Task)] = true
		attempts = attempts[n:]
	}
	if len(ran) < l.tasks {
		lines = append(lines, l.notRunRow(ran))
	}
	return lines
}

// acctRowBuilder makes the lines of one record.
type acctRowBuilder struct {
	record  *Record
	options AcctOptions
	tasks   int
	indices jobspec.Ranges // of the tasks
	base    AcctRow        // what all lines have in common
}

func (l *acctRowBuilder) isArray() bool { return isArray(l.tasks, l.record.Job.Array) }

// taskRows makes the lines of a taskRows's allocation and of its steps, which are its attempts.
func (l *acctRowBuilder) taskRows(attempts []accounting.Row) (allocation AcctRow, steps []AcctRow) {
	job, task := &l.record.Job, int(attempts[0].Task)
	row := l.base
	row.ID, row.RawID = strconv.FormatUint(job.Number, 10), strconv.FormatUint(job.Number+uint64(task), 10)
	if l.isArray() {
		row.ID += "_" + strconv.Itoa(l.indices.At(task))
	}
	for i := range attempts {
		step := l.stepRow(&row, &attempts[i], i)
		row.UsefulS, row.LostS, row.Cost = row.UsefulS+step.UsefulS, row.LostS+step.LostS, row.Cost+step.Cost
		row.State, row.Exit, row.StartMs, row.EndMs = step.State, step.Exit, step.StartMs, step.EndMs
		row.Machine, row.CPUs, row.Restarts = step.Machine, step.CPUs, step.Restarts
		if i == len(attempts)-1 || l.options.Duplicates {
			steps = append(steps, step)
		}
	}
	if row.State == jobspec.Preempted || row.State == jobspec.NodeFail {
		// The task will run again, or ended with its job.
		row.State, row.EndMs = job.State, job.End
		if l.record.Active {
			row.State = statePending
		}
	}
	return row, steps
}

// stepRow makes the line of one attempt of an allocation.
func (l *acctRowBuilder) stepRow(allocation *AcctRow, attempt *accounting.Row, restarts int) AcctRow {
	step := *allocation
	step.UsefulS, step.LostS, step.Cost = 0, 0, 0
	step.ID, step.RawID, step.Name = step.ID+".batch", step.RawID+".batch", "batch"
	step.State, step.Exit, step.StartMs, step.EndMs = attempt.State, int(attempt.Exit), attempt.Start, attempt.End
	step.Machine, step.CPUs, step.Price, step.Restarts = attempt.Worker, float64(attempt.CPUs), float64(attempt.Price), restarts
	if attempt.Start == 0 {
		return step
	}
	endMs := attempt.End
	if endMs == 0 {
		endMs = l.options.NowMs
	}
	ranS := float64(endMs-attempt.Start) / 1000
	step.Cost = ranS / 3600 * step.Price
	if attempt.Useful || attempt.End == 0 {
		step.UsefulS = ranS
	} else {
		step.LostS = ranS
	}
	return step
}

// notRunRow makes the line of the tasks of which no attempt is known.
func (l *acctRowBuilder) notRunRow(ran map[int]bool) AcctRow {
	job := &l.record.Job
	row := l.base
	row.ID, row.RawID = strconv.FormatUint(job.Number, 10), strconv.FormatUint(job.Number, 10)
	if l.isArray() {
		var missing []int
		for task := range l.tasks {
			if !ran[task] {
				missing = append(missing, l.indices.At(task))
			}
		}
		row.ID += "_[" + jobspec.RangesOf(missing).String() + "]"
	}
	if l.record.Active && len(ran) > 0 {
		row.State = statePending
		return row
	}
	row.State, row.Exit, row.EndMs = job.State, int(job.Exit), job.End
	if len(ran) == 0 {
		row.StartMs = job.Start // else it is the start of tasks that ran
	}
	return row
}

// elapsedS is the run time, so far if it goes on.
func (r *AcctRow) elapsedS() float64 {
	if r.StartMs == 0 {
		return 0
	}
	endMs := r.EndMs
	if endMs == 0 {
		endMs = r.NowMs
	}
	return max(0, float64(endMs-r.StartMs)/1000)
}

func (r *AcctRow) isStep() bool { return strings.Contains(r.ID, ".") }
