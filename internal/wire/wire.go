// Package wire holds the site's JSON messages: the only place where the
// names that workers, users, cloud and state service use are spelled out.
package wire

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/goccy/go-json"
)

// MaxBody is the largest request body that any interface accepts.
const MaxBody = 64 << 10

// MaxTasks is the largest number of tasks a job may have.
const MaxTasks = 100_000

// Kinds of job.
const (
	KindArray   = "sweep"
	KindService = "daemon"
	KindGang    = "gang" // every task runs at the same time, or none
)

// Job stages as users see them, and the stage a record in the store may add.
const (
	StageQueued    = "queued"
	StageRunning   = "running"
	StageDone      = "done"
	StageCancelled = "cancelled"
)

// Task states and exit causes as workers report them.
const (
	TaskFetching = "fetching"
	TaskRunning  = "running"
	TaskSaving   = "saving"
	TaskExited   = "exited"

	CauseDone    = "done"
	CauseStopped = "halted"
	CauseError   = "error"
	CauseNoRoom  = "no_room"
	CauseBusy    = "in_use"
	CauseUnknown = "no_such"
)

// Command verbs.
const (
	VerbStart  = "launch"
	VerbStop   = "halt"
	VerbForget = "clear"
)

// Machine stages in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// Priorities, most urgent last, so that a larger rank is served first.
var priorities = map[string]int{"low": 0, "normal": 1, "urgent": 2, "production": 3}

// Job is a submission. It is stored as it is sent.
type Job struct {
	UID      string   `json:"uid"`
	Class    string   `json:"docket"`
	Team     string   `json:"crew"`
	Kind     string   `json:"sort"`
	Priority string   `json:"urgency"`
	Tasks    int      `json:"pieces"`
	CPUs     float64  `json:"cpus"`
	GPUs     float64  `json:"cards"`
	MemoryGB float64  `json:"memoryGb"`
	Image    string   `json:"kit"`
	ImageGB  float64  `json:"pullGb"`
	Types    []string `json:"builds,omitempty"`
	Zone     *string  `json:"yard,omitempty"`
	OneZone  bool     `json:"together,omitempty"`
	Spread   bool     `json:"apart,omitempty"`
	Spot     bool     `json:"loaners,omitempty"`
	Estimate float64  `json:"reckonS"`
	MarkS    float64  `json:"markS,omitempty"`
	SaveS    float64  `json:"stashS,omitempty"`
	DueS     *float64 `json:"dueS,omitempty"`
}

// Rank returns the job's priority; a larger rank is served first.
func (j *Job) Rank() int { return priorities[j.Priority] }

// Service reports whether the job's tasks run until it is cancelled.
func (j *Job) Service() bool { return j.Kind == KindService }

// Gang reports whether the job's tasks run together or not at all.
func (j *Job) Gang() bool { return j.Kind == KindGang }

// jobMessage is a submission's fields as they came; nil: missing, null or of a wrong type.
type jobMessage struct {
	UID, Class, Team, Kind, Priority, Image, Zone               *string
	Tasks                                                       *int
	CPUs, GPUs, MemoryGB, ImageGB, Estimate, MarkS, SaveS, DueS *float64
	OneZone, Spread, Spot                                       *bool
	Types                                                       *[]string
}

