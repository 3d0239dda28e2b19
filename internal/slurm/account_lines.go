package slurm

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/terms"
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

// Lines makes sacct's lines of a record.
func Lines(r *Record, o AcctOptions) []AcctRow {
	base := AcctRow{Job: &r.Job, Name: dash(r.Job.Name, r.Job.Class), NowMs: o.NowMs, Zone: o.Zone, LimitS: r.LimitS}
	tasks := int(max(1, r.Job.Tasks))
	array := tasks > 1 || r.Job.Array != ""
	names := indices(tasks, r.Job.Array)
	var out []AcctRow
	ran := map[int]bool{}
	for from := 0; from < len(r.Attempts); {
		to := from
		for to < len(r.Attempts) && r.Attempts[to].Task == r.Attempts[from].Task {
			to++
		}
		task := int(r.Attempts[from].Task)
		row := base
		row.ID, row.RawID = strconv.FormatUint(r.Job.Number, 10), strconv.FormatUint(r.Job.Number+uint64(task), 10)
		if array {
			row.ID += "_" + strconv.Itoa(names.At(task))
		}
		var steps []AcctRow
		for k := from; k < to; k++ {
			a := &r.Attempts[k]
			end := a.End
			if end == 0 {
				end = o.NowMs
			}
			s := row
			s.Useful, s.Lost, s.Cost = 0, 0, 0
			s.ID, s.RawID, s.Name = row.ID+".batch", row.RawID+".batch", "batch"
			s.State, s.Exit, s.Start, s.End, s.Machine, s.CPUs, s.Price, s.Restart = a.State, int(a.Exit), a.Start, a.End, a.Machine, float64(a.CPUs), float64(a.Price), k-from
			if a.Start > 0 {
				ran := float64(end-a.Start) / 1000
				if s.Cost = ran / 3600 * s.Price; a.Useful || a.End == 0 {
					s.Useful = ran
				} else {
					s.Lost = ran
				}
			}
			row.Useful, row.Lost, row.Cost = row.Useful+s.Useful, row.Lost+s.Lost, row.Cost+s.Cost
			if k == to-1 || o.Duplicates {
				steps = append(steps, s)
			}
			row.State, row.Exit, row.Start, row.End, row.Machine, row.CPUs, row.Restart = s.State, s.Exit, s.Start, s.End, s.Machine, s.CPUs, s.Restart
		}
		if row.State == terms.Preempted || row.State == terms.NodeFail {
			// It goes on, or ended with its job.
			row.State, row.End = r.Job.State, r.Job.End
			if r.Living {
				row.State = "PENDING"
			}
		}
		out = append(out, row)
		if !o.AllocationsOnly {
			out = append(out, steps...)
		}
		ran[task] = true
		from = to
	}
	if len(ran) < tasks {
		// Tasks that never ran, as far as is known.
		row := base
		row.ID, row.RawID = strconv.FormatUint(r.Job.Number, 10), strconv.FormatUint(r.Job.Number, 10)
		if array {
			var rest []int
			for t := range tasks {
				if !ran[t] {
					rest = append(rest, names.At(t))
				}
			}
			row.ID += "_[" + terms.RangesOf(rest).String() + "]"
		}
		start := r.Job.Start
		if len(ran) > 0 {
			start = 0 // that of others
		}
		if r.Living && len(ran) > 0 {
			row.State = "PENDING"
			return append(out, row)
		}
		row.State, row.Exit, row.Start, row.End = r.Job.State, int(r.Job.Exit), start, r.Job.End
		out = append(out, row)
	}
	return out
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
