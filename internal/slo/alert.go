// Package slo tells on-call when a job of a class waits past its aim or
// misses its deadline: once per occurrence, with a plain message that support
// or sales can pass on, and a clear when it is over.
package slo

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/scheduler"
)

const (
	every    = time.Second
	keepPast = 200
)

// Jobs gives the living jobs.
type Jobs interface{ JobStatuses() []scheduler.JobStatus }

// Alert is one occurrence.
type Alert struct {
	Job     string     `json:"job"`
	Class   string     `json:"class"`
	Aim     string     `json:"aim"`
	Page    string     `json:"page"`    // for on-call
	Message string     `json:"message"` // for support and sales to pass on
	Since   time.Time  `json:"since"`
	Cleared *time.Time `json:"cleared,omitempty"`
}

// Monitor watches the living jobs.
type Monitor struct {
	aims []config.Objective
	jobs Jobs
	log  *slog.Logger

	mu   sync.Mutex
	open map[occurrence]*Alert
	past []Alert
	seen map[string]scheduler.JobStatus
	wait *hdrhistogram.Histogram // ms from submission to the last start
	late *hdrhistogram.Histogram // ms past the deadline at the end
}

// New returns alerts for the users' aims.
func New(aims []config.Objective, jobs Jobs, log *slog.Logger) *Monitor {
	return &Monitor{aims: aims, jobs: jobs, log: log, open: map[occurrence]*Alert{}, seen: map[string]scheduler.JobStatus{},
		wait: hdrhistogram.New(1, 3_600_000, 2), late: hdrhistogram.New(1, 3_600_000, 2)}
}

// Run looks at the jobs until ctx ends.
func (a *Monitor) Run(ctx context.Context) error {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			a.look(time.Now())
		}
	}
}

// breached reports whether a job misses an aim now.
func breached(aim *config.Objective, s *scheduler.JobStatus) bool {
	age := s.Age.Seconds()
	switch {
	case s.Cancelled || aim.Class != s.Class:
		return false
	case aim.Kind == "wait":
		return s.Started < s.Tasks && age > aim.WithinS
	case aim.Kind == "finished":
		return age > aim.WithinS
	case aim.Kind == "deadline":
		return s.DueS != nil && age > *s.DueS*max(aim.Times, 1)
	}
	return false
}

// describe says how a job misses an aim, to on-call and to pass on.
func describe(aim *config.Objective, s *scheduler.JobStatus) (page, message string) {
	age := s.Age.Seconds()
	switch aim.Kind {
	case "wait":
		return fmt.Sprintf("%d of %d tasks not started after %.0f s (aim %.0f s)", s.Tasks-s.Started, s.Tasks, age, aim.WithinS),
			fmt.Sprintf("Work of kind %q is starting later than usual. It is safe and will run; results may come late.", s.Class)
	case "finished":
		return fmt.Sprintf("%d of %d tasks done after %.0f s (aim %.0f s)", s.Done, s.Tasks, age, aim.WithinS),
			fmt.Sprintf("Results of kind %q are later than usual. Figures seen before they arrive may be out of date.", s.Class)
	default:
		return fmt.Sprintf("%d of %d tasks done %.0f s past the deadline", s.Done, s.Tasks, age-*s.DueS),
			fmt.Sprintf("Results of kind %q have missed their time. They are still being worked on.", s.Class)
	}
}

// occurrence names a job and the aim that it misses.
type occurrence struct {
	uid string
	aim int
}

func (a *Monitor) look(now time.Time) {
	list := a.jobs.JobStatuses()
	a.mu.Lock()
	defer a.mu.Unlock()
	live := make(map[string]scheduler.JobStatus, len(list))
	standing := map[occurrence]bool{}
	for k := range list {
		s := &list[k]
		live[s.UID] = *s
		if old := a.seen[s.UID]; old.Started < s.Tasks && s.Started >= s.Tasks {
			_ = a.wait.RecordValue(max(1, s.Age.Milliseconds())) // beyond an hour it is not counted
		}
		for i := range a.aims {
			aim := &a.aims[i]
			if !breached(aim, s) {
				continue
			}
			key := occurrence{s.UID, i}
			standing[key] = true
			if a.open[key] == nil {
				// The words are made once, not at every look.
				page, message := describe(aim, s)
				a.open[key] = &Alert{Job: s.UID, Class: s.Class, Aim: aim.Kind, Page: page, Message: message, Since: now}
				a.log.Warn("aim missed", "job", s.UID, "class", s.Class, "aim", aim.Kind, "page", page, "message", message)
			}
		}
	}
	for uid, s := range a.seen {
		if _, ok := live[uid]; !ok && s.DueS != nil && !s.Cancelled {
			if late := s.Age.Seconds() - *s.DueS; late > 0 {
				_ = a.late.RecordValue(int64(late * 1000)) // beyond an hour it is not counted
			}
		}
	}
	a.seen = live
	for key, al := range a.open {
		if standing[key] {
			continue
		}
		delete(a.open, key)
		al.Cleared = &now
		a.past = append(a.past, *al)
		a.past = a.past[max(0, len(a.past)-keepPast):]
		a.log.Info("aim missed: over", "job", al.Job, "class", al.Class, "aim", al.Aim, "after_s", now.Sub(al.Since).Seconds())
	}
}

// Register adds the operators' paths.
func (a *Monitor) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /ops/alerts", func(w http.ResponseWriter, _ *http.Request) {
		a.mu.Lock()
		open := make([]Alert, 0, len(a.open))
		for _, al := range a.open {
			open = append(open, *al)
		}
		past := append([]Alert{}, a.past...)
		a.mu.Unlock()
		sort.Slice(open, func(i, j int) bool { return open[i].Since.Before(open[j].Since) })
		httpjson.Write(w, http.StatusOK, map[string]any{"open": open, "past": past})
	})
}

// Stats returns quantiles of how late starts and ends were.
func (a *Monitor) Stats() map[string]any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return map[string]any{"wait_ms": quantiles(a.wait), "late_ms": quantiles(a.late)}
}

func quantiles(h *hdrhistogram.Histogram) map[string]int64 {
	return map[string]int64{"count": h.TotalCount(), "p50": h.ValueAtQuantile(50), "p95": h.ValueAtQuantile(95), "p99": h.ValueAtQuantile(99), "max": h.Max()}
}