// read takes the fields of a JSON object by their exact names, and returns the first that
// is of a wrong type. The others are read all the same: a repeated submission is answered
// by its id, whatever else its body holds. A library that reads the whole object at once
// also takes "CPUS" for "cpus", so that a job that lacks the field would be accepted.
func (m *jobMessage) read(given map[string]json.RawMessage) error {
	var bad error
	for _, field := range []struct {
		name string
		into any
	}{
		{"uid", &m.UID}, {"docket", &m.Class}, {"crew", &m.Team}, {"sort", &m.Kind}, {"urgency", &m.Priority},
		{"pieces", &m.Tasks}, {"cpus", &m.CPUs}, {"cards", &m.GPUs}, {"memoryGb", &m.MemoryGB}, {"kit", &m.Image},
		{"pullGb", &m.ImageGB}, {"builds", &m.Types}, {"yard", &m.Zone}, {"together", &m.OneZone}, {"apart", &m.Spread},
		{"loaners", &m.Spot}, {"reckonS", &m.Estimate}, {"markS", &m.MarkS}, {"stashS", &m.SaveS}, {"dueS", &m.DueS},
	} {
		value, ok := given[field.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(value, field.into); err != nil && bad == nil {
			bad = fmt.Errorf("%s: of a wrong type", field.name)
		}
	}
	return bad
}

// maxAmount bounds resources and durations so that sums stay exact.
const maxAmount = 1e9

// maxName bounds every name in a job, so that its record fits a store value.
const maxName = 120

// ParseJob reads a submission, with a short reason for what is wrong. The job comes with
// the error wherever the body is an object, so that its id can be told.
func ParseJob(body []byte) (*Job, error) {
	trimmed := strings.TrimLeft(string(body), " \t\r\n")
	if !strings.HasPrefix(trimmed, "{") {
		return nil, errors.New("body is not a JSON object")
	}
	var given map[string]json.RawMessage
	if err := json.Unmarshal(body, &given); err != nil {
		return nil, fmt.Errorf("body is not a valid job: %w", err)
	}
	var m jobMessage
	bad := m.read(given)
	fail := func(field, why string) {
		if bad == nil {
			bad = fmt.Errorf("%s: %s", field, why)
		}
	}
	name := func(field string, v *string) string {
		switch {
		case v == nil:
			fail(field, "missing")
			return ""
		case *v == "" || len(*v) > maxName:
			fail(field, "empty or too long")
		}
		return *v
	}
	amount := func(field string, v *float64, positive bool) float64 {
		switch {
		case v == nil:
			fail(field, "missing")
			return 0
		case math.IsNaN(*v) || *v < 0 || *v > maxAmount || positive && *v == 0:
			fail(field, "out of range")
		}
		return *v
	}
	flag := func(field string, v *bool) bool {
		if v == nil {
			fail(field, "missing")
			return false
		}
		return *v
	}
	j := &Job{
		UID: name("uid", m.UID), Class: name("docket", m.Class), Team: name("crew", m.Team),
		Kind: name("sort", m.Kind), Priority: name("urgency", m.Priority),
		CPUs: amount("cpus", m.CPUs, true), GPUs: amount("cards", m.GPUs, false),
		MemoryGB: amount("memoryGb", m.MemoryGB, false),
		Image:    name("kit", m.Image), ImageGB: amount("pullGb", m.ImageGB, false),
		OneZone: flag("together", m.OneZone), Spread: flag("apart", m.Spread), Spot: flag("loaners", m.Spot),
		Estimate: amount("reckonS", m.Estimate, false),
		MarkS:    amount("markS", m.MarkS, false), SaveS: amount("stashS", m.SaveS, false),
		Zone: m.Zone, DueS: m.DueS,
	}
	if m.UID != nil && !ValidJobID(j.UID) {
		fail("uid", "not a job id")
	}
	if j.Kind != KindArray && j.Kind != KindService && j.Kind != KindGang {
		fail("sort", "unknown")
	}
	if _, ok := priorities[j.Priority]; !ok {
		fail("urgency", "unknown")
	}
	if m.Tasks == nil {
		fail("pieces", "missing")
	} else if j.Tasks = *m.Tasks; j.Tasks < 1 || j.Tasks > MaxTasks {
		fail("pieces", "out of range")
	}
	if m.Types != nil {
		j.Types = *m.Types
		if len(j.Types) == 0 || len(j.Types) > 16 {
			fail("builds", "empty or too long")
		}
		for _, t := range j.Types {
			name("builds", &t)
		}
	}
	if m.Zone != nil {
		name("yard", m.Zone)
	}
	if m.DueS != nil {
		amount("dueS", m.DueS, false)
	}
	return j, bad
}

// ValidJobID reports whether id has the form of a job id.
func ValidJobID(id string) bool {
	rest, ok := strings.CutPrefix(id, "j-")
	if !ok || rest == "" || len(rest) > 40 {
		return false
	}
	for _, c := range rest {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return true
}

// TaskName names task n of a job.
func TaskName(job string, n int) string { return job + "/" + strconv.Itoa(n) }

// ParseTask splits a task's name.
func ParseTask(name string) (job string, n int, err error) {
	job, num, ok := strings.Cut(name, "/")
	n, err = strconv.Atoi(num)
	if !ok || err != nil || n < 0 || n >= MaxTasks || !ValidJobID(job) {
		return "", 0, fmt.Errorf("not a task name: %.60q", name)
	}
	return job, n, nil
}

// JobState is the answer to users about a job.
type JobState struct {
	UID     string `json:"uid"`
	Stage   string `json:"stage"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// MachineInfo is a machine as operators see it.
type MachineInfo struct {
	Name     string  `json:"name"`
	Type     string  `json:"type"`
	Zone     string  `json:"zone"`
	Spot     bool    `json:"spot"`
	CPUs     float64 `json:"cpus"`
	UsedCPUs float64 `json:"usedCpus"`
	Tasks    int     `json:"tasks"`  // that are or may be there
	HeardS   float64 `json:"heardS"` // seconds since its last report
}

// Problem is the body of a refusal.
type Problem struct {
	Error string `json:"error"`
}

// Task is a task in a worker's report.
type Task struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	State   string `json:"stage"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"stored,omitempty"`
	Exit    *int   `json:"exitCode,omitempty"` // beyond the protocol: with which its process ended by itself
}

// Report is what a worker sends.
type Report struct {
	Machine  string   `json:"bench"`
	Endpoint string   `json:"endpoint"`
	Type     string   `json:"build"`
	Zone     string   `json:"yard"`
	Spot     bool     `json:"loaners"`
	Session  uint64   `json:"stint"`
	Seq      uint64   `json:"tally"`
	Token    uint64   `json:"baton"`
	NoticeS  *float64 `json:"warningS"`
	Tasks    []Task   `json:"pieces"`
}

// ParseReport reads a worker's report.
func ParseReport(body []byte) (*Report, error) {
	var r Report
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if r.Machine == "" || len(r.Machine) > maxName || r.Endpoint == "" || r.Type == "" || r.Zone == "" || r.Session == 0 {
		return nil, errors.New("report: field missing or invalid")
	}
	for _, t := range r.Tasks {
		if _, _, err := ParseTask(t.Task); err != nil {
			return nil, fmt.Errorf("report: %w", err)
		}
	}
	return &r, nil
}

// Command is an order to a worker.
type Command struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"windupS,omitempty"`
}

// ReportAnswer answers a report.
type ReportAnswer struct {
	Token    uint64    `json:"baton"`
	Commands []Command `json:"orders"`
}

// Orders is a direct message to a worker.
type Orders struct {
	Token    uint64    `json:"baton"`
	Session  uint64    `json:"stint"`
	Commands []Command `json:"orders"`
}

// ParseOrders reads a direct message; token and session must be there.
func ParseOrders(body []byte) (*Orders, error) {
	var o struct {
		Token    *uint64   `json:"baton"`
		Session  *uint64   `json:"stint"`
		Commands []Command `json:"orders"`
	}
	if err := json.Unmarshal(body, &o); err != nil {
		return nil, fmt.Errorf("orders: %w", err)
	}
	if o.Token == nil || o.Session == nil {
		return nil, errors.New("orders: baton or stint is missing")
	}
	return &Orders{Token: *o.Token, Session: *o.Session, Commands: o.Commands}, nil
}

// Redirect sends a worker to another node.
type Redirect struct {
	ReportTo string `json:"foreman,omitempty"`
}

// MachineType is a row of the cloud's price list.
type MachineType struct {
	Name        string   `json:"sku"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"memoryGb"`
	CacheGB     float64  `json:"cacheGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Price       float64  `json:"price"`
	SpotPrice   float64  `json:"marketPrice"`
	BootS       float64  `json:"readyS"`
	Zones       []string `json:"yards"`
}

// MachineTypes is the cloud's price list.
type MachineTypes struct {
	Types []MachineType `json:"builds"`
}

// HireRequest rents machines.
type HireRequest struct {
	Name   string `json:"hire"`
	Type   string `json:"build"`
	Zone   string `json:"yard"`
	Spot   bool   `json:"loaners"`
	Number int    `json:"number"`
}

// MachineNames is the answer to a rental and the body of a return.
type MachineNames struct {
	Machines []string `json:"benches"`
}

// ListedMachine is a row of the cloud's machine list.
type ListedMachine struct {
	Name     string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Type     string  `json:"build"`
	Zone     string  `json:"yard"`
	Spot     bool    `json:"loaners"`
	Stage    string  `json:"stage"`
	AgeS     float64 `json:"ageS"`
}

// MachineList is a page of the cloud's machine list.
type MachineList struct {
	Machines []ListedMachine `json:"benches"`
	More     bool            `json:"truncated"`
}

// Item is a key of the state service.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"permit"`
}

// Items is a page of keys.
type Items struct {
	Items    []Item `json:"rows"`
	More     bool   `json:"truncated"`
	Revision uint64 `json:"ledger"`
}

// Guard is a condition of a transaction; version 0: the key is absent.
type Guard struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Op is a change of a transaction.
type Op struct {
	Put    string `json:"set,omitempty"`
	Value  any    `json:"data,omitempty"`
	Lease  uint64 `json:"permit,omitempty"`
	Delete string `json:"drop,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	If   []Guard `json:"guards"`
	Then []Op    `json:"apply"`
}

// TxnAnswer answers a transaction.
type TxnAnswer struct {
	Revision uint64   `json:"ledger"`
	Failed   []string `json:"failed"`
}

// LeaseRequest asks for a lease; LeaseAnswer names it.
type LeaseRequest struct {
	TTLMs int64 `json:"lifeMs"`
}

// LeaseAnswer names a lease.
type LeaseAnswer struct {
	Lease uint64 `json:"permit"`
}

// Event is a change seen by a watch.
type Event struct {
	Put     string          `json:"set"`
	Delete  string          `json:"drop"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
}

// Events answers a watch.
type Events struct {
	Revision uint64  `json:"ledger"`
	Events   []Event `json:"log"`
}
