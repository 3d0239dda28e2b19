// Package slo monitors the living jobs for missed service-level objectives. It raises one alert
// for each objective that a job misses, with a message that support or sales can pass on, and
// clears the alert when the objective is no longer missed. It also records quantiles of how late
// jobs started and ended. It covers the jobs that this controller leads, holds its state in
// memory only, and does not change the jobs.
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
	maxClearedAlerts = 200              // most recent cleared alerts that are retained
	maxRecordedMs    = int64(3_600_000) // longer durations are not recorded
)

// Jobs provides the living jobs.
type Jobs interface{ JobStatuses() []scheduler.JobStatus }

// Alert is an objective that a job misses or has missed.
type Alert struct {
	Job           string     `json:"job"`
	Class         string     `json:"class"`
	ObjectiveKind string     `json:"aim"`     // see config.Objective
	Page          string     `json:"page"`    // for on-call
	Message       string     `json:"message"` // for support and sales to pass on
	Since         time.Time  `json:"since"`
	Cleared       *time.Time `json:"cleared,omitempty"` // nil while the objective is missed
}

// alertKey identifies an alert by the job and the index of the objective.
type alertKey struct {
	uid       string
	objective int
}

// Monitor monitors the living jobs. It is safe for concurrent use.
type Monitor struct {
	objectives []config.Objective
	jobs       Jobs
	log        *slog.Logger

	mu           sync.Mutex
	open         map[alertKey]*Alert
	cleared      []Alert                        // in the order in which they were cleared
	lastStatuses map[string]scheduler.JobStatus // statuses at the last check, by UID
	waitMs       *hdrhistogram.Histogram        // time from a job's submission to the start of its last task
	lateMs       *hdrhistogram.Histogram        // by how much jobs ended past their deadlines
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

// check compares the living jobs with the objectives and with their statuses at the last check.
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
			_ = m.waitMs.RecordValue(max(1, job.Age.Milliseconds())) // an error means that the value exceeds maxRecordedMs
		}
		m.raiseAlerts(job, now, stillMissed)
	}
	m.recordLateness(living)
	m.lastStatuses = living
	m.clearAlerts(now, stillMissed)
}

// raiseAlerts raises an alert for each missed objective of a job, unless one is open already, and
// adds all missed objectives to stillMissed.
func (m *Monitor) raiseAlerts(job *scheduler.JobStatus, now time.Time, stillMissed map[alertKey]bool) {
	for i := range m.objectives {
		objective := &m.objectives[i]
		if !isMissed(objective, job) {
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

// recordLateness records the lateness of jobs that ended past their deadlines since the last check,
// except cancelled jobs.
func (m *Monitor) recordLateness(living map[string]scheduler.JobStatus) {
	for uid, job := range m.lastStatuses {
		if _, ok := living[uid]; ok || job.DueS == nil || job.Cancelled {
			continue
		}
		if lateS := job.Age.Seconds() - *job.DueS; lateS > 0 {
			_ = m.lateMs.RecordValue(int64(lateS * 1000)) // an error means that the value exceeds maxRecordedMs
		}
	}
}

// clearAlerts clears the open alerts that are not in stillMissed, including those of jobs that have
// ended.
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

// Register registers the operators' path GET /ops/alerts.
func (m *Monitor) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /ops/alerts", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, m.alerts())
	})
}

// alerts returns copies of the open and the cleared alerts.
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

// quantiles summarizes a histogram, in the unit of its values.
type quantiles struct {
	Count int64 `json:"count"`
	Max   int64 `json:"max"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
}

// Stats returns quantiles, in milliseconds, since this process began, for the operators'
// statistics. "wait_ms" is the time from a job's submission to the start of its last task.
// "late_ms" is the time by which jobs ended past their deadlines. The caller owns the map.
func (m *Monitor) Stats() map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return map[string]any{"wait_ms": quantilesOf(m.waitMs), "late_ms": quantilesOf(m.lateMs)}
}

// quantilesOf returns the quantiles of a histogram.
func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	return quantiles{
		Count: h.TotalCount(), Max: h.Max(),
		P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99),
	}
}
