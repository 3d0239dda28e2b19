// Package slo watches the living jobs for missed service-level objectives. It raises one
// alert for each objective that a job misses, with a message that support or sales can pass
// on, clears it once that is over, and keeps quantiles of how late starts and ends were. All
// of it is of the jobs that this controller leads, in memory, and lost with the process. It
// changes nothing about the jobs.
package slo

import (
	"context"
	"log/slog"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/scheduler"
)

const (
	checkInterval    = time.Second
	maxClearedAlerts = 200              // cleared alerts that are kept, the latest
	maxRecordedMs    = int64(3_600_000) // longer times are not counted
)

// Jobs gives the living jobs.
type Jobs interface{ JobStatuses() []scheduler.JobStatus }

// Alert is one objective that one job misses, or missed.
type Alert struct {
	Job           string     `json:"job"`
	Class         string     `json:"class"`
	ObjectiveKind string     `json:"aim"`     // kind of the objective
	Page          string     `json:"page"`    // for on-call
	Message       string     `json:"message"` // for support and sales to pass on
	Since         time.Time  `json:"since"`
	Cleared       *time.Time `json:"cleared,omitempty"` // nil: it is still missed
}

// alertKey names a job and an objective, by its index, that it misses.
type alertKey struct {
	uid       string
	objective int
}

// Monitor watches the living jobs. Its methods may be called concurrently.
type Monitor struct {
	objectives []config.Objective
	jobs       Jobs
	log        *slog.Logger

	mu           sync.Mutex
	open         map[alertKey]*Alert
	cleared      []Alert                        // in the order in which they were
	lastStatuses map[string]scheduler.JobStatus // the jobs as of the last check, by uid
	waitMs       *hdrhistogram.Histogram        // from a job's submission to its last task's start
	lateMs       *hdrhistogram.Histogram        // of jobs that ended past their deadline, by how much
}

// New returns a monitor of the objectives. It checks nothing until Run.
func New(objectives []config.Objective, jobs Jobs, log *slog.Logger) *Monitor {
	return &Monitor{
		objectives: objectives, jobs: jobs, log: log,
		open: map[alertKey]*Alert{}, lastStatuses: map[string]scheduler.JobStatus{},
		waitMs: hdrhistogram.New(1, maxRecordedMs, 2), lateMs: hdrhistogram.New(1, maxRecordedMs, 2),
	}
}

// Run checks the jobs every checkInterval until ctx ends, and returns its error.
func (m *Monitor) Run(ctx context.Context) error {
	return periodic.Run(ctx, checkInterval, func() { m.check(time.Now()) })
}

// check compares the living jobs with the objectives, and with what they were at the last
// check.
func (m *Monitor) check(now time.Time) {
	jobs := m.jobs.JobStatuses()
	m.mu.Lock()
	defer m.mu.Unlock()
	living := make(map[string]scheduler.JobStatus, len(jobs))
	stillMissed := map[alertKey]bool{}
	for i := range jobs {
		job := &jobs[i]
		living[job.UID] = *job
		if last := m.lastStatuses[job.UID]; last.Started < job.Tasks && job.Started >= job.Tasks {
			_ = m.waitMs.RecordValue(max(1, job.Age.Milliseconds())) // above longestMs it is not counted
		}
		m.raiseAlerts(job, now, stillMissed)
	}
	m.countLate(living)
	m.lastStatuses = living
	m.clearAlerts(now, stillMissed)
}

// raiseAlerts raises an alert for each objective that the job misses and has none for, and
// adds all that it misses to stillMissed.
func (m *Monitor) raiseAlerts(job *scheduler.JobStatus, now time.Time, stillMissed map[alertKey]bool) {
	for i := range m.objectives {
		objective := &m.objectives[i]
		if !missed(objective, job) {
			continue
		}
		key := alertKey{job.UID, i}
		stillMissed[key] = true
		if m.open[key] != nil {
			continue
		}
		page, message := describe(objective, job)
		m.open[key] = &Alert{Job: job.UID, Class: job.Class, ObjectiveKind: objective.Kind, Page: page, Message: message, Since: now}
		m.log.Warn("aim missed", "job", job.UID, "class", job.Class, "aim", objective.Kind, "page", page, "message", message)
	}
}

// countLate counts the jobs that ended since the last check past their deadline.
func (m *Monitor) countLate(living map[string]scheduler.JobStatus) {
	for uid, job := range m.lastStatuses {
		if _, ok := living[uid]; ok || job.DueS == nil || job.Cancelled {
			continue
		}
		if lateS := job.Age.Seconds() - *job.DueS; lateS > 0 {
			_ = m.lateMs.RecordValue(int64(lateS * 1000)) // above longestMs it is not counted
		}
	}
}

// clearAlerts clears the alerts of what is not missed any more.
func (m *Monitor) clearAlerts(now time.Time, stillMissed map[alertKey]bool) {
	for key, alert := range m.open {
		if stillMissed[key] {
			continue
		}
		delete(m.open, key)
		alert.Cleared = &now
		m.cleared = append(m.cleared, *alert)
		m.cleared = m.cleared[max(0, len(m.cleared)-maxClearedAlerts):]
		m.log.Info("aim missed: over", "job", alert.Job, "class", alert.Class, "aim", alert.ObjectiveKind, "after_s", now.Sub(alert.Since).Seconds())
	}
}

// alertsResponse is the response of GET /ops/alerts.
type alertsResponse struct {
	Open []Alert `json:"open"` // earliest first
	Past []Alert `json:"past"` // cleared ones, earliest first
}

// Register adds the operators' path GET /ops/alerts.
func (m *Monitor) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /ops/alerts", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, m.alerts())
	})
}

// alerts copies the open and the cleared alerts.
func (m *Monitor) alerts() alertsResponse {
	m.mu.Lock()
	open := make([]Alert, 0, len(m.open))
	for _, alert := range m.open {
		open = append(open, *alert)
	}
	cleared := append([]Alert{}, m.cleared...)
	m.mu.Unlock()
	sort.Slice(open, func(i, j int) bool { return open[i].Since.Before(open[j].Since) })
	return alertsResponse{Open: open, Past: cleared}
}

// quantiles describes a histogram, in its unit.
type quantiles struct {
	Count int64 `json:"count"`
	Max   int64 `json:"max"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
}

// Stats returns, for the operators' statistics, quantiles of the milliseconds from jobs'
// submissions to their last starts ("wait_ms"), and from deadlines to ends past them
// ("late_ms"), each since this process began. The map is the caller's.
func (m *Monitor) Stats() map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return map[string]any{"wait_ms": quantilesOf(m.waitMs), "late_ms": quantilesOf(m.lateMs)}
}

// quantilesOf reads the quantiles of a histogram.
func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	return quantiles{
		Count: h.TotalCount(), Max: h.Max(),
		P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99),
	}
}
