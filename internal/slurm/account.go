package slurm

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/listing"
	"github.com/wallrack/wallrack/internal/terms"
	"github.com/wallrack/wallrack/internal/wire"
)

// Record is a job as sacct shows it, with the attempts of its tasks. A living job
// has no end yet.
type Record struct {
	Job      accounting.Row
	Living   bool
	LimitS   float64
	Attempts []accounting.Row // in order of task and attempt
}

// Collector joins rows of accounting, which come by when they ended and may come
// twice, into records.
type Collector struct {
	jobs     map[string]*Record
	attempts map[string]map[attemptKey]accounting.Row
}

type attemptKey struct {
	task    uint32
	attempt uint64
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{jobs: map[string]*Record{}, attempts: map[string]map[attemptKey]accounting.Row{}}
}

// Add takes a row. One that is known already replaces itself.
func (c *Collector) Add(r *accounting.Row) {
	if r.Kind == accounting.RowJob {
		c.jobs[r.UID] = &Record{Job: *r}
		return
	}
	of := c.attempts[r.UID]
	if of == nil {
		of = map[attemptKey]accounting.Row{}
		c.attempts[r.UID] = of
	}
	of[attemptKey{r.Task, r.Attempt}] = *r
}

// AddLiving takes a job that is not over; what accounting has of it stands.
func (c *Collector) AddLiving(i *listing.Info) {
	rec := c.jobs[i.Job.UID]
	if rec != nil && !rec.Living {
		return
	}
	if rec == nil {
		j := &i.Job
		rec = &Record{Living: true, LimitS: i.Terms.LimitS, Job: accounting.Row{Kind: accounting.RowJob, UID: j.UID, Number: i.Terms.Number, State: "PENDING",
			Submit: i.AtMs, Eligible: i.Eligible, Name: i.Terms.Name, User: i.Terms.User, Team: j.Team, Class: j.Class, Priority: j.Priority, Tasks: uint32(j.Tasks),
			Array: i.Terms.Array, Done: uint32(i.Done), Start: i.StartMs, CPUs: float32(j.CPUs), GPUs: float32(j.GPUs), MemoryGB: float32(j.MemoryGB)}}
		if i.Running > 0 {
			rec.Job.State = "RUNNING"
		}
		c.jobs[j.UID] = rec
	}
	for _, on := range i.On {
		c.Add(&accounting.Row{Kind: accounting.RowAttempt, UID: i.Job.UID, Number: i.Terms.Number, Task: uint32(on.Task), Attempt: on.Attempt, State: "RUNNING",
			Start: on.StartMs, Machine: on.Machine, CPUs: float32(i.Job.CPUs), GPUs: float32(i.Job.GPUs), MemoryGB: float32(i.Job.MemoryGB)})
	}
}

// Records returns the records in order of their numbers. Attempts whose job is
// not there, because it is still running elsewhere, or ended on a day that was not
// read, are left out.
func (c *Collector) Records() []*Record {
	out := make([]*Record, 0, len(c.jobs))
	for uid, r := range c.jobs {
		for _, a := range c.attempts[uid] {
			r.Attempts = append(r.Attempts, a)
			if a.Start > 0 && (r.Job.Start == 0 || a.Start < r.Job.Start) {
				r.Job.Start = a.Start
			}
		}
		slices.SortFunc(r.Attempts, func(a, b accounting.Row) int {
			return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
		})
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(a.Job.Number, b.Job.Number), strings.Compare(a.Job.UID, b.Job.UID))
	})
	return out
}

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

