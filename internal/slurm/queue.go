package slurm

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// Short names of states, as squeue shows them.
var compact = map[string]string{"PENDING": "PD", "RUNNING": "R", "COMPLETING": "CG", "CONFIGURING": "CF", jobspec.Completed: "CD", jobspec.Cancelled: "CA",
	jobspec.Failed: "F", jobspec.Timeout: "TO", jobspec.Deadline: "DL", jobspec.NodeFail: "NF", jobspec.Preempted: "PR"}

// StateName reads a state by either of its names.
func StateName(s string) (string, bool) {
	up := strings.ToUpper(s)
	for long, short := range compact {
		if up == long || up == short {
			return long, true
		}
	}
	return "", false
}

// QueueRow is a line of squeue: a job's waiting tasks together, or one task.
type QueueRow struct {
	*jobquery.Info
	ID      string // as squeue shows it
	RawID   uint64
	Index   string // of an array's tasks
	State   string
	Why     string
	Machine string
	StartMs int64
	NowMs   int64
	Zone    *time.Location
	Tasks   int // how many tasks the line stands for
}

// isArray reports whether a job's tasks are named one by one.
func isArray(tasks int, t *jobspec.Constraints) bool { return tasks > 1 || t.Array != "" }

// indices are the names of a job's tasks. A native job of many tasks looks like an
// array from 0.
func indices(tasks int, array string) jobspec.Ranges {
	if array == "" {
		array = "0-" + strconv.Itoa(tasks-1)
		if tasks <= 1 {
			array = "0"
		}
	}
	r, err := jobspec.ParseRanges(array)
	if err != nil {
		return jobspec.Ranges{} // it was checked when the job came
	}
	return r
}

// Queue makes squeue's rows of a listed job; each tells whether waiting tasks of an
// array stand each for itself.
func Queue(i *jobquery.Info, each bool, nowMs int64, zone *time.Location) []QueueRow {
	var rows []QueueRow
	array := isArray(i.Job.Tasks, i.Constraints)
	names := indices(i.Job.Tasks, i.Constraints.Array)
	base := QueueRow{Info: i, ID: strconv.FormatUint(i.Constraints.Number, 10), RawID: i.Constraints.Number, NowMs: nowMs, Zone: zone, Tasks: 1}
	one := func(task int) QueueRow {
		r := base
		if array {
			r.Index = strconv.Itoa(names.At(task))
			r.ID += "_" + r.Index
			r.RawID += uint64(task)
		}
		return r
	}
	if i.Waiting != "" {
		waiting, err := jobspec.ParseRanges(i.Waiting)
		if err != nil {
			return nil
		}
		state := "PENDING"
		if i.Stage == wire.StageCancelled {
			state = "COMPLETING"
		}
		if array && !each {
			var ns []int
			for t := range waiting.All() {
				ns = append(ns, names.At(t))
			}
			r := base
			r.Index, r.Tasks = jobspec.RangesOf(ns).String(), len(ns)
			if i.Constraints.MaxConcurrent > 0 {
				r.Index += "%" + strconv.Itoa(i.Constraints.MaxConcurrent)
			}
			r.ID += "_[" + r.Index + "]"
			r.State, r.Why = state, i.Reason
			rows = append(rows, r)
		} else {
			for t := range waiting.All() {
				r := one(t)
				r.State, r.Why = state, i.Reason
				rows = append(rows, r)
			}
		}
	}
	for _, on := range i.Placements {
		r := one(on.Task)
		r.State, r.Machine, r.StartMs = "RUNNING", on.Machine, on.StartMs
		switch {
		case on.Ending || i.Stage == wire.StageCancelled:
			r.State = "COMPLETING"
		case on.StartMs == 0:
			r.State = "CONFIGURING"
		}
		rows = append(rows, r)
	}
	return rows
}

func (r *QueueRow) used() float64 {
	if r.StartMs == 0 {
		return 0
	}
	return float64(r.NowMs-r.StartMs) / 1000
}

func (r *QueueRow) limit() string {
	if r.Constraints.LimitS == 0 {
		return "UNLIMITED"
	}
	return Clock(r.Constraints.LimitS, true)
}

func (r *QueueRow) left() string {
	if r.Constraints.LimitS == 0 {
		return "UNLIMITED"
	}
	return Clock(r.Constraints.LimitS-r.used(), true)
}

// expectedStart is when a row started, or will at the earliest.
func (r *QueueRow) expectedStart() int64 {
	if r.StartMs > 0 || r.State != "PENDING" {
		return r.StartMs
	}
	return r.Constraints.BeginMs
}

func (r *QueueRow) end() int64 {
	if r.StartMs == 0 || r.Constraints.LimitS == 0 {
		return 0
	}
	return r.StartMs + int64(r.Constraints.LimitS*1000)
}

func (r *QueueRow) reasonOrNode() string {
	if r.Machine != "" {
		return r.Machine
	}
	return "(" + dash(r.Why, jobspec.ReasonNone) + ")"
}

