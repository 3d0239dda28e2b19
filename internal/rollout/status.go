package rollout

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-json"
)

// Held is the capacity, in CPUs, that the old versions' replicas of unfinished
// roll-outs had and have given up: it is kept until the new ones have passed, so
// that a restore finds room at once.
func (m *Manager) Held() (cpus float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.entries {
		if r := e.run; r != nil && !r.Phase.Final() && r.From.Name != "" {
			cpus += float64(max(0, e.svc.Replicas-total(r.Old))) * r.From.Desc.CPUs
		}
	}
	return cpus
}

// Status is a service as operators see it.
type Status struct {
	Service Service            `json:"service"`
	Run     *Run               `json:"run,omitempty"`
	Jobs    map[string]JobSeen `json:"jobs,omitempty"` // as the leading controller last saw them
}

// Statuses returns the services, by name.
func (m *Manager) Statuses() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []Status{}
	for _, e := range m.entries {
		if e.svcV != 0 {
			jobs := make(map[string]JobSeen, len(e.seen))
			for k, v := range e.seen {
				jobs[k] = v
			}
			out = append(out, Status{e.svc, e.run, jobs})
		}
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Service.Name, b.Service.Name) })
	return out
}

// History returns a service's ended roll-outs, oldest first.
func (m *Manager) History(ctx context.Context, service string) ([]Run, error) {
	items, _, err := m.store.List(ctx, pastKey+service+"/")
	if err != nil {
		return nil, err
	}
	out := make([]Run, 0, len(items))
	for _, it := range items {
		var r Run
		if err := json.Unmarshal(it.Value, &r); err != nil {
			return nil, fmt.Errorf("record %s: %w", it.Key, err)
		}
		out = append(out, r)
	}
	return out, nil
}
