package rollout

import (
	"context"
	"fmt"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// drive does what the recorded state of one roll-out asks for, looks, and records
// what follows. Checks go on for as long as life does.
func (m *Manager) drive(ctx, life context.Context, name string, lead wire.Guard, blocked string) error {
	m.mu.Lock()
	e := m.entries[name]
	svc, svcV, runV := e.svc, e.svcV, e.runV
	run, err := e.run.clone()
	m.mu.Unlock()
	if err != nil {
		return err
	}
	submit, drop := Wanted(run)
	for _, b := range submit {
		if err := m.submit(ctx, e, &svc, run, b, lead, wire.Guard{Key: runKey + name, Version: runV}); err != nil {
			return err
		}
	}
	for _, b := range drop {
		if err := m.drop(ctx, e, b); err != nil {
			return err
		}
	}
	now := time.Now()
	seen := &Seen{Jobs: map[string]JobSeen{}, Blocked: blocked}
	for _, b := range submit {
		seen.Jobs[b.UID] = m.checks.look(life, now, m.core.Replicas(b.UID), run.Spec.Check)
	}
	m.mu.Lock()
	for _, b := range drop {
		seen.Jobs[b.UID] = JobSeen{Gone: e.dropped[b.UID]}
	}
	e.seen = seen.Jobs
	m.mu.Unlock()
	was := run.Phase
	if !Next(&svc, run, seen, now) {
		return nil
	}
	if err := m.write(ctx, name, &svc, svcV, run, runV, lead); err != nil {
		return err
	}
	m.log.Info("roll-out", "service", name, "id", run.ID, "was", was, "phase", run.Phase, "step", run.Step+1, "of", len(run.Targets), "why", run.Why)
	return nil
}

func (m *Manager) submit(ctx context.Context, e *entry, svc *Service, run *Run, b Batch, guards ...wire.Guard) error {
	m.mu.Lock()
	known := e.known[b.UID]
	m.mu.Unlock()
	if known {
		return nil
	}
	d := &run.Spec.To.Desc
	if b.Version != run.Spec.To.Name {
		d = &run.From.Desc
	}
	if err := m.descriptions.Put(ctx, b.UID, d); err != nil {
		return fmt.Errorf("describe %s: %w", b.UID, err)
	}
	j := svc.Template
	j.UID, j.Kind, j.Tasks = b.UID, wire.KindService, b.Replicas
	j.CPUs, j.GPUs, j.MemoryGB = d.CPUs, d.GPUs, d.MemoryGB
	if err := m.core.Submit(ctx, &j, guards...); err != nil {
		return fmt.Errorf("submit %s: %w", b.UID, err)
	}
	m.mu.Lock()
	e.known[b.UID] = true
	m.mu.Unlock()
	return nil
}

func (m *Manager) drop(ctx context.Context, e *entry, b Batch) error {
	m.mu.Lock()
	gone := e.dropped[b.UID]
	m.mu.Unlock()
	if gone {
		return nil
	}
	if err := m.core.Cancel(ctx, b.UID); err != nil {
		return fmt.Errorf("cancel %s: %w", b.UID, err)
	}
	m.mu.Lock()
	e.dropped[b.UID] = true
	m.mu.Unlock()
	return nil
}
