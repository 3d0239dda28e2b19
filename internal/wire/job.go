package wire

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-json"
)

// priorityRanks maps priority names to ranks.
var priorityRanks = map[string]int{"low": 0, "normal": 1, "urgent": 2, "production": 3}

// Job is a submission, stored in the form in which it was sent. CPUs, GPUs and MemoryGB are per task.
type Job struct {
	UID                 string   `json:"uid"`
	Class               string   `json:"docket"`
	Team                string   `json:"crew"`
	Kind                string   `json:"sort"`
	Priority            string   `json:"urgency"`
	Tasks               int      `json:"pieces"`
	CPUs                float64  `json:"cpus"`
	GPUs                float64  `json:"cards"`
	MemoryGB            float64  `json:"memoryGb"`
	Image               string   `json:"kit"`
	ImageGB             float64  `json:"pullGb"`
	Types               []string `json:"builds,omitempty"`   // nil: any machine type
	Zone                *string  `json:"yard,omitempty"`     // nil: any zone
	OneZone             bool     `json:"together,omitempty"` // all tasks in the same zone
	Spread              bool     `json:"apart,omitempty"`    // place at most half of the tasks, rounded up, in one zone
	Spot                bool     `json:"loaners,omitempty"`  // spot machines are allowed
	EstimateS           float64  `json:"reckonS"`            // estimated run time of a task, in seconds
	CheckpointIntervalS float64  `json:"markS,omitempty"`    // seconds between checkpoints; 0: no checkpoints
	CheckpointSaveS     float64  `json:"stashS,omitempty"`   // seconds needed to save a checkpoint when a task is stopped
	DueS                *float64 `json:"dueS,omitempty"`     // deadline in seconds after the submission; nil: none
}

// Rank returns the job's priority as a number; jobs with a higher rank are scheduled first.
func (j *Job) Rank() int { return priorityRanks[j.Priority] }

// Service reports whether the job's tasks run until it is cancelled.
func (j *Job) Service() bool { return j.Kind == KindService }

// Gang reports whether the job's tasks must all run at the same time.
func (j *Job) Gang() bool { return j.Kind == KindGang }

// AllowsMachine reports whether the job's requirements for zone, machine type and spot machines
// admit a machine, regardless of resources and of where the job's other tasks run.
func (j *Job) AllowsMachine(machineType, zone string, spot bool) bool {
	if spot && !j.Spot || j.Zone != nil && *j.Zone != zone {
		return false
	}
	return j.Types == nil || slices.Contains(j.Types, machineType)
}

// HasZoneRule reports whether the zones of some of the job's tasks restrict those of the others.
func (j *Job) HasZoneRule() bool { return (j.OneZone || j.Spread) && j.Tasks > 1 }

// MaxSpreadTasks returns how many tasks may run in one zone if the job is spread over zones.
func (j *Job) MaxSpreadTasks() int { return (j.Tasks + 1) / 2 }

// decodedJob holds the fields of a submission before validation; nil: missing, null or of a wrong type.
type decodedJob struct {
	UID, Class, Team, Kind, Priority, Image, Zone                                     *string
	Tasks                                                                             *int
	CPUs, GPUs, MemoryGB, ImageGB, Estimate, CheckpointInterval, CheckpointSave, DueS *float64
	OneZone, Spread, Spot                                                             *bool
	Types                                                                             *[]string
}

