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
	ID            string // as squeue prints it
	RawID         uint64 // number of the task, or of the job if the row is of many
	Index         string // of an array's tasks
	State         string
	PendingReason string // of a waiting row: why it waits
	Machine       string // name of the worker; "": none yet
	StartMs       int64
	NowMs         int64
	Zone          *time.Location
	Tasks         int // in the row
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

// QueueRows returns squeue's rows of a listed job. With eachTask each waiting task of an array has
// a row of its own, else they have one together.
func QueueRows(info *jobquery.Info, eachTask bool, nowMs int64, zone *time.Location) []QueueRow {
	number := info.Constraints.Number
	l := queueRowBuilder{
		info: info, array: isArray(info.Job.Tasks, info.Constraints.Array), indices: indices(info.Job.Tasks, info.Constraints.Array),
		base: QueueRow{Info: info, ID: strconv.FormatUint(number, 10), RawID: number, NowMs: nowMs, Zone: zone, Tasks: 1},
	}
	var rows []QueueRow
	if info.PendingTasks != "" {
		waiting, err := jobspec.ParseRanges(info.PendingTasks)
		if err != nil {
			return nil
		}
		rows = l.pendingRows(waiting, eachTask)
	}
	for i := range info.Placements {
		rows = append(rows, l.placedRow(&info.Placements[i]))
	}
	return rows
}

// queueRowBuilder makes the rows of one job.
type queueRowBuilder struct {
	info    *jobquery.Info
	array   bool
	indices jobspec.Ranges // of the tasks
	base    QueueRow       // what all rows have in common
}

// taskRow is the row of one taskRow, without its state.
func (l *queueRowBuilder) taskRow(task int) QueueRow {
	row := l.base
	if l.array {
		row.Index = strconv.Itoa(l.indices.At(task))
		row.ID += "_" + row.Index
		row.RawID += uint64(task)
	}
	return row
}

// pendingRows makes the rows of the pendingRows tasks.
func (l *queueRowBuilder) pendingRows(tasks jobspec.Ranges, eachTask bool) (rows []QueueRow) {
	if l.array && !eachTask {
		rows = append(rows, l.pendingArrayRow(tasks))
	} else {
		for task := range tasks.All() {
			rows = append(rows, l.taskRow(task))
		}
	}
	state := statePending
	if l.info.Stage == wire.StageCancelled {
		state = stateCompleting
	}
	for i := range rows {
		rows[i].State, rows[i].PendingReason = state, l.info.Reason
	}
	return rows
}

// pendingArrayRow is the row of all waiting tasks of an array, without its state.
func (l *queueRowBuilder) pendingArrayRow(tasks jobspec.Ranges) QueueRow {
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

// placedRow is the row of a task that has a worker.
func (l *queueRowBuilder) placedRow(placement *jobquery.Placement) QueueRow {
	row := l.taskRow(placement.Task)
	row.State, row.Machine, row.StartMs = stateRunning, placement.Worker, placement.StartMs
	switch {
	case placement.Halted || l.info.Stage == wire.StageCancelled:
		row.State = stateCompleting
	case placement.StartMs == 0:
		row.State = stateConfiguring
	}
	return row
}

// runTimeS is the run time so far.
func (r *QueueRow) runTimeS() float64 {
	if r.StartMs == 0 {
		return 0
	}
	return float64(r.NowMs-r.StartMs) / 1000
}

// formatTimeLimit formats the time formatTimeLimit.
func (r *QueueRow) formatTimeLimit() string {
	if r.Constraints.LimitS == 0 {
		return "UNLIMITED"
	}
	return FormatDuration(r.Constraints.LimitS, true)
}

// formatTimeLeft formats what is formatTimeLeft of the time limit.
func (r *QueueRow) formatTimeLeft() string {
	if r.Constraints.LimitS == 0 {
		return "UNLIMITED"
	}
	return FormatDuration(r.Constraints.LimitS-r.runTimeS(), true)
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

// nodeOrReason is the worker, or in parentheses why there is none.
func (r *QueueRow) nodeOrReason() string {
	if r.Machine != "" {
		return r.Machine
	}
	return "(" + orDefault(r.PendingReason, jobspec.ReasonNone) + ")"
}
