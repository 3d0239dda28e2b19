package rollout

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/goccy/go-json"
)

// ReservedCPUs is the capacity, in CPUs, that the old versions' replicas of unfinished roll-outs had
// and have given up: it is reserved until the roll-out has ended, so that a roll-back finds
// room at once.
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

// Status is a service as operators see it.
type Status struct {
	Service Service              `json:"service"`
	Run     *Run                 `json:"run,omitempty"`
	Jobs    map[string]JobStatus `json:"jobs,omitempty"` // as the leader last observed them; else empty
}

// Statuses returns the recorded services, sorted by name. Their runs must not be changed.
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

// History reads a service's ended roll-outs from the state service, oldest first.
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