var acctFields = []field[AcctRow]{
	{0, "JobID", "JobID", 12, func(r *AcctRow) string { return r.ID }},
	{0, "JobIDRaw", "JobIDRaw", 12, func(r *AcctRow) string { return r.RawID }},
	{0, "JobName", "JobName", 10, func(r *AcctRow) string { return r.Name }},
	{0, "Partition", "Partition", 10, func(r *AcctRow) string {
		if r.step() {
			return ""
		}
		return r.Job.Class
	}},
	{0, "Account", "Account", 10, func(r *AcctRow) string { return r.Job.Team }},
	{0, "User", "User", 9, func(r *AcctRow) string {
		if r.step() {
			return ""
		}
		return r.Job.User
	}},
	{0, "QOS", "QOS", 10, func(r *AcctRow) string { return r.Job.Priority }},
	{0, "AllocCPUS", "AllocCPUS", 10, func(r *AcctRow) string { return amount(r.CPUs) }},
	{0, "NCPUS", "NCPUS", 10, func(r *AcctRow) string { return amount(r.CPUs) }},
	{0, "ReqCPUS", "ReqCPUS", 8, func(r *AcctRow) string { return amount(float64(r.Job.CPUs)) }},
	{0, "ReqMem", "ReqMem", 10, func(r *AcctRow) string { return memoryText(float64(r.Job.MemoryGB)) }},
	{0, "State", "State", 10, func(r *AcctRow) string { return r.State }},
	{0, "ExitCode", "ExitCode", 8, func(r *AcctRow) string { return exitCode(r.Exit) }},
	{0, "Submit", "Submit", 19, func(r *AcctRow) string { return stamp(r.Job.Submit, "Unknown", r.Zone) }},
	{0, "Eligible", "Eligible", 19, func(r *AcctRow) string { return stamp(r.Job.Eligible, "Unknown", r.Zone) }},
	{0, "Start", "Start", 19, func(r *AcctRow) string { return stamp(r.Start, "Unknown", r.Zone) }},
	{0, "End", "End", 19, func(r *AcctRow) string { return stamp(r.End, "Unknown", r.Zone) }},
	{0, "Elapsed", "Elapsed", 10, func(r *AcctRow) string { return Clock(r.elapsed(), false) }},
	{0, "ElapsedRaw", "ElapsedRaw", 10, func(r *AcctRow) string { return strconv.Itoa(int(r.elapsed())) }},
	{0, "Timelimit", "Timelimit", 10, func(r *AcctRow) string {
		if r.LimitS == 0 {
			return "UNLIMITED"
		}
		return Clock(r.LimitS, false)
	}},
	{0, "CPUTime", "CPUTime", 10, func(r *AcctRow) string { return Clock(r.elapsed()*r.CPUs, false) }},
	{0, "CPUTimeRAW", "CPUTimeRAW", 10, func(r *AcctRow) string { return strconv.Itoa(int(r.elapsed() * r.CPUs)) }},
	{0, "NNodes", "NNodes", 8, func(r *AcctRow) string {
		if r.Machine == "" {
			return "0"
		}
		return "1"
	}},
	{0, "NodeList", "NodeList", 15, func(r *AcctRow) string { return dash(r.Machine, "None assigned") }},
	{0, "Restarts", "Restarts", 8, func(r *AcctRow) string { return strconv.Itoa(r.Restart) }},
	{0, "MemSeconds", "MemSeconds", 12, func(r *AcctRow) string { return amount(float64(int(r.elapsed() * float64(r.Job.MemoryGB)))) }},
	{0, "UsefulSec", "UsefulSec", 10, func(r *AcctRow) string { return fmt.Sprintf("%.1f", r.Useful) }},
	{0, "LostSec", "LostSec", 10, func(r *AcctRow) string { return fmt.Sprintf("%.1f", r.Lost) }},
	{0, "Cost", "Cost", 10, func(r *AcctRow) string { return fmt.Sprintf("%.6f", r.Cost) }},
	{0, "WallrackUID", "WallrackUID", 32, func(r *AcctRow) string { return r.Job.UID }},
}

const acctFormat = "JobID,JobName,Partition,Account,AllocCPUS,State,ExitCode"

// AcctTable makes sacct's layout; parsable is "", "P" (bars between) or "p" (and at
// the end).
func AcctTable(format, parsable string) (*Table[AcctRow], error) {
	t, err := parseNames("format", dash(format, acctFormat), "%", acctFields)
	if err != nil {
		return nil, err
	}
	for i := range t.columns {
		if t.columns[i].name == "JobID" && !strings.Contains(strings.ToLower(format), "jobid%") {
			t.columns[i].right = false
		}
	}
	t.pipes, t.ends, t.rules = parsable != "", parsable == "p", true
	return t, nil
}

// AcctFieldNames lists what -o takes.
func AcctFieldNames() string { return names(acctFields) }

// Values are a line's fields by name, for JSON and CSV.
func (r *AcctRow) Values() (name, value []string) {
	for _, f := range acctFields {
		name, value = append(name, f.name), append(value, f.of(r))
	}
	return name, value
}

