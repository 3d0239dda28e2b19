package rollout

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/statestore"
)

const (
	maxVerbRetries = 5
	minVerbBackoff = 50 * time.Millisecond
	maxVerbBackoff = 500 * time.Millisecond
)

// Start records a new roll-out. If the service is unknown, it is created from the spec's number of
// replicas and template. Start fails with ErrInput if the spec is invalid, the service has an active
// roll-out, a limit is exceeded or the record would be too large. It fails with
// statestore.ErrUnavailable until the records have been read, or with the state service's error.
func (m *Manager) Start(ctx context.Context, spec Spec) (*Run, error) {
	spec.SetDefaults()
	if err := spec.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInput, err)
	}
	e, usage, err := m.snapshot(spec.Service)
	if err != nil {
		return nil, err
	}
	if e.serviceVersion == 0 {
		err = checkNewService(&spec, usage)
	} else {
		err = checkService(&spec, &e.service)
	}
	switch {
	case e.active():
		return nil, fmt.Errorf("%w: service: %s has a roll-out already", ErrInput, spec.Service)
	case usage.runs >= MaxRuns:
		return nil, fmt.Errorf("%w: %d roll-outs are under way, the most there may be", ErrInput, usage.runs)
	case err != nil:
		return nil, err
	}
	if e.serviceVersion == 0 {
		e.service = Service{Name: spec.Service, Replicas: spec.Replicas, Template: spec.Template}
	}
	id := 1
	if e.run != nil {
		id = e.run.ID + 1
	}
	e.run, err = Plan(&e.service, spec, id, time.Now())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInput, err)
	}
	// Later steps add batches to the record: half of the maximum size is reserved for them.
	if data, err := json.Marshal(e.run); err != nil || len(data) > m.maxRecord/2 {
		return nil, fmt.Errorf("%w: to.desc: too large to be recorded, over %d bytes with the version before", ErrInput, m.maxRecord/2)
	}
	if err := m.write(ctx, spec.Service, &e); err != nil {
		return nil, err
	}
	return e.run, nil
}

// usage holds the numbers of services and of active roll-outs, and the total number of replicas of
// all services. They are compared with MaxServices, MaxRuns and MaxReplicas.
type usage struct {
	services, runs, replicas int
}

// snapshot returns a copy of a service's entry, which is empty if the service is unknown, and the
// usage of all services.
func (m *Manager) snapshot(service string) (entry, usage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced {
		return entry{}, usage{}, statestore.ErrUnavailable
	}
	u := usage{services: len(m.entries)}
	for _, e := range m.entries {
		u.replicas += e.service.Replicas
		if e.active() {
			u.runs++
		}
	}
	if e := m.entries[service]; e != nil {
		return *e, u, nil
	}
	return entry{}, u, nil
}

// checkNewService checks that a new service has replicas and does not exceed MaxServices or
// MaxReplicas.
func checkNewService(spec *Spec, u usage) error {
	switch {
	case spec.Replicas == 0:
		return fmt.Errorf("%w: service: %s is unknown; a new one needs replicas", ErrInput, spec.Service)
	case u.services >= MaxServices:
		return fmt.Errorf("%w: service: there are %d, the most there may be", ErrInput, u.services)
	case spec.Replicas < 1 || u.replicas+spec.Replicas > MaxReplicas:
		return fmt.Errorf("%w: replicas: %d, with %d of other services, is not within 1 and %d", ErrInput, spec.Replicas, u.replicas, MaxReplicas)
	}
	return nil
}

// checkService checks that a spec does not change the number of replicas of an existing service.
func checkService(spec *Spec, service *Service) error {
	if spec.Replicas != 0 && spec.Replicas != service.Replicas {
		return fmt.Errorf("%w: replicas: %s has %d, which a roll-out does not change", ErrInput, spec.Service, service.Replicas)
	}
	return nil
}

// ApplyVerb applies an operator's verb to a service's roll-out and returns the new state. It fails
// with ErrInput if the service has no roll-out or the verb is unknown or not allowed in the present
// phase, or with the state service's error. It retries up to maxVerbRetries times after a conflict.
func (m *Manager) ApplyVerb(ctx context.Context, service, verb string) (*Run, error) {
	for attempt := 0; ; attempt++ {
		run, err := m.applyVerb(ctx, service, verb)
		var conflict *statestore.ConflictError
		if !errors.As(err, &conflict) || attempt == maxVerbRetries {
			return run, err
		}
		// The leader wrote a newer record, which arrives by the watch.
		statestore.Backoff(ctx, attempt, minVerbBackoff, maxVerbBackoff)
	}
}

func (m *Manager) applyVerb(ctx context.Context, name, verb string) (*Run, error) {
	m.mu.Lock()
	e := m.entries[name]
	if e == nil || e.run == nil {
		m.mu.Unlock()
		return nil, fmt.Errorf("%w: service: %s is unknown", ErrInput, name)
	}
	next, err := e.clone()
	m.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err := ApplyVerb(next.run, verb, time.Now()); err != nil {
		return nil, err
	}
	if verb == VerbResume {
		m.checks.removeStale(time.Now(), "j-svc-"+name+"-")
	}
	return next.run, m.write(ctx, name, &next)
}
