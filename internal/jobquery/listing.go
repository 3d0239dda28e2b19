// Package jobquery has the messages in which controllers list jobs to clients and
// to one another.
package jobquery

import (
	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// Placement is a task that is, or may be, on a machine.
type Placement struct {
	Task    int    `json:"task"`
	Attempt uint64 `json:"attempt"`
	Machine string `json:"machine"`
	StartMs int64  `json:"start,omitempty"` // 0: fetching its image
	Ending  bool   `json:"ending,omitempty"`
}

// Info is a job as listings show it. Lists of tasks are left out of the parts of
// a listing that go on with a job's running tasks.
type Info struct {
	Job         wire.Job             `json:"job"`
	Constraints *jobspec.Constraints `json:"terms"`
	AcceptedMs  int64                `json:"at"`
	Stage       string               `json:"stage"`
	Reason      string               `json:"reason,omitempty"` // why its waiting tasks wait
	EligibleMs  int64                `json:"eligible,omitempty"`
	StartMs     int64                `json:"start,omitempty"`
	Waiting     string               `json:"waiting,omitempty"` // tasks, as terms.Ranges
	Queued      int                  `json:"queued"`            // tasks that wait, in all
	Placements  []Placement          `json:"on,omitempty"`
	Running     int                  `json:"running"` // in all
	Done        int                  `json:"done"`
	Failed      int                  `json:"failed,omitempty"`
	Ending      *jobspec.Ending      `json:"ending,omitempty"` // of a job that is over
}

// Cursor is where a listing goes on: with the job of this number, beyond so many
// of its tasks that are on, with the waiting ones from a task on.
type Cursor struct {
	Number uint64 `json:"number"`
	On     int    `json:"on,omitempty"`
	Task   int    `json:"task,omitempty"`
}

// Page is a part of the listing of living jobs.
type Page struct {
	Jobs  []Info  `json:"jobs"`
	Next  *Cursor `json:"next,omitempty"`
	NowMs int64   `json:"now"` // the controller's time of day
}

// Submission is a job with its terms.
type Submission struct {
	Job         json.RawMessage      `json:"job"`
	Constraints *jobspec.Constraints `json:"terms"`
	DryRun      bool                 `json:"test,omitempty"` // check it, and accept nothing
}

// Site is what clients need to know of a site.
type Site struct {
	Cluster  string             `json:"cluster"`
	Accounts bool               `json:"accounting"`
	Class    string             `json:"partition"` // of jobs that name none
	Team     string             `json:"account"`   // of jobs that name none
	Classes  []string           `json:"partitions"`
	Teams    []string           `json:"accounts"`
	Zones    []string           `json:"zones"`
	Types    []wire.MachineType `json:"types"`
}

// Rows is a part of a day's accounting, as pages of accounting.Unpack.
type Rows struct {
	Pages []string `json:"pages"`
	Next  string   `json:"next,omitempty"`
}
