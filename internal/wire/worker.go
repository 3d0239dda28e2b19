package wire

import (
	"errors"
	"fmt"

	"github.com/goccy/go-json"
)

// Task is a task in a worker's report.
type Task struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	State   string `json:"stage"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"stored,omitempty"`
	Exit    *int   `json:"exitCode,omitempty"` // of a process that ended by itself; beyond the site's protocol
}

// Report is a worker's heartbeat: all its tasks.
type Report struct {
	Machine  string   `json:"bench"`
	Endpoint string   `json:"endpoint"`
	Type     string   `json:"build"`
	Zone     string   `json:"yard"`
	Spot     bool     `json:"loaners"`
	Session  uint64   `json:"stint"`    // of the worker process
	Seq      uint64   `json:"tally"`    // of the report in its session
	Token    uint64   `json:"baton"`    // the highest fencing token that the worker has seen
	NoticeS  *float64 `json:"warningS"` // until the machine is taken; nil: no notice
	Tasks    []Task   `json:"pieces"`
}

// ParseReport reads a worker's report, and checks that it names the worker and valid tasks.
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

// Command instructs a worker about one attempt of a task.
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

// PushedCommands are commands pushed to a worker, outside of a response to a report. A worker
// refuses those with a lower fencing token than it has seen, or for another session.
type PushedCommands struct {
	Token    uint64    `json:"baton"`
	Session  uint64    `json:"stint"`
	Commands []Command `json:"orders"`
}

// ParsePushedCommands reads pushed commands; token and session must be present.
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

// Redirect sends a worker to another controller.
type Redirect struct {
	ReportTo string `json:"foreman,omitempty"`
}
