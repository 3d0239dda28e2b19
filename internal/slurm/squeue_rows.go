package slurm

import (
	"strconv"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// Long names of states that only listings of active jobs have. Those of ended jobs are
// constants of package jobspec.
const (
	statePending     = "PENDING"
	stateRunning     = "RUNNING"
	stateCompleting  = "COMPLETING"
	stateConfiguring = "CONFIGURING"
)

// compactStates has the short names of states by the long ones.
var compactStates = map[string]string{
	statePending: "PD", stateRunning: "R", stateCompleting: "CG", stateConfiguring: "CF", jobspec.Completed: "CD", jobspec.Cancelled: "CA",
	jobspec.Failed: "F", jobspec.Timeout: "TO", jobspec.Deadline: "DL", jobspec.NodeFail: "NF", jobspec.Preempted: "PR",
}

// StateName returns the long name of a state by either of its names, in any case.
func StateName(s string) (name string, known bool) {
	upper := strings.ToUpper(s)
	for long, short := range compactStates {
		if upper == long || upper == short {
			return long, true
		}
	}
	return "", false
}

// QueueRow is a line of squeue: a job's waiting tasks together, or one task.
type QueueRow struct {
	*jobquery.Info
	ID      string // as squeue prints it
	RawID   uint64 // number of the task, or of the job if the row is of many
	Index   string // of an array's tasks
	State   string
	Why     string // of a waiting row: why it waits
	Machine string // name of the worker; "": none yet
	StartMs int64
	NowMs   int64
	Zone    *time.Location
	Tasks   int // in the row
}

// isArray reports whether a job is listed as an array, as jobs of many tasks are.
func isArray(tasks int, array string) bool { return tasks > 1 || array != "" }

// indices returns the indices of a job's tasks. A native job of many tasks has them from 0.
func indices(tasks int, array string) jobspec.Ranges {
	if array == "" {
		array = "0-" + strconv.Itoa(tasks-1)
		if tasks <= 1 {
			array = "0"
		}
	}
	ranges, err := jobspec.ParseRanges(array)
	if err != nil {
		return jobspec.Ranges{} // it was validated when the job was submitted
	}
	return ranges
}

// Queue returns squeue's rows of a listed job. With eachTask each waiting task of an array has
// a row of its own, else they have one together.
func Queue(info *jobquery.Info, eachTask bool, nowMs int64, zone *time.Location) []QueueRow {
	number := info.Constraints.Number
	l := queueLister{
		info: info, array: isArray(info.Job.Tasks, info.Constraints.Array), indices: indices(info.Job.Tasks, info.Constraints.Array),
		base: QueueRow{Info: info, ID: strconv.FormatUint(number, 10), RawID: number, NowMs: nowMs, Zone: zone, Tasks: 1},
	}
	var rows []QueueRow
	if info.PendingTasks != "" {
		waiting, err := jobspec.ParseRanges(info.PendingTasks)
		if err != nil {
			return nil
		}
		rows = l.waiting(waiting, eachTask)
	}
	for i := range info.Placements {
		rows = append(rows, l.placed(&info.Placements[i]))
	}
	return rows
}

// queueLister makes the rows of one job.
type queueLister struct {
	info    *jobquery.Info
	array   bool
	indices jobspec.Ranges // of the tasks
	base    QueueRow       // what all rows have in common
}

// task is the row of one task, without its state.
func (l *queueLister) task(task int) QueueRow {
	row := l.base
	if l.array {
		row.Index = strconv.Itoa(l.indices.At(task))
		row.ID += "_" + row.Index
		row.RawID += uint64(task)
	}
	return row
}

// waiting makes the rows of the waiting tasks.
func (l *queueLister) waiting(tasks jobspec.Ranges, eachTask bool) (rows []QueueRow) {
	if l.array && !eachTask {
		rows = append(rows, l.waitingTogether(tasks))
	} else {
		for task := range tasks.All() {
			rows = append(rows, l.task(task))
		}
	}
	state := statePending
	if l.info.Stage == wire.StageCancelled {
		state = stateCompleting
	}
	for i := range rows {
		rows[i].State, rows[i].Why = state, l.info.Reason
	}
	return rows
}

// waitingTogether is the row of all waiting tasks of an array, without its state.
func (l *queueLister) waitingTogether(tasks jobspec.Ranges) QueueRow {
	var waiting []int
	for task := range tasks.All() {
		waiting = append(waiting, l.indices.At(task))
	}
	row := l.base
	row.Index, row.Tasks = jobspec.RangesOf(waiting).String(), len(waiting)
	if most := l.info.Constraints.MaxConcurrent; most > 0 {
		row.Index += "%" + strconv.Itoa(most)
	}
	row.ID += "_[" + row.Index + "]"
	return row
}

// placed is the row of a task that has a worker.
func (l *queueLister) placed(placement *jobquery.Placement) QueueRow {
	row := l.task(placement.Task)
	row.State, row.Machine, row.StartMs = stateRunning, placement.Worker, placement.StartMs
	switch {
	case placement.Halted || l.info.Stage == wire.StageCancelled:
		row.State = stateCompleting
	case placement.StartMs == 0:
		row.State = stateConfiguring
	}
	return row
}

// usedS is the run time so far.
func (r *QueueRow) usedS() float64 {
	if r.StartMs == 0 {
		return 0
	}
	return float64(r.NowMs-r.StartMs) / 1000
}

// limit formats the time limit.
func (r *QueueRow) limit() string {
	if r.Constraints.LimitS == 0 {
		return "UNLIMITED"
	}
	return Clock(r.Constraints.LimitS, true)
}

// left formats what is left of the time limit.
func (r *QueueRow) left() string {
	if r.Constraints.LimitS == 0 {
		return "UNLIMITED"
	}
	return Clock(r.Constraints.LimitS-r.usedS(), true)
}

// expectedStartMs is when a row started, or when it may start; 0: not known.
func (r *QueueRow) expectedStartMs() int64 {
	if r.StartMs > 0 || r.State != statePending {
		return r.StartMs
	}
	return r.Constraints.BeginMs
}

// endMs is when the time limit will be reached; 0: not known.
func (r *QueueRow) endMs() int64 {
	if r.StartMs == 0 || r.Constraints.LimitS == 0 {
		return 0
	}
	return r.StartMs + int64(r.Constraints.LimitS*1000)
}

// reasonOrNode is the worker, or in parentheses why there is none.
func (r *QueueRow) reasonOrNode() string {
	if r.Machine != "" {
		return r.Machine
	}
	return "(" + dash(r.Why, jobspec.ReasonNone) + ")"
}
