package rollout

import (
	"context"
	"fmt"
	"time"

	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// reconcile submits and cancels the jobs that the recorded state of one roll-out requires and observes
// its jobs. If the state then changes, reconcile records the next state. Health checks may continue
// after ctx has ended, but not after checkCtx has ended.
func (m *Manager) reconcile(ctx, checkCtx context.Context, name string, leaderGuard wire.Guard, blockedReason string) error {
	m.mu.Lock()
	e := m.entries[name]
	next, err := e.clone()
	m.mu.Unlock()
	if err != nil {
		return err
	}
	run := next.run
	submit, toCancel := RequiredActions(run)
	for _, batch := range submit {
		if err := m.submit(ctx, &next, batch, leaderGuard, wire.Guard{Key: runKey + name, Version: next.runVersion}); err != nil {
			return err
		}
	}
	for _, batch := range toCancel {
		if err := m.cancel(ctx, &next, batch); err != nil {
			return err
		}
	}
	now := time.Now()
	observed := &Observation{Jobs: m.observe(checkCtx, now, e, run.Spec.Check, submit, toCancel), BlockedReason: blockedReason}
	previousPhase := run.Phase
	if !Advance(&next.service, run, observed, now) {
		return nil
	}
	if err := m.write(ctx, name, &next, leaderGuard); err != nil {
		return err
	}
	m.log.Info("roll-out", "service", name, "id", run.ID, "was", previousPhase, "phase", run.Phase, "step", run.Step+1, "of", len(run.Targets), "why", run.Reason)
	return nil
}

// observe starts the due checks of the submitted batches. It returns the known state of the submitted
// and of the cancelled batches, by job id, and stores it in e.
func (m *Manager) observe(checkCtx context.Context, now time.Time, e *entry, check Check, submitted, toCancel []Batch) map[string]JobStatus {
	jobs := map[string]JobStatus{}
	for _, batch := range submitted {
		jobs[batch.UID] = m.checks.observe(checkCtx, now, m.core.Replicas(batch.UID), check)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, batch := range toCancel {
		jobs[batch.UID] = JobStatus{Ended: e.cancelled[batch.UID]}
	}
	e.jobs = jobs
	return jobs
}

// submit uploads the description of a batch's job and submits the job, unless the job is known to
// be submitted.
func (m *Manager) submit(ctx context.Context, e *entry, batch Batch, guards ...wire.Guard) error {
	if m.isDone(e.submitted, batch) {
		return nil
	}
	description := &e.run.Spec.To.Desc
	if batch.Version != e.run.Spec.To.Name {
		description = &e.run.From.Desc
	}
	if err := m.descriptions.Put(ctx, batch.UID, description); err != nil {
		return fmt.Errorf("upload description of %s: %w", batch.UID, err)
	}
	job := e.service.job(batch, description)
	if err := m.core.Submit(ctx, &job, guards...); err != nil {
		return fmt.Errorf("submit %s: %w", batch.UID, err)
	}
	m.markDone(e.submitted, batch)
	return nil
}

// job returns the job of a batch: the service's template with the batch's id and number of replicas
// and the description's resources.
func (s *Service) job(batch Batch, description *taskspec.Spec) wire.Job {
	job := s.Template
	job.UID, job.Kind, job.Tasks = batch.UID, wire.KindService, batch.Replicas
	job.CPUs, job.GPUs, job.MemoryGB = description.CPUs, description.GPUs, description.MemoryGB
	return job
}

// cancel cancels a batch's job, unless the job is known to be cancelled.
func (m *Manager) cancel(ctx context.Context, e *entry, batch Batch) error {
	if m.isDone(e.cancelled, batch) {
		return nil
	}
	if err := m.core.Cancel(ctx, batch.UID); err != nil {
		return fmt.Errorf("cancel %s: %w", batch.UID, err)
	}
	m.markDone(e.cancelled, batch)
	return nil
}

func (m *Manager) isDone(uids map[string]bool, batch Batch) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return uids[batch.UID]
}

func (m *Manager) markDone(uids map[string]bool, batch Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	uids[batch.UID] = true
}
