package slurm

import (
	"strconv"

	"github.com/wallrack/wallrack/internal/jobspec"
)

// queueFields defines squeue's columns.
var queueFields = []field[QueueRow]{
	{'i', "JobArrayID", "JOBID", 20, func(r *QueueRow) string { return r.ID }},
	{'A', "JobID", "JOBID", 20, func(r *QueueRow) string { return strconv.FormatUint(r.RawID, 10) }},
	{'F', "ArrayJobID", "ARRAY_JOB_ID", 20, func(r *QueueRow) string { return strconv.FormatUint(r.Constraints.Number, 10) }},
	{'K', "ArrayTaskID", "ARRAY_TASK_ID", 20, func(r *QueueRow) string { return orDefault(r.Index, "N/A") }},
	{'P', "Partition", "PARTITION", 20, func(r *QueueRow) string { return r.Job.Class }},
	{'j', "Name", "NAME", 20, func(r *QueueRow) string { return orDefault(r.Constraints.Name, r.Job.Class) }},
	{'u', "UserName", "USER", 20, func(r *QueueRow) string { return orDefault(r.Constraints.User, "-") }},
	{'T', "State", "STATE", 20, func(r *QueueRow) string { return r.State }},
	{'t', "StateCompact", "ST", 20, func(r *QueueRow) string { return compactStates[r.State] }},
	{'M', "TimeUsed", "TIME", 20, func(r *QueueRow) string { return FormatDuration(r.runTimeS(), true) }},
	{'l', "TimeLimit", "TIME_LIMIT", 20, (*QueueRow).formatTimeLimit},
	{'L', "TimeLeft", "TIME_LEFT", 20, (*QueueRow).formatTimeLeft},
	{'D', "NumNodes", "NODES", 20, func(*QueueRow) string { return "1" }},
	{'C', "NumCPUs", "CPUS", 20, func(r *QueueRow) string { return formatNumber(r.Job.CPUs) }},
	{'m', "MinMemory", "MIN_MEMORY", 20, func(r *QueueRow) string { return formatMemory(r.Job.MemoryGB) }},
	{'b', "tres-per-job", "TRES_PER_JOB", 20, func(r *QueueRow) string { return formatGRES(r.Job.GPUs) }},
	{'a', "Account", "ACCOUNT", 20, func(r *QueueRow) string { return r.Job.Team }},
	{'q', "QOS", "QOS", 20, func(r *QueueRow) string { return r.Job.Priority }},
	{'Q', "PriorityLong", "PRIORITY", 20, func(r *QueueRow) string { return strconv.Itoa(r.Job.Rank()) }},
	{'R', "ReasonList", "NODELIST(REASON)", 20, (*QueueRow).nodeOrReason},
	{'r', "Reason", "REASON", 20, func(r *QueueRow) string { return orDefault(r.PendingReason, jobspec.ReasonNone) }},
	{'N', "NodeList", "NODELIST", 20, func(r *QueueRow) string { return r.Machine }},
	{'B', "BatchHost", "EXEC_HOST", 20, func(r *QueueRow) string { return orDefault(r.Machine, "n/a") }},
	{'S', "StartTime", "START_TIME", 20, func(r *QueueRow) string { return formatTime(r.expectedStartMs(), "N/A", r.Zone) }},
	{'e', "EndTime", "END_TIME", 20, func(r *QueueRow) string { return formatTime(r.endMs(), "N/A", r.Zone) }},
	{'V', "SubmitTime", "SUBMIT_TIME", 20, func(r *QueueRow) string { return formatTime(r.AcceptedMs, "N/A", r.Zone) }},
	{0, "EligibleTime", "ELIGIBLE_TIME", 20, func(r *QueueRow) string { return formatTime(r.EligibleMs, "N/A", r.Zone) }},
	{'E', "Dependency", "DEPENDENCY", 20, func(r *QueueRow) string { return orDefault(formatDependencies(r.Constraints), "(null)") }},
}

// Default formats of squeue: queueFormat without --start, startFormat with it.
const (
	queueFormat = "%.18i %.9P %.8j %.8u %.2t %.10M %.6D %R"
	startFormat = "%.18i %.9P %.8j %.8u %.2t %.19S %.6D %R"
)

// QueueTable returns squeue's layout. format is the value of -o, names that of -O, which takes
// precedence. If both are empty, QueueTable returns the default layout, or the layout of --start if
// start is set. The error is a *UsageError.
func QueueTable(format, names string, start bool) (*Table[QueueRow], error) {
	switch {
	case names != "":
		return parseFieldList("Format", names, ":", queueFields)
	case format != "":
		return parseFormat(format, queueFields)
	case start:
		return parseFormat(startFormat, queueFields)
	}
	return parseFormat(queueFormat, queueFields)
}

// QueueFieldNames returns the column names that -O accepts, separated by blanks.
func QueueFieldNames() string { return fieldNames(queueFields) }

// QueueJSON is a row of squeue --json, with the field names of Slurm's REST schema. Times are
// Unix times in seconds.
type QueueJSON struct {
	JobID            uint64   `json:"job_id"`
	ArrayJobID       uint64   `json:"array_job_id"`
	ArrayTask        string   `json:"array_task_string"`
	Name             string   `json:"name"`
	User             string   `json:"user_name"`
	Account          string   `json:"account"`
	Partition        string   `json:"partition"`
	QOS              string   `json:"qos"`
	State            []string `json:"job_state"`
	Reason           string   `json:"state_reason"`
	Nodes            string   `json:"nodes"`
	CPUs             float64  `json:"cpus"`
	MemoryMB         float64  `json:"memory_per_node"`
	Dependency       string   `json:"dependency"`
	SubmitTime       int64    `json:"submit_time"`
	StartTime        int64    `json:"start_time"`
	EligibleTime     int64    `json:"eligible_time"`
	TimeLimitMinutes float64  `json:"time_limit"` // minutes; 0: unlimited
	WallrackUID      string   `json:"wallrack_uid"`
}

// JSON returns the row as squeue --json prints it.
func (r *QueueRow) JSON() QueueJSON {
	job, c := &r.Job, r.Constraints
	return QueueJSON{
		JobID: r.RawID, ArrayJobID: c.Number, ArrayTask: r.Index, WallrackUID: job.UID,
		Name: orDefault(c.Name, job.Class), User: c.User, Account: job.Team, Partition: job.Class, QOS: job.Priority,
		State: []string{r.State}, Reason: orDefault(r.PendingReason, jobspec.ReasonNone), Nodes: r.Machine, Dependency: formatDependencies(c),
		CPUs: job.CPUs, MemoryMB: job.MemoryGB * 1024, TimeLimitMinutes: c.LimitS / 60,
		SubmitTime: r.AcceptedMs / 1000, StartTime: r.expectedStartMs() / 1000, EligibleTime: r.EligibleMs / 1000,
	}
}
