package slurm

import (
	"fmt"
	"strconv"
	"strings"
)

// acctFields defines sacct's columns.
var acctFields = []field[AcctRow]{
	{0, "JobID", "JobID", 12, func(r *AcctRow) string { return r.ID }},
	{0, "JobIDRaw", "JobIDRaw", 12, func(r *AcctRow) string { return r.RawID }},
	{0, "JobName", "JobName", 10, func(r *AcctRow) string { return r.Name }},
	{0, "Partition", "Partition", 10, func(r *AcctRow) string {
		if r.isStep() {
			return ""
		}
		return r.Job.Class
	}},
	{0, "Account", "Account", 10, func(r *AcctRow) string { return r.Job.Team }},
	{0, "User", "User", 9, func(r *AcctRow) string {
		if r.isStep() {
			return ""
		}
		return r.Job.User
	}},
	{0, "QOS", "QOS", 10, func(r *AcctRow) string { return r.Job.Priority }},
	{0, "AllocCPUS", "AllocCPUS", 10, func(r *AcctRow) string { return formatNumber(r.CPUs) }},
	{0, "NCPUS", "NCPUS", 10, func(r *AcctRow) string { return formatNumber(r.CPUs) }},
	{0, "ReqCPUS", "ReqCPUS", 8, func(r *AcctRow) string { return formatNumber(float64(r.Job.CPUs)) }},
	{0, "ReqMem", "ReqMem", 10, func(r *AcctRow) string { return formatMemory(float64(r.Job.MemoryGB)) }},
	{0, "State", "State", 10, func(r *AcctRow) string { return r.State }},
	{0, "ExitCode", "ExitCode", 8, func(r *AcctRow) string { return formatExitCode(r.Exit) }},
	{0, "Submit", "Submit", 19, func(r *AcctRow) string { return formatTime(r.Job.Submit, "Unknown", r.Zone) }},
	{0, "Eligible", "Eligible", 19, func(r *AcctRow) string { return formatTime(r.Job.Eligible, "Unknown", r.Zone) }},
	{0, "Start", "Start", 19, func(r *AcctRow) string { return formatTime(r.StartMs, "Unknown", r.Zone) }},
	{0, "End", "End", 19, func(r *AcctRow) string { return formatTime(r.EndMs, "Unknown", r.Zone) }},
	{0, "Elapsed", "Elapsed", 10, func(r *AcctRow) string { return FormatDuration(r.elapsedS(), false) }},
	{0, "ElapsedRaw", "ElapsedRaw", 10, func(r *AcctRow) string { return strconv.Itoa(int(r.elapsedS())) }},
	{0, "Timelimit", "Timelimit", 10, func(r *AcctRow) string {
		if r.LimitS == 0 {
			return "UNLIMITED"
		}
		return FormatDuration(r.LimitS, false)
	}},
	{0, "CPUTime", "CPUTime", 10, func(r *AcctRow) string { return FormatDuration(r.elapsedS()*r.CPUs, false) }},
	{0, "CPUTimeRAW", "CPUTimeRAW", 10, func(r *AcctRow) string { return strconv.Itoa(int(r.elapsedS() * r.CPUs)) }},
	{0, "NNodes", "NNodes", 8, func(r *AcctRow) string {
		if r.Machine == "" {
			return "0"
		}
		return "1"
	}},
	{0, "NodeList", "NodeList", 15, func(r *AcctRow) string { return orDefault(r.Machine, "None assigned") }},
	{0, "Restarts", "Restarts", 8, func(r *AcctRow) string { return strconv.Itoa(r.Restarts) }},
	{0, "MemSeconds", "MemSeconds", 12, func(r *AcctRow) string { return formatNumber(float64(int(r.elapsedS() * float64(r.Job.MemoryGB)))) }},
	{0, "UsefulSec", "UsefulSec", 10, func(r *AcctRow) string { return fmt.Sprintf("%.1f", r.UsefulS) }},
	{0, "LostSec", "LostSec", 10, func(r *AcctRow) string { return fmt.Sprintf("%.1f", r.LostS) }},
	{0, "Cost", "Cost", 10, func(r *AcctRow) string { return fmt.Sprintf("%.6f", r.Cost) }},
	{0, "WallrackUID", "WallrackUID", 32, func(r *AcctRow) string { return r.Job.UID }},
}

// acctFormat is sacct's default format.
const acctFormat = "JobID,JobName,Partition,Account,AllocCPUS,State,ExitCode"

// AcctTable returns sacct's layout for a format; "" selects the default. parsable is "" (padded
// columns), "P" (cells separated by |) or "p" (| also at the end). The error is a *UsageError.
func AcctTable(format, parsable string) (*Table[AcctRow], error) {
	t, err := parseFieldList("format", orDefault(format, acctFormat), "%", acctFields)
	if err != nil {
		return nil, err
	}
	for i := range t.columns {
		if t.columns[i].name == "JobID" && !strings.Contains(strings.ToLower(format), "jobid%") {
			t.columns[i].alignRight = false
		}
	}
	t.delimited, t.trailingDelimiter, t.sacctStyle = parsable != "", parsable == "p", true
	return t, nil
}

// AcctFieldNames returns the column names that -o accepts, separated by blanks.
func AcctFieldNames() string { return fieldNames(acctFields) }

// Values returns the names and the texts of all columns of the row.
func (r *AcctRow) Values() (names, texts []string) {
	for _, f := range acctFields {
		names, texts = append(names, f.name), append(texts, f.format(r))
	}
	return names, texts
}