// dependency writes a job's dependencies as --dependency has them.
func dependency(t *jobspec.Constraints) string {
	var out []string
	for _, d := range t.Dependencies {
		s := d.Kind
		if d.Kind != jobspec.Singleton {
			s += ":" + strconv.FormatUint(d.Number, 10)
		}
		if d.DelayS > 0 {
			s += "+" + strconv.FormatInt(d.DelayS/60, 10)
		}
		out = append(out, s)
	}
	if t.AnyDependency {
		return strings.Join(out, "?")
	}
	return strings.Join(out, ",")
}

func gres(gpus float64) string {
	if gpus == 0 {
		return "N/A"
	}
	return "gres/gpu:" + amount(gpus)
}

var queueFields = []field[QueueRow]{
	{'i', "JobArrayID", "JOBID", 20, func(r *QueueRow) string { return r.ID }},
	{'A', "JobID", "JOBID", 20, func(r *QueueRow) string { return strconv.FormatUint(r.RawID, 10) }},
	{'F', "ArrayJobID", "ARRAY_JOB_ID", 20, func(r *QueueRow) string { return strconv.FormatUint(r.Constraints.Number, 10) }},
	{'K', "ArrayTaskID", "ARRAY_TASK_ID", 20, func(r *QueueRow) string { return dash(r.Index, "N/A") }},
	{'P', "Partition", "PARTITION", 20, func(r *QueueRow) string { return r.Job.Class }},
	{'j', "Name", "NAME", 20, func(r *QueueRow) string { return dash(r.Constraints.Name, r.Job.Class) }},
	{'u', "UserName", "USER", 20, func(r *QueueRow) string { return dash(r.Constraints.User, "-") }},
	{'T', "State", "STATE", 20, func(r *QueueRow) string { return r.State }},
	{'t', "StateCompact", "ST", 20, func(r *QueueRow) string { return compact[r.State] }},
	{'M', "TimeUsed", "TIME", 20, func(r *QueueRow) string { return Clock(r.used(), true) }},
	{'l', "TimeLimit", "TIME_LIMIT", 20, (*QueueRow).limit},
	{'L', "TimeLeft", "TIME_LEFT", 20, (*QueueRow).left},
	{'D', "NumNodes", "NODES", 20, func(r *QueueRow) string { return "1" }},
	{'C', "NumCPUs", "CPUS", 20, func(r *QueueRow) string { return amount(r.Job.CPUs) }},
	{'m', "MinMemory", "MIN_MEMORY", 20, func(r *QueueRow) string { return memoryText(r.Job.MemoryGB) }},
	{'b', "tres-per-job", "TRES_PER_JOB", 20, func(r *QueueRow) string { return gres(r.Job.GPUs) }},
	{'a', "Account", "ACCOUNT", 20, func(r *QueueRow) string { return r.Job.Team }},
	{'q', "QOS", "QOS", 20, func(r *QueueRow) string { return r.Job.Priority }},
	{'Q', "PriorityLong", "PRIORITY", 20, func(r *QueueRow) string { return strconv.Itoa(r.Job.Rank()) }},
	{'R', "ReasonList", "NODELIST(REASON)", 20, (*QueueRow).reasonOrNode},
	{'r', "Reason", "REASON", 20, func(r *QueueRow) string { return dash(r.Why, jobspec.ReasonNone) }},
	{'N', "NodeList", "NODELIST", 20, func(r *QueueRow) string { return r.Machine }},
	{'B', "BatchHost", "EXEC_HOST", 20, func(r *QueueRow) string { return dash(r.Machine, "n/a") }},
	{'S', "StartTime", "START_TIME", 20, func(r *QueueRow) string { return stamp(r.expectedStart(), "N/A", r.Zone) }},
	{'e', "EndTime", "END_TIME", 20, func(r *QueueRow) string { return stamp(r.end(), "N/A", r.Zone) }},
	{'V', "SubmitTime", "SUBMIT_TIME", 20, func(r *QueueRow) string { return stamp(r.AcceptedMs, "N/A", r.Zone) }},
	{0, "EligibleTime", "ELIGIBLE_TIME", 20, func(r *QueueRow) string { return stamp(r.EligibleMs, "N/A", r.Zone) }},
	{'E', "Dependency", "DEPENDENCY", 20, func(r *QueueRow) string { return dash(dependency(r.Constraints), "(null)") }},
}

// Formats of squeue where none is asked for.
const (
	queueFormat = "%.18i %.9P %.8j %.8u %.2t %.10M %.6D %R"
	startFormat = "%.18i %.9P %.8j %.8u %.2t %.19S %.6D %R"
)

// QueueTable makes squeue's layout of -o or -O, or the usual one. start is
// squeue --start's.
func QueueTable(format, long string, start bool) (*Table[QueueRow], error) {
	switch {
	case long != "":
		return parseNames("Format", long, ":", queueFields)
	case format != "":
		return parsePercent(format, queueFields)
	case start:
		return parsePercent(startFormat, queueFields)
	}
	return parsePercent(queueFormat, queueFields)
}

