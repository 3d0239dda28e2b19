// Package jobquery defines the messages with which controllers list jobs and accounting to
// clients and to one another, and with which Slurm's commands submit jobs. It contains types
// only; packages scheduler and slurmapi fill them. Times of day are in milliseconds since 1970.
package jobquery

import (
	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// Placement is a task that runs, or may run, on a worker.
type Placement struct {
	Task    int    `json:"task"`
	Attempt uint64 `json:"attempt"`
	Worker  string `json:"machine"`          // name of the worker
	StartMs int64  `json:"start,omitempty"`  // 0 if it was not seen running yet
	Halted  bool   `json:"ending,omitempty"` // it was told to halt
}

// Info describes a job in a listing. If a page ends within a job, the next page repeats the job
// with its remaining placements and pending tasks; the counts always cover the whole job.
type Info struct {
	Job          wire.Job             `json:"job"`
	Constraints  *jobspec.Constraints `json:"terms"`
	AcceptedMs   int64                `json:"at"`
	Stage        string               `json:"stage"`              // as in wire.JobState
	Reason       string               `json:"reason,omitempty"`   // why its pending tasks wait, see package jobspec
	EligibleMs   int64                `json:"eligible,omitempty"` // start of the wait for resources only; 0 if it has not begun
	StartMs      int64                `json:"start,omitempty"`    // start of its first task
	PendingTasks string               `json:"waiting,omitempty"`  // pending tasks, as jobspec.Ranges
	PendingCount int                  `json:"queued"`             // number of pending tasks
	Placements   []Placement          `json:"on,omitempty"`
	Running      int                  `json:"running"`          // number of running placements
	Done         int                  `json:"done"`             // number of completed tasks
	Failed       int                  `json:"failed,omitempty"` // number of tasks that ended without completing
	Ending       *jobspec.Ending      `json:"ending,omitempty"` // nil unless the job has ended
}

// Cursor is the position at which a listing continues: the job with the number, without its first
// SkipPlacements placements and with its pending tasks from Task on.
type Cursor struct {
	Number         uint64 `json:"number"`
	SkipPlacements int    `json:"on,omitempty"`
	Task           int    `json:"task,omitempty"`
}

// Page is a page of the listing of living jobs, in the order of their numbers.
type Page struct {
	Jobs  []Info  `json:"jobs"`
	Next  *Cursor `json:"next,omitempty"` // start of the next page; nil if this is the last
	NowMs int64   `json:"now"`            // time of day at the controller
}

// Submission is a job with its constraints.
type Submission struct {
	Job         json.RawMessage      `json:"job"` // a wire.Job
	Constraints *jobspec.Constraints `json:"terms"`
	DryRun      bool                 `json:"test,omitempty"` // only validate the job
}

// Site describes a site to clients.
type Site struct {
	Cluster  string             `json:"cluster"`
	Accounts bool               `json:"accounting"` // whether accounting is on
	Class    string             `json:"partition"`  // default for jobs
	Team     string             `json:"account"`    // default for jobs
	Classes  []string           `json:"partitions"`
	Teams    []string           `json:"accounts"`
	Zones    []string           `json:"zones"`
	Types    []wire.MachineType `json:"types"`
}

// Rows is a part of a day's accounting.
type Rows struct {
	Pages []string `json:"pages"`          // packed; see accounting.Reader.Unpack
	Next  string   `json:"next,omitempty"` // name of the next part; empty if this is the last
}