// decode reads the fields of a JSON object and returns an error for the first field of a wrong
// type. It decodes the remaining fields regardless, because a repeated submission is recognized by
// its id even if other fields are invalid. Field names must match exactly: JSON libraries that
// decode into a struct ignore case, so "CPUS" would be accepted for a missing "cpus".
func (m *decodedJob) decode(given map[string]json.RawMessage) error {
	var bad error
	for _, field := range []struct {
		name   string
		target any
	}{
		{"uid", &m.UID},
		{"docket", &m.Class},
		{"crew", &m.Team},
		{"sort", &m.Kind},
		{"urgency", &m.Priority},
		{"pieces", &m.Tasks},
		{"cpus", &m.CPUs},
		{"cards", &m.GPUs},
		{"memoryGb", &m.MemoryGB},
		{"kit", &m.Image},
		{"pullGb", &m.ImageGB},
		{"builds", &m.Types},
		{"yard", &m.Zone},
		{"together", &m.OneZone},
		{"apart", &m.Spread},
		{"loaners", &m.Spot},
		{"reckonS", &m.Estimate},
		{"markS", &m.CheckpointInterval},
		{"stashS", &m.CheckpointSave},
		{"dueS", &m.DueS},
	} {
		value, ok := given[field.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(value, field.target); err != nil && bad == nil {
			bad = fmt.Errorf("%s: of a wrong type", field.name)
		}
	}
	return bad
}

const (
	maxAmount       = 1e9 // upper bound for resources and seconds, so that sums stay exact
	maxNameBytes    = 120 // limit for every name in a job, so that the job's record fits into a value of the state service
	maxMachineTypes = 16  // machine types that a job may list
)

// ParseJob parses and validates a submission. If the body is not a JSON object, it returns a nil
// job. If a field is invalid, the error starts with the field's name, and the job is returned as
// well, because the caller may know its id from an earlier submission.
func ParseJob(body []byte) (*Job, error) {
	trimmed := strings.TrimLeft(string(body), " \t\r\n")
	if !strings.HasPrefix(trimmed, "{") {
		return nil, errors.New("body is not a JSON object")
	}
	var given map[string]json.RawMessage
	if err := json.Unmarshal(body, &given); err != nil {
		return nil, fmt.Errorf("body is not a valid job: %w", err)
	}
	var m decodedJob
	c := fieldCheck{err: m.decode(given)}
	job := &Job{
		UID: c.name("uid", m.UID), Class: c.name("docket", m.Class), Team: c.name("crew", m.Team),
		Kind: c.name("sort", m.Kind), Priority: c.name("urgency", m.Priority),
		CPUs: c.positive("cpus", m.CPUs), GPUs: c.amount("cards", m.GPUs), MemoryGB: c.amount("memoryGb", m.MemoryGB),
		Image: c.name("kit", m.Image), ImageGB: c.amount("pullGb", m.ImageGB),
		OneZone: c.flag("together", m.OneZone), Spread: c.flag("apart", m.Spread), Spot: c.flag("loaners", m.Spot),
		EstimateS: c.amount("reckonS", m.Estimate), CheckpointIntervalS: c.amount("markS", m.CheckpointInterval), CheckpointSaveS: c.amount("stashS", m.CheckpointSave),
		Zone: m.Zone, DueS: m.DueS,
	}
	if m.UID != nil && !ValidJobID(job.UID) {
		c.fail("uid", "not a job id")
	}
	if job.Kind != KindArray && job.Kind != KindService && job.Kind != KindGang {
		c.fail("sort", "unknown")
	}
	if _, ok := priorityRanks[job.Priority]; !ok {
		c.fail("urgency", "unknown")
	}
	job.Tasks = c.tasks(m.Tasks)
	if m.Types != nil {
		job.Types = c.types(*m.Types)
	}
	if m.Zone != nil {
		c.name("yard", m.Zone)
	}
	if m.DueS != nil {
		c.amount("dueS", m.DueS)
	}
	return job, c.err
}

// fieldCheck validates the fields of a submission and holds the first error.
type fieldCheck struct{ err error }

func (c *fieldCheck) fail(field, reason string) {
	if c.err == nil {
		c.err = fmt.Errorf("%s: %s", field, reason)
	}
}

func (c *fieldCheck) name(field string, value *string) string {
	if value == nil {
		c.fail(field, "missing")
		return ""
	}
	if *value == "" || len(*value) > maxNameBytes {
		c.fail(field, "empty or too long")
	}
	return *value
}

func (c *fieldCheck) amount(field string, value *float64) float64 {
	if value == nil {
		c.fail(field, "missing")
		return 0
	}
	if math.IsNaN(*value) || *value < 0 || *value > maxAmount {
		c.fail(field, "out of range")
	}
	return *value
}

func (c *fieldCheck) positive(field string, value *float64) float64 {
	amount := c.amount(field, value)
	if value != nil && amount == 0 {
		c.fail(field, "out of range")
	}
	return amount
}

func (c *fieldCheck) flag(field string, value *bool) bool {
	if value == nil {
		c.fail(field, "missing")
		return false
	}
	return *value
}

func (c *fieldCheck) tasks(value *int) int {
	if value == nil {
		c.fail("pieces", "missing")
		return 0
	}
	if *value < 1 || *value > MaxTasksPerJob {
		c.fail("pieces", "out of range")
	}
	return *value
}

func (c *fieldCheck) types(types []string) []string {
	if len(types) == 0 || len(types) > maxMachineTypes {
		c.fail("builds", "empty or too long")
	}
	for i := range types {
		c.name("builds", &types[i])
	}
	return types
}

// maxIDSuffixBytes limits the length of a job id without its prefix, in bytes.
const maxIDSuffixBytes = 40

// ValidJobID reports whether id has the form of a job id: "j-", followed by 1 to maxIDSuffixBytes
// ASCII letters, digits, '-' or '_'.
func ValidJobID(id string) bool {
	suffix, ok := strings.CutPrefix(id, "j-")
	if !ok || suffix == "" || len(suffix) > maxIDSuffixBytes {
		return false
	}
	for _, c := range suffix {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c == '-', c == '_':
		default:
			return false
		}
	}
	return true
}

// TaskName returns the name of task n of a job.
func TaskName(job string, n int) string { return job + "/" + strconv.Itoa(n) }

// ParseTask splits a task's name into the job's id and the task's number, and validates both.
func ParseTask(name string) (job string, n int, err error) {
	job, number, ok := strings.Cut(name, "/")
	n, err = strconv.Atoi(number)
	if !ok || err != nil || n < 0 || n >= MaxTasksPerJob || !ValidJobID(job) {
		return "", 0, fmt.Errorf("not a task name: %.60q", name)
	}
	return job, n, nil
}