// QueueFieldNames lists what -O takes.
func QueueFieldNames() string { return names(queueFields) }

// Target is what a number on a command line means: a job, or tasks of its array.
type Target struct {
	Number  uint64
	Indices jobspec.Ranges // none: all of it
	All     bool
}

func invalidID(s string) error { return &Usage{Why: fmt.Sprintf("Invalid job id %.60s", s)} }

// ParseTarget reads 123, 123_4 or 123_[0-3,7].
func ParseTarget(s string) (Target, error) {
	num, tasks, some := strings.Cut(s, "_")
	n, err := strconv.ParseUint(num, 10, 47)
	if err != nil || n == 0 {
		return Target{}, invalidID(s)
	}
	t := Target{Number: n, All: !some}
	if some {
		inner, bracketed := strings.CutPrefix(tasks, "[")
		if bracketed {
			if inner, bracketed = strings.CutSuffix(inner, "]"); !bracketed {
				return Target{}, invalidID(s)
			}
		}
		if t.Indices, err = jobspec.ParseRanges(inner); err != nil {
			return Target{}, &Usage{Why: fmt.Sprintf("Invalid job id %.60s: %v", s, err)}
		}
	}
	return t, nil
}

// Tasks turns an array's indices into the numbers of the job's tasks.
func Tasks(indexOf jobspec.Ranges, tasks int, array string) (jobspec.Ranges, error) {
	all := indices(tasks, array)
	var ns []int
	for x := range indexOf.All() {
		k := all.Find(x)
		if k < 0 {
			return jobspec.Ranges{}, fmt.Errorf("the array has no task %d", x)
		}
		ns = append(ns, k)
	}
	return jobspec.RangesOf(ns), nil
}

// Filter says which rows squeue and scancel mean. Empty lists mean all.
type Filter struct {
	Users, States, Partitions, Accounts, Names, QOS []string
	Jobs                                            []Target
}

func in(list []string, s string) bool { return len(list) == 0 || slices.Contains(list, s) }

// Has reports whether a row is meant.
func (f *Filter) Has(r *QueueRow) bool {
	if !in(f.Users, r.Constraints.User) || !in(f.States, r.State) || !in(f.Partitions, r.Job.Class) || !in(f.Accounts, r.Job.Team) ||
		!in(f.Names, dash(r.Constraints.Name, r.Job.Class)) || !in(f.QOS, r.Job.Priority) {
		return false
	}
	if len(f.Jobs) == 0 {
		return true
	}
	return slices.ContainsFunc(f.Jobs, func(t Target) bool { return t.means(r) })
}

func (t Target) means(r *QueueRow) bool {
	last := r.Constraints.Number + uint64(max(1, r.Job.Tasks)) - 1
	switch {
	case t.Number < r.Constraints.Number || t.Number > last:
		return false
	case !t.All:
		if t.Number != r.Constraints.Number {
			return false
		}
		x, err := strconv.Atoi(r.Index)
		return err == nil && t.Indices.Find(x) >= 0 || err != nil && r.Tasks > 1
	}
	return t.Number == r.Constraints.Number || t.Number == r.RawID || r.Tasks > 1
}

// QueueJSON is squeue --json's line for a row: names as Slurm's REST schema has them.
type QueueJSON struct {
	JobID       uint64   `json:"job_id"`
	ArrayJobID  uint64   `json:"array_job_id"`
	ArrayTask   string   `json:"array_task_string"`
	Name        string   `json:"name"`
	User        string   `json:"user_name"`
	Account     string   `json:"account"`
	Partition   string   `json:"partition"`
	QOS         string   `json:"qos"`
	State       []string `json:"job_state"`
	Reason      string   `json:"state_reason"`
	Nodes       string   `json:"nodes"`
	CPUs        float64  `json:"cpus"`
	MemoryMB    float64  `json:"memory_per_node"`
	Dependency  string   `json:"dependency"`
	SubmitTime  int64    `json:"submit_time"`
	StartTime   int64    `json:"start_time"`
	EligibleAt  int64    `json:"eligible_time"`
	TimeLimitM  float64  `json:"time_limit"` // minutes; 0: none
	WallrackUID string   `json:"wallrack_uid"`
}

// JSON returns a row's JSON form; times are in seconds since 1970.
func (r *QueueRow) JSON() QueueJSON {
	return QueueJSON{r.RawID, r.Constraints.Number, r.Index, dash(r.Constraints.Name, r.Job.Class), r.Constraints.User, r.Job.Team, r.Job.Class, r.Job.Priority, []string{r.State},
		dash(r.Why, jobspec.ReasonNone), r.Machine, r.Job.CPUs, r.Job.MemoryGB * 1024, dependency(r.Constraints), r.AcceptedMs / 1000, r.expectedStart() / 1000, r.EligibleMs / 1000, r.Constraints.LimitS / 60, r.Job.UID}
}
