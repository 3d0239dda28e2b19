package wire

import (
	"errors"
	"fmt"

	"github.com/goccy/go-json"
)

// Task is the state of one attempt of a task in a worker's report.
type Task struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	State   string `json:"stage"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"stored,omitempty"`
	Exit    *int   `json:"exitCode,omitempty"` // exit code of a process that ended by itself; an extension of the protocol
}

// Report is a worker's heartbeat. It lists all tasks of the worker.
type Report struct {
	Machine  string   `json:"bench"`
	Endpoint string   `json:"endpoint"`
	Type     string   `json:"build"`
	Zone     string   `json:"yard"`
	Spot     bool     `json:"loaners"`
	Session  uint64   `json:"stint"`    // session of the worker process
	Seq      uint64   `json:"tally"`    // sequence number of the report within its session
	Token    uint64   `json:"baton"`    // highest fencing token that the worker has received
	NoticeS  *float64 `json:"warningS"` // seconds until the cloud preempts the machine; nil: no preemption notice
	Tasks    []Task   `json:"pieces"`
}

// ParseReport parses a worker's report and checks its required fields and the names of its tasks.
func ParseReport(body []byte) (*Report, error) {
	var report Report
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if report.Machine == "" || len(report.Machine) > maxNameBytes || report.Endpoint == "" || report.Type == "" || report.Zone == "" || report.Session == 0 {
		return nil, errors.New("report: field missing or invalid")
	}
	for _, task := range report.Tasks {
		if _, _, err := ParseTask(task.Task); err != nil {
			return nil, fmt.Errorf("report: %w", err)
		}
	}
	return &report, nil
}

// Command is a command to a worker for one attempt of a task.
type Command struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"windupS,omitempty"`
}

// ReportResponse is the response to a report.
type ReportResponse struct {
	Token    uint64    `json:"baton"`
	Commands []Command `json:"orders"`
}

// PushedCommands are commands sent to a worker in a separate request instead of the response to a
// report. A worker rejects them if their fencing token is lower than the highest it has received,
// or if they are for another session.
type PushedCommands struct {
	Token    uint64    `json:"baton"`
	Session  uint64    `json:"stint"`
	Commands []Command `json:"orders"`
}

// ParsePushedCommands parses pushed commands. The token and the session are required.
func ParsePushedCommands(body []byte) (*PushedCommands, error) {
	var pushed struct {
		Token    *uint64   `json:"baton"`
		Session  *uint64   `json:"stint"`
		Commands []Command `json:"orders"`
	}
	if err := json.Unmarshal(body, &pushed); err != nil {
		return nil, fmt.Errorf("orders: %w", err)
	}
	if pushed.Token == nil || pushed.Session == nil {
		return nil, errors.New("orders: baton or stint is missing")
	}
	return &PushedCommands{Token: *pushed.Token, Session: *pushed.Session, Commands: pushed.Commands}, nil
}

// Redirect tells a worker which controller to report to. If ReportTo is empty, the worker chooses
// one.
type Redirect struct {
	ReportTo string `json:"foreman,omitempty"`
}
