package slurm

import (
	"strconv"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobspec"
)

// AcctRow is a line of sacct: a job, a task of an array, or a step, which is one attempt of a
// task.
type AcctRow struct {
	Job      *accounting.Row
	ID       string
	RawID    string
	Name     string
	State    string
	Exit     int
	StartMs  int64 // Unix time in milliseconds; 0: not started
	EndMs    int64 // 0: not ended
	Machine  string
	CPUs     float64 // allocated
	Price    float64 // price per hour of the share of the machine that the attempt occupies
	UsefulS  float64 // run time of attempts that completed their task or are still running
	LostS    float64 // run time of attempts that ended without completing their task
	Cost     float64
	Restarts int
	LimitS   float64 // time limit in seconds; 0: unlimited or unknown
	NowMs    int64
	Zone     *time.Location
}

// AcctOptions specifies which rows of a record sacct prints.
type AcctOptions struct {
	AllocationsOnly bool // -X
	Duplicates      bool // -D: list every attempt instead of only the last one
	NowMs           int64
	Zone            *time.Location
}

// AcctRows returns sacct's rows of a record: the allocation and the steps of each task that has
// attempts, followed by one row for all tasks without attempts, if any. The options determine
// which steps are included.
func AcctRows(r *Record, o AcctOptions) []AcctRow {
	b := acctRowBuilder{record: r, options: o, tasks: int(max(1, r.Job.Tasks))}
	b.indices = indices(b.tasks, r.Job.Array)
	b.base = AcctRow{Job: &r.Job, Name: orDefault(r.Job.Name, r.Job.Class), NowMs: o.NowMs, Zone: o.Zone, LimitS: r.LimitS}
	var lines []AcctRow
	ran := map[int]bool{}
	for attempts := r.Attempts; len(attempts) > 0; {
		n := 1
		for n < len(attempts) && attempts[n].Task == attempts[0].Task {
			n++
		}
		allocation, steps := b.taskRows(attempts[:n])
		lines = append(lines, allocation)
		if !o.AllocationsOnly {
			lines = append(lines, steps...)
		}
		ran[int(attempts[0].Task)] = true
		attempts = attempts[n:]
	}
	if len(ran) < b.tasks {
		lines = append(lines, b.notRunRow(ran))
	}
	return lines
}

// acctRowBuilder builds the rows of one record.
type acctRowBuilder struct {
	record  *Record
	options AcctOptions
	tasks   int
	indices jobspec.Ranges // array indices of the tasks
	base    AcctRow        // fields that all rows share
}

func (b *acctRowBuilder) isArray() bool { return isArray(b.tasks, b.record.Job.Array) }

// taskRows returns the row of a task's allocation and the rows of its steps, which are the task's
// attempts. The allocation contains the sums of all attempts and the state of the last one. If the
// last attempt was preempted or lost, the state is PENDING for an active job, else the job's state.
func (b *acctRowBuilder) taskRows(attempts []accounting.Row) (allocation AcctRow, steps []AcctRow) {
	job, task := &b.record.Job, int(attempts[0].Task)
	row := b.base
	row.ID, row.RawID = strconv.FormatUint(job.Number, 10), strconv.FormatUint(job.Number+uint64(task), 10)
	if b.isArray() {
		row.ID += "_" + strconv.Itoa(b.indices.At(task))
	}
	for i := range attempts {
		step := b.stepRow(&row, &attempts[i], i)
		row.UsefulS, row.LostS, row.Cost = row.UsefulS+step.UsefulS, row.LostS+step.LostS, row.Cost+step.Cost
		row.State, row.Exit, row.StartMs, row.EndMs = step.State, step.Exit, step.StartMs, step.EndMs
		row.Machine, row.CPUs, row.Restarts = step.Machine, step.CPUs, step.Restarts
		if i == len(attempts)-1 || b.options.Duplicates {
			steps = append(steps, step)
		}
	}
	if row.State == jobspec.Preempted || row.State == jobspec.NodeFail {
		// The task is retried, or it ended because its job ended.
		row.State, row.EndMs = job.State, job.End
		if b.record.Active {
			row.State = statePending
		}
	}
	return row, steps
}

// stepRow returns the row of one attempt of an allocation. restarts is the number of earlier
// attempts. An attempt that has not ended counts as useful up to now.
func (b *acctRowBuilder) stepRow(allocation *AcctRow, attempt *accounting.Row, restarts int) AcctRow {
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
		endMs = b.options.NowMs
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

// notRunRow returns the row of the tasks without recorded attempts. ran contains the tasks that
// have attempts.
func (b *acctRowBuilder) notRunRow(ran map[int]bool) AcctRow {
	job := &b.record.Job
	row := b.base
	row.ID, row.RawID = strconv.FormatUint(job.Number, 10), strconv.FormatUint(job.Number, 10)
	if b.isArray() {
		var missing []int
		for task := range b.tasks {
			if !ran[task] {
				missing = append(missing, b.indices.At(task))
			}
		}
		row.ID += "_[" + jobspec.RangesOf(missing).String() + "]"
	}
	if b.record.Active && len(ran) > 0 {
		row.State = statePending
		return row
	}
	row.State, row.Exit, row.EndMs = job.State, int(job.Exit), job.End
	if len(ran) == 0 {
		row.StartMs = job.Start // otherwise job.Start is the start of another task
	}
	return row
}

// elapsedS returns the run time in seconds, up to now if the row has not ended.
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
