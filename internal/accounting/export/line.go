// Package export writes accounting records as CSV, JSON and Parquet for other programs, and as an
// HTML page with plots. The records come from package slurm. The package holds no state.
package export

import (
	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/slurm"
)

// Line is an exported row: a job or an attempt of one of its tasks. The line of an attempt repeats
// the name, user, account and other attributes of its job. Times are in milliseconds since 1970,
// 0 if unknown. Both tags of a field must have the same column name.
type Line struct {
	Kind            string  `json:"kind" parquet:"kind,dict"` // "job" or "attempt"
	UID             string  `json:"uid" parquet:"uid"`
	Number          uint64  `json:"number" parquet:"number"`
	Task            int     `json:"task" parquet:"task"`
	Attempt         uint64  `json:"attempt" parquet:"attempt"`
	State           string  `json:"state" parquet:"state,dict"`
	Exit            int     `json:"exit_code" parquet:"exit_code"`
	Name            string  `json:"name" parquet:"name,dict"`
	User            string  `json:"user" parquet:"user,dict"`
	Account         string  `json:"account" parquet:"account,dict"`
	Class           string  `json:"partition" parquet:"partition,dict"`
	Priority        string  `json:"qos" parquet:"qos,dict"`
	Tasks           int     `json:"tasks" parquet:"tasks"`
	Done            int     `json:"done" parquet:"done"`
	Submit          int64   `json:"submit_ms" parquet:"submit_ms,timestamp"`
	Eligible        int64   `json:"eligible_ms" parquet:"eligible_ms,timestamp"`
	Start           int64   `json:"start_ms" parquet:"start_ms,timestamp"`
	End             int64   `json:"end_ms" parquet:"end_ms,timestamp"`
	Machine         string  `json:"machine" parquet:"machine,dict"`
	CPUs            float64 `json:"cpus" parquet:"cpus"`
	GPUs            float64 `json:"gpus" parquet:"gpus"`
	MemoryGB        float64 `json:"memory_gb" parquet:"memory_gb"`
	CPUSeconds      float64 `json:"cpu_seconds" parquet:"cpu_seconds"`             // of an attempt
	MemoryGBSeconds float64 `json:"memory_gb_seconds" parquet:"memory_gb_seconds"` // of an attempt
	Useful          bool    `json:"useful" parquet:"useful"`                       // the attempt completed its task
	Cost            float64 `json:"cost" parquet:"cost"`                           // of an attempt
}

// Lines returns the lines of records: each job, then its attempts.
func Lines(records []*slurm.Record) []Line {
	var lines []Line
	for _, record := range records {
		lines = append(lines, newLine(&record.Job, &record.Job))
		for i := range record.Attempts {
			lines = append(lines, newLine(&record.Job, &record.Attempts[i]))
		}
	}
	return lines
}

// newLine returns the line of a row. row is either the job's own or that of one of its attempts.
func newLine(job, row *accounting.Row) Line {
	line := Line{
		Kind: "job", UID: row.UID, Number: row.Number, Task: int(row.Task), Attempt: row.Attempt, State: row.State, Exit: int(row.Exit),
		Name: job.Name, User: job.User, Account: job.Team, Class: job.Class, Priority: job.Priority,
		Tasks: int(job.Tasks), Done: int(job.Done), Submit: job.Submit, Eligible: job.Eligible,
		Start: row.Start, End: row.End, Machine: row.Worker,
		CPUs: float64(row.CPUs), GPUs: float64(row.GPUs), MemoryGB: float64(row.MemoryGB),
	}
	if row.Kind == accounting.RowAttempt {
		line.Kind, line.Useful, line.Cost = "attempt", row.Useful, row.Cost()
		line.CPUSeconds, line.MemoryGBSeconds = row.Seconds()*line.CPUs, row.Seconds()*line.MemoryGB
	}
	return line
}
