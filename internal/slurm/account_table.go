package slurm

import (
	"fmt"
	"strconv"
	"strings"
)

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
