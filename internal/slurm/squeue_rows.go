package slurm

import (
	"strconv"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// Long names of the states of active jobs. The states of ended jobs are constants of package
// jobspec.
const (
	statePending     = "PENDING"
	stateRunning     = "RUNNING"
	stateCompleting  = "COMPLETING"
	stateConfiguring = "CONFIGURING"
)

// compactStates maps the long names of states to the short ones.
var compactStates = map[string]string{
	statePending: "PD", stateRunning: "R", stateCompleting: "CG", stateConfiguring: "CF", jobspec.Completed: "CD", jobspec.Cancelled: "CA",
	jobspec.Failed: "F", jobspec.Timeout: "TO", jobspec.Deadline: "DL", jobspec.NodeFail: "NF", jobspec.Preempted: "PR",
}

// StateName returns the long name of a state, given its long or short name in upper or lower
// case.
func StateName(s string) (name string, known bool) {
	upper := strings.ToUpper(s)
	for long, short := range compactStates {
		if upper == long || upper == short {
			return long, true
		}
	}
	return "", false
}

// QueueRow is a line of squeue: either one task, or all pending tasks of an array.
type QueueRow struct {
	*jobquery.Info
	ID            string // job id as squeue prints it
	RawID         uint64 // job number of the task; the job's number if the row stands for several tasks or the job is no array
	Index         string // array indices of the row's tasks; "": not an array
	State         string
	PendingReason string // why a pending row has not started
	Machine       string // name of the worker; "": the task is not placed
	StartMs       int64
	NowMs         int64
	Zone          *time.Location
	Tasks         int // number of tasks that the row stands for
}

// isArray reports whether a job is listed as an array. This includes every job of several tasks,
// even if it was submitted without --array.
func isArray(tasks int, array string) bool { return tasks > 1 || array != "" }

// indices returns the array indices of a job's tasks. A job of several tasks that was submitted
// without --array has indices from 0.
func indices(tasks int, array string) jobspec.Ranges {
	if array == "" {
		array = "0-" + strconv.Itoa(tasks-1)
		if tasks <= 1 {
			array = "0"
		}
	}
	ranges, err := jobspec.ParseRanges(array)
	if err != nil {
		return jobspec.Ranges{} // not reached: the array was validated when the job was submitted
	}
	return ranges
}

// QueueRows returns squeue's rows for a job: first the pending tasks, then one row per placed task.
// If eachTask is set, each pending task of an array has its own row; otherwise one row stands for
// all of them. It returns nil if info.PendingTasks is malformed.
func QueueRows(info *jobquery.Info, eachTask bool, nowMs int64, zone *time.Location) []QueueRow {
	number := info.Constraints.Number
	b := queueRowBuilder{
		info: info, array: isArray(info.Job.Tasks, info.Constraints.Array), indices: indices(info.Job.Tasks, info.Constraints.Array),
		base: QueueRow{Info: info, ID: strconv.FormatUint(number, 10), RawID: number, NowMs: nowMs, Zone: zone, Tasks: 1},
	}
	var rows []QueueRow
	if info.PendingTasks != "" {
		waiting, err := jobspec.ParseRanges(info.PendingTasks)
		if err != nil {
			return nil
		}
		rows = b.pendingRows(waiting, eachTask)
	}
	for i := range info.Placements {
		rows = append(rows, b.placedRow(&info.Placements[i]))
	}
	return rows
}

// queueRowBuilder builds the rows of one job.
type queueRowBuilder struct {
	info    *jobquery.Info
	array   bool
	indices jobspec.Ranges // array indices of the tasks
	base    QueueRow       // fields that all rows share
}

// taskRow returns the row of one task without its state.
func (b *queueRowBuilder) taskRow(task int) QueueRow {
	row := b.base
	if b.array {
		row.Index = strconv.Itoa(b.indices.At(task))
		row.ID += "_" + row.Index
		row.RawID += uint64(task)
	}
	return row
}

// pendingRows returns the rows of the pending tasks.
func (b *queueRowBuilder) pendingRows(tasks jobspec.Ranges, eachTask bool) (rows []QueueRow) {
	if b.array && !eachTask {
		rows = append(rows, b.pendingArrayRow(tasks))
	} else {
		for task := range tasks.All() {
			rows = append(rows, b.taskRow(task))
		}
	}
	state := statePending
	if b.info.Stage == wire.StageCancelled {
		state = stateCompleting
	}
	for i := range rows {
		rows[i].State, rows[i].PendingReason = state, b.info.Reason
	}
	return rows
}

// pendingArrayRow returns the row that stands for all pending tasks of an array, without its
// state.
func (b *queueRowBuilder) pendingArrayRow(tasks jobspec.Ranges) QueueRow {
	var waiting []int
	for task := range tasks.All() {
		waiting = append(waiting, b.indices.At(task))
	}
	row := b.base
	row.Index, row.Tasks = jobspec.RangesOf(waiting).String(), len(waiting)
	if maxConcurrent := b.info.Constraints.MaxConcurrent; maxConcurrent > 0 {
		row.Index += "%" + strconv.Itoa(maxConcurrent)
	}
	row.ID += "_[" + row.Index + "]"
	return row
}

// placedRow returns the row of a task that is placed on a worker.
func (b *queueRowBuilder) placedRow(placement *jobquery.Placement) QueueRow {
	row := b.taskRow(placement.Task)
	row.State, row.Machine, row.StartMs = stateRunning, placement.Worker, placement.StartMs
	switch {
	case placement.Halted || b.info.Stage == wire.StageCancelled:
		row.State = stateCompleting
	case placement.StartMs == 0:
		row.State = stateConfiguring
	}
	return row
}

// runTimeS returns the time since the task's start in seconds, 0 if it has not started.
func (r *QueueRow) runTimeS() float64 {
	if r.StartMs == 0 {
		return 0
	}
	return float64(r.NowMs-r.StartMs) / 1000
}

// formatTimeLimit formats the job's time limit.
func (r *QueueRow) formatTimeLimit() string {
	if r.Constraints.LimitS == 0 {
		return "UNLIMITED"
	}
	return FormatDuration(r.Constraints.LimitS, true)
}

// formatTimeLeft formats the time until the time limit is reached.
func (r *QueueRow) formatTimeLeft() string {
	if r.Constraints.LimitS == 0 {
		return "UNLIMITED"
	}
	return FormatDuration(r.Constraints.LimitS-r.runTimeS(), true)
}

// expectedStartMs returns the Unix time in milliseconds at which the row's task started or, while
// it is pending, the time of --begin. It returns 0 if that time is unknown.
func (r *QueueRow) expectedStartMs() int64 {
	if r.StartMs > 0 || r.State != statePending {
		return r.StartMs
	}
	return r.Constraints.BeginMs
}

// endMs returns the Unix time in milliseconds at which the time limit will be reached; 0 if the
// task has not started or has no limit.
func (r *QueueRow) endMs() int64 {
	if r.StartMs == 0 || r.Constraints.LimitS == 0 {
		return 0
	}
	return r.StartMs + int64(r.Constraints.LimitS*1000)
}

// nodeOrReason returns the name of the worker or, in parentheses, the reason why the task is
// pending.
func (r *QueueRow) nodeOrReason() string {
	if r.Machine != "" {
		return r.Machine
	}
	return "(" + orDefault(r.PendingReason, jobspec.ReasonNone) + ")"
}
