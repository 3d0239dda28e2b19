package rollout

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/goccy/go-json"
)

// ReservedCPUs returns the number of CPUs that the old replicas retired by unfinished roll-outs used.
// These CPUs remain reserved until the roll-out has ended, so that a roll-back can place its
// replicas immediately.
func (m *Manager) ReservedCPUs() (cpus float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.entries {
		if e.active() && e.run.From.Name != "" {
			cpus += float64(max(0, e.service.Replicas-countReplicas(e.run.Old))) * e.run.From.Desc.CPUs
		}
	}
	return cpus
}

// Status is the state of a service that operators read.
type Status struct {
	Service Service              `json:"service"`
	Run     *Run                 `json:"run,omitempty"`
	Jobs    map[string]JobStatus `json:"jobs,omitempty"` // last observations of this controller as the leader; empty if there are none
}

// Statuses returns the recorded services, sorted by name. Callers must not modify their runs.
func (m *Manager) Statuses() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []Status{}
	for _, e := range m.entries {
		if e.serviceVersion != 0 {
			jobs := make(map[string]JobStatus, len(e.jobs))
			maps.Copy(jobs, e.jobs)
			out = append(out, Status{e.service, e.run, jobs})
		}
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Service.Name, b.Service.Name) })
	return out
}

// History reads the ended roll-outs of a service from the state service, oldest first.
func (m *Manager) History(ctx context.Context, service string) ([]Run, error) {
	items, _, err := m.store.List(ctx, historyKey+service+"/")
	if err != nil {
		return nil, err
	}
	out := make([]Run, 0, len(items))
	for _, item := range items {
		var run Run
		if err := json.Unmarshal(item.Value, &run); err != nil {
			return nil, fmt.Errorf("record %s: %w", item.Key, err)
		}
		out = append(out, run)
	}
	return out, nil
}
