// Package jobquery has the messages in which controllers list jobs and their accounting to
// clients and to one another, and in which Slurm's commands submit jobs. It has types only:
// packages scheduler and slurmapi fill them. Times of day are in milliseconds since 1970.
package jobquery

import (
	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// Placement is a task that is, or may be, on a worker.
type Placement struct {
	Task    int    `json:"task"`
	Attempt uint64 `json:"attempt"`
	Worker  string `json:"machine"`          // name of the worker
	StartMs int64  `json:"start,omitempty"`  // 0: not seen to run yet
	Halted  bool   `json:"ending,omitempty"` // it was halted
}

// Info is a job as listings show it. A listing that continues within a job repeats the job
// with the placements and pending tasks that follow; the counts are always of the whole job.
type Info struct {
	Job          wire.Job             `json:"job"`
	Constraints  *jobspec.Constraints `json:"terms"`
	AcceptedMs   int64                `json:"at"`
	Stage        string               `json:"stage"`            // as in wire.JobState
	Reason       string               `json:"reason,omitempty"` // why its pending tasks wait, see package jobspec
	EligibleMs   int64                `json:"eligible,omitempty"`
	StartMs      int64                `json:"start,omitempty"`   // of its first task
	PendingTasks string               `json:"waiting,omitempty"` // pending tasks, as jobspec.Ranges
	PendingCount int                  `json:"queued"`            // number of pending tasks
	Placements   []Placement          `json:"on,omitempty"`
	Running      int                  `json:"running"`          // number of running placements
	Done         int                  `json:"done"`             // number of completed tasks
	Failed       int                  `json:"failed,omitempty"` // number of tasks that are over and not done
	Ending       *jobspec.Ending      `json:"ending,omitempty"` // of a job that is over
}

// Cursor is where a listing continues: with the job of that number, after its first On
// placements, and with its pending tasks from Task on.
type Cursor struct {
	Number         uint64 `json:"number"`
	SkipPlacements int    `json:"on,omitempty"`
	Task           int    `json:"task,omitempty"`
}

// Page is a part of the listing of living jobs, in the order of their numbers.
type Page struct {
	Jobs  []Info  `json:"jobs"`
	Next  *Cursor `json:"next,omitempty"` // where the next page starts; nil: this is the last
	NowMs int64   `json:"now"`            // the controller's time of day
}

// Submission is a job with its constraints.
type Submission struct {
	Job         json.RawMessage      `json:"job"` // a wire.Job
	Constraints *jobspec.Constraints `json:"terms"`
	DryRun      bool                 `json:"test,omitempty"` // validate it only
}

// Site is what clients need to know of a site.
type Site struct {
	Cluster  string             `json:"cluster"`
	Accounts bool               `json:"accounting"` // accounting is on
	Class    string             `json:"partition"`  // of jobs that name none
	Team     string             `json:"account"`    // of jobs that name none
	Classes  []string           `json:"partitions"`
	Teams    []string           `json:"accounts"`
	Zones    []string           `json:"zones"`
	Types    []wire.MachineType `json:"types"`
}

// Rows is a part of a day's accounting.
type Rows struct {
	Pages []string `json:"pages"`          // for accounting.Reader.Unpack
	Next  string   `json:"next,omitempty"` // names the next part; "": this is the last
}
