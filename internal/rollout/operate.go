package rollout

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/statestore"
)

// Start begins a roll-out, of a new service if it has replicas and a template.
func (m *Manager) Start(ctx context.Context, spec Spec) (*Run, error) {
	spec.Fill()
	if err := spec.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInput, err)
	}
	m.mu.Lock()
	if !m.synced {
		m.mu.Unlock()
		return nil, statestore.ErrUnavailable
	}
	running, replicas := 0, 0
	for _, e := range m.entries {
		replicas += e.svc.Replicas
		if e.run != nil && !e.run.Phase.Final() {
			running++
		}
	}
	e := m.entries[spec.Service]
	var svc Service
	var svcV, runV uint64
	id := 1
	if e != nil {
		svc, svcV, runV = e.svc, e.svcV, e.runV
		if e.run != nil {
			id = e.run.ID + 1
		}
	}
	active := e != nil && e.run != nil && !e.run.Phase.Final()
	services := len(m.entries)
	m.mu.Unlock()
	switch {
	case active:
		return nil, fmt.Errorf("%w: service: %s has a roll-out already", ErrInput, spec.Service)
	case running >= MaxRuns:
		return nil, fmt.Errorf("%w: %d roll-outs are under way, the most there may be", ErrInput, running)
	case svcV == 0 && spec.Replicas == 0:
		return nil, fmt.Errorf("%w: service: %s is unknown; a new one needs replicas", ErrInput, spec.Service)
	case svcV == 0 && services >= MaxServices:
		return nil, fmt.Errorf("%w: service: there are %d, the most there may be", ErrInput, services)
	case svcV == 0 && (spec.Replicas < 1 || replicas+spec.Replicas > MaxReplicas):
		return nil, fmt.Errorf("%w: replicas: %d, with %d of other services, is not within 1 and %d", ErrInput, spec.Replicas, replicas, MaxReplicas)
	case svcV != 0 && spec.Replicas != 0 && spec.Replicas != svc.Replicas:
		return nil, fmt.Errorf("%w: replicas: %s has %d, which a roll-out does not change", ErrInput, spec.Service, svc.Replicas)
	}
	if svcV == 0 {
		svc = Service{Name: spec.Service, Replicas: spec.Replicas, Template: spec.Template}
	}
	run, err := Plan(&svc, spec, id, time.Now())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInput, err)
	}
	// Batches are added as it goes on: half is kept for them.
	if data, err := json.Marshal(run); err != nil || len(data) > m.most/2 {
		return nil, fmt.Errorf("%w: to.desc: too large to be recorded, over %d bytes with the version before", ErrInput, m.most/2)
	}
	if err := m.write(ctx, spec.Service, &svc, svcV, run, runV); err != nil {
		return nil, err
	}
	return run, nil
}

// Order does what an operator says to a service's roll-out.
func (m *Manager) Order(ctx context.Context, service, verb string) (*Run, error) {
	for n := 0; ; n++ {
		m.mu.Lock()
		e := m.entries[service]
		if e == nil || e.run == nil {
			m.mu.Unlock()
			return nil, fmt.Errorf("%w: service: %s is unknown", ErrInput, service)
		}
		svc, svcV, runV := e.svc, e.svcV, e.runV
		run, err := e.run.clone()
		m.mu.Unlock()
		if err != nil {
			return nil, err
		}
		if err := Order(run, verb, time.Now()); err != nil {
			return nil, err
		}
		if verb == VerbResume {
			m.checks.forget(time.Now(), "j-svc-"+service+"-")
		}
		err = m.write(ctx, service, &svc, svcV, run, runV)
		var conflict *statestore.Conflict
		if errors.As(err, &conflict) && n < 5 {
			// The leader went on meanwhile; its record comes with the watch.
			statestore.Backoff(ctx, n, 50*time.Millisecond, 500*time.Millisecond)
			continue
		}
		return run, err
	}
}
