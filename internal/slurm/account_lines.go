package slurm

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobspec"
)

// AcctRow is a line of sacct: a job, a task of an array, or a step of one.
type AcctRow struct {
	Job     *accounting.Row
	ID      string
	RawID   string
	Name    string
	State   string
	Exit    int
	Start   int64
	End     int64
	Machine string
	CPUs    float64 // allocated
	Price   float64
	Useful  float64 // seconds of run time
	Lost    float64
	Cost    float64
	Restart int
	LimitS  float64
	NowMs   int64
	Zone    *time.Location
}

// AcctOptions say which lines sacct makes of a record.
type AcctOptions struct {
	AllocationsOnly bool // -X
	Duplicates      bool // -D: every attempt, and not the last one alone
	NowMs           int64
	Zone            *time.Location
}

// Lines makes sacct's lines of a record: for each task that ran its allocation and its
// steps, then one line for the tasks that did not.
func Lines(r *Record, o AcctOptions) []AcctRow {
	l := liner{record: r, options: o, tasks: int(max(1, r.Job.Tasks))}
	l.indices = indices(l.tasks, r.Job.Array)
	l.base = AcctRow{Job: &r.Job, Name: dash(r.Job.Name, r.Job.Class), NowMs: o.NowMs, Zone: o.Zone, LimitS: r.LimitS}
	var out []AcctRow
	ran := map[int]bool{}
	for rest := r.Attempts; len(rest) > 0; {
		n := 1
		for n < len(rest) && rest[n].Task == rest[0].Task {
			n++
		}
		allocation, steps := l.task(rest[:n])
		out = append(out, allocation)
		if !o.AllocationsOnly {
			out = append(out, steps...)
		}
		ran[int(rest[0].Task)] = true
		rest = rest[n:]
	}
	if len(ran) < l.tasks {
		out = append(out, l.notRun(ran))
	}
	return out
}

// liner makes the lines of one record.
type liner struct {
	record  *Record
	options AcctOptions
	tasks   int
	indices jobspec.Ranges // of the tasks, if it is an array
	base    AcctRow        // what all lines have in common
}

func (l *liner) array() bool { return l.tasks > 1 || l.record.Job.Array != "" }

// task makes the allocation's line of a task, and its steps' lines, of its attempts.
func (l *liner) task(attempts []accounting.Row) (allocation AcctRow, steps []AcctRow) {
	job, task := &l.record.Job, int(attempts[0].Task)
	row := l.base
	row.ID, row.RawID = strconv.FormatUint(job.Number, 10), strconv.FormatUint(job.Number+uint64(task), 10)
	if l.array() {
		row.ID += "_" + strconv.Itoa(l.indices.At(task))
	}
	for k := range attempts {
		s := l.step(&row, &attempts[k], k)
		row.Useful, row.Lost, row.Cost = row.Useful+s.Useful, row.Lost+s.Lost, row.Cost+s.Cost
		row.State, row.Exit, row.Start, row.End, row.Machine, row.CPUs, row.Restart = s.State, s.Exit, s.Start, s.End, s.Machine, s.CPUs, s.Restart
		if k == len(attempts)-1 || l.options.Duplicates {
			steps = append(steps, s)
		}
	}
	if row.State == jobspec.Preempted || row.State == jobspec.NodeFail {
		// The task runs again, or ended with its job.
		row.State, row.End = job.State, job.End
		if l.record.Living {
			row.State = "PENDING"
		}
	}
	return row, steps
}

// step makes the line of one attempt of an allocation.
func (l *liner) step(allocation *AcctRow, a *accounting.Row, restarts int) AcctRow {
	s := *allocation
	s.Useful, s.Lost, s.Cost = 0, 0, 0
	s.ID, s.RawID, s.Name = s.ID+".batch", s.RawID+".batch", "batch"
	s.State, s.Exit, s.Start, s.End, s.Machine, s.CPUs, s.Price, s.Restart = a.State, int(a.Exit), a.Start, a.End, a.Machine, float64(a.CPUs), float64(a.Price), restarts
	if a.Start == 0 {
		return s
	}
	end := a.End
	if end == 0 {
		end = l.options.NowMs
	}
	ran := float64(end-a.Start) / 1000
	s.Cost = ran / 3600 * s.Price
	if a.Useful || a.End == 0 {
		s.Useful = ran
	} else {
		s.Lost = ran
	}
	return s
}

// notRun makes the line of the tasks that never ran, as far as is known.
func (l *liner) notRun(ran map[int]bool) AcctRow {
	job := &l.record.Job
	row := l.base
	row.ID, row.RawID = strconv.FormatUint(job.Number, 10), strconv.FormatUint(job.Number, 10)
	if l.array() {
		var rest []int
		for t := range l.tasks {
			if !ran[t] {
				rest = append(rest, l.indices.At(t))
			}
		}
		row.ID += "_[" + jobspec.RangesOf(rest).String() + "]"
	}
	if l.record.Living && len(ran) > 0 {
		row.State = "PENDING"
		return row
	}
	row.State, row.Exit, row.End = job.State, int(job.Exit), job.End
	if len(ran) == 0 {
		row.Start = job.Start // else it is the start of tasks that ran
	}
	return row
}

func (r *AcctRow) elapsed() float64 {
	if r.Start == 0 {
		return 0
	}
	end := r.End
	if end == 0 {
		end = r.NowMs
	}
	return max(0, float64(end-r.Start)/1000)
}

// exitCode writes an exit code and the signal that ended a task, as Slurm does.
func exitCode(code int) string {
	if code > 128 {
		return fmt.Sprintf("0:%d", code-128)
	}
	return fmt.Sprintf("%d:0", code)
}

func (r *AcctRow) step() bool { return strings.Contains(r.ID, ".") }