// AcctFilter says which records sacct shows: those with any state in a window of
// time that they were eligible, running or ending in.
type AcctFilter struct {
	FromMs, ToMs                             int64
	Users, Accounts, Partitions, States, QOS []string
	Names                                    []string
	Jobs                                     []Target
}

// Has reports whether a record is meant.
func (f *AcctFilter) Has(r *Record) bool {
	j := &r.Job
	if f.ToMs > 0 && j.Submit > f.ToMs || j.End > 0 && j.End < f.FromMs {
		return false
	}
	return in(f.Users, j.User) && in(f.Accounts, j.Team) && in(f.Partitions, j.Class) && in(f.QOS, j.Priority) && in(f.Names, dash(j.Name, j.Class)) &&
		(len(f.Jobs) == 0 || slices.ContainsFunc(f.Jobs, func(t Target) bool {
			return t.Number >= j.Number && t.Number < j.Number+uint64(max(1, j.Tasks))
		}))
}

// HasLine reports whether a line of a record that is meant is shown.
func (f *AcctFilter) HasLine(r *AcctRow) bool {
	if !in(f.States, r.State) {
		return false
	}
	return len(f.Jobs) == 0 || slices.ContainsFunc(f.Jobs, func(t Target) bool {
		id := strings.TrimSuffix(r.ID, ".batch")
		if t.All {
			return t.Number == r.Job.Number || strings.TrimSuffix(r.RawID, ".batch") == strconv.FormatUint(t.Number, 10)
		}
		_, index, _ := strings.Cut(id, "_")
		x, err := strconv.Atoi(index)
		return t.Number == r.Job.Number && err == nil && t.Indices.Find(x) >= 0
	})
}

// Sum is what jobs took together, as sreport has it.
type Sum struct {
	Key        string  `json:"key" parquet:"key"`
	Jobs       int     `json:"jobs" parquet:"jobs"`
	Tasks      int     `json:"tasks" parquet:"tasks"` // done
	Attempts   int     `json:"attempts" parquet:"attempts"`
	CPUHours   float64 `json:"cpu_hours" parquet:"cpu_hours"`
	GBHours    float64 `json:"memory_gb_hours" parquet:"memory_gb_hours"`
	UsefulH    float64 `json:"useful_cpu_hours" parquet:"useful_cpu_hours"`
	LostH      float64 `json:"lost_cpu_hours" parquet:"lost_cpu_hours"`
	Cost       float64 `json:"cost" parquet:"cost"`
	WaitS      float64 `json:"wait_s" parquet:"wait_s"` // from eligible to start, of the jobs together
	WaitedJobs int     `json:"-" parquet:"-"`
}

// Sums adds records up by account, class, user or day of their end.
func Sums(records []*Record, by string, zone *time.Location) ([]Sum, error) {
	key := map[string]func(r *Record) string{
		"account": func(r *Record) string { return r.Job.Team }, "class": func(r *Record) string { return r.Job.Class },
		"user": func(r *Record) string { return dash(r.Job.User, "-") },
		"day": func(r *Record) string {
			if r.Job.End == 0 {
				return "running"
			}
			return time.UnixMilli(r.Job.End).In(zone).Format(time.DateOnly)
		},
	}[by]
	if key == nil {
		return nil, &Usage{Option: "by", Why: fmt.Sprintf("%.40q: account, class, user or day is needed", by)}
	}
	sums := map[string]*Sum{}
	for _, r := range records {
		k := key(r)
		s := sums[k]
		if s == nil {
			s = &Sum{Key: k}
			sums[k] = s
		}
		s.Jobs++
		s.Tasks += int(r.Job.Done)
		if r.Job.Eligible > 0 && r.Job.Start > r.Job.Eligible {
			s.WaitS += float64(r.Job.Start-r.Job.Eligible) / 1000
		}
		for i := range r.Attempts {
			a := &r.Attempts[i]
			if a.End == 0 {
				continue
			}
			h := a.Seconds() / 3600
			s.Attempts++
			s.CPUHours += h * float64(a.CPUs)
			s.GBHours += h * float64(a.MemoryGB)
			s.Cost += a.Cost()
			if a.Useful {
				s.UsefulH += h * float64(a.CPUs)
			} else {
				s.LostH += h * float64(a.CPUs)
			}
		}
	}
	out := make([]Sum, 0, len(sums))
	for _, s := range sums {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Sum) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

// NodeRow is a line of sinfo.
type NodeRow struct {
	wire.MachineInfo
	Partition string
	Cluster   string
	MemoryGB  float64
	GPUs      float64
	Count     int    // machines that the line stands for
	Names     string // of them
}

// silentS is the silence after which sinfo calls a machine down.
const silentS = 10

func (r *NodeRow) state() string {
	switch {
	case r.HeardS > silentS:
		return "down"
	case r.Tasks == 0:
		return "idle"
	case r.UsedCPUs >= r.CPUs-1e-6:
		return "allocated"
	}
	return "mixed"
}

var nodeStates = map[string]string{"down": "down", "idle": "idle", "allocated": "alloc", "mixed": "mix"}

var nodeFields = []field[NodeRow]{
	{'P', "Partition", "PARTITION", 20, func(r *NodeRow) string { return r.Partition }},
	{'a', "Available", "AVAIL", 20, func(*NodeRow) string { return "up" }},
	{'l', "Time", "TIMELIMIT", 20, func(*NodeRow) string { return "infinite" }},
	{'D', "Nodes", "NODES", 20, func(r *NodeRow) string { return strconv.Itoa(r.Count) }},
	{'t', "StateCompact", "STATE", 20, func(r *NodeRow) string { return nodeStates[r.state()] }},
	{'T', "StateLong", "STATE", 20, (*NodeRow).state},
	{'N', "NodeList", "NODELIST", 20, func(r *NodeRow) string { return r.Names }},
	{'n', "NodeHost", "HOSTNAMES", 20, func(r *NodeRow) string { return r.Names }},
	{'c', "CPUs", "CPUS", 20, func(r *NodeRow) string { return amount(r.CPUs) }},
	{'C', "CPUsState", "CPUS(A/I/O/T)", 20, func(r *NodeRow) string {
		a, t := r.UsedCPUs, r.CPUs*float64(r.Count)
		if r.state() == "down" {
			return fmt.Sprintf("0/0/%s/%s", amount(t), amount(t))
		}
		return fmt.Sprintf("%s/%s/0/%s", amount(a), amount(max(0, t-a)), amount(t))
	}},
	{'m', "Memory", "MEMORY", 20, func(r *NodeRow) string { return strconv.Itoa(int(r.MemoryGB * 1024)) }},
	{'G', "Gres", "GRES", 20, func(r *NodeRow) string {
		if r.GPUs == 0 {
			return "(null)"
		}
		return "gpu:" + amount(r.GPUs)
	}},
	{'f', "Features", "AVAIL_FEATURES", 20, func(r *NodeRow) string {
		f := r.Type + "," + r.Zone
		if r.Spot {
			f += ",spot"
		}
		return f
	}},
	{'R', "PartitionName", "PARTITION", 20, func(r *NodeRow) string { return r.Partition }},
	{'V', "Cluster", "CLUSTER", 20, func(r *NodeRow) string { return r.Cluster }},
}

// Nodes makes sinfo's lines: one a machine (-N), or one for the machines of a type
// in a state.
func Nodes(ms []wire.MachineInfo, site *listing.Site, each bool) []NodeRow {
	var out []NodeRow
	for _, p := range site.Classes {
		name := p
		if p == site.Class && !each {
			name += "*"
		}
		groups := map[string]int{}
		for _, m := range ms {
			r := NodeRow{MachineInfo: m, Partition: name, Cluster: site.Cluster, Count: 1, Names: m.Name}
			for _, t := range site.Types {
				if t.Name == m.Type {
					r.MemoryGB, r.GPUs = t.MemoryGB, t.GPUs
				}
			}
			key := r.state() + " " + m.Type
			if at, there := groups[key]; there && !each {
				g := &out[at]
				g.Count++
				g.UsedCPUs += m.UsedCPUs
				g.Names += "," + m.Name
				continue
			}
			groups[key] = len(out)
			out = append(out, r)
		}
	}
	return out
}

// NodeTable makes sinfo's layout of -o, or the usual one.
func NodeTable(format string, each bool) (*Table[NodeRow], error) {
	switch {
	case format != "":
		return parsePercent(format, nodeFields)
	case each:
		return parsePercent("%14N %.6D %.9P %6t", nodeFields)
	}
	return parsePercent("%9P %.5a %.10l %.6D %.6t %N", nodeFields)
}
