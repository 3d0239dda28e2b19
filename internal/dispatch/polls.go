package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	pollTimeout = 1500 * time.Millisecond // of each poll when many workers are polled
	// livenessPollTimeout applies when a poll decides whether a worker is responsive. It is longer
	// so that a worker behind a slow link is not deleted as unresponsive.
	livenessPollTimeout = 3500 * time.Millisecond
	maxConcurrentPolls  = 32
)

// Endpoint returns the address of a worker that reported here within a lease, or "".
func (d *Dispatcher) Endpoint(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if worker := d.workers[name]; worker != nil && time.Since(worker.reportedAt) < d.lease {
		return worker.report.Endpoint
	}
	return ""
}

// SampleEndpoints returns the addresses of up to n workers that reported here in the last minute.
func (d *Dispatcher) SampleEndpoints(n int) (endpoints []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, worker := range d.workers { // in random order
		if len(endpoints) == n {
			break
		}
		if worker.report.Endpoint != "" && time.Since(worker.reportedAt) < time.Minute {
			endpoints = append(endpoints, worker.report.Endpoint)
		}
	}
	return endpoints
}

// ProbeEndpoints polls workers and returns the share of them, 0 to 1, that responded within the
// given time, or 0 if endpoints is empty. Their reports are not stored.
func (d *Dispatcher) ProbeEndpoints(ctx context.Context, endpoints []string, within time.Duration) float64 {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var responded atomic.Int64
	var probes errgroup.Group
	for _, endpoint := range endpoints {
		probes.Go(func() error {
			if _, err := d.sender.FetchReport(ctx, endpoint); err == nil {
				responded.Add(1)
			}
			return nil
		})
	}
	_ = probes.Wait() // the functions return no errors
	return float64(responded.Load()) / float64(max(1, len(endpoints)))
}

// PollReports polls those of the workers, given as endpoints by name, whose last report is at
// least minReportAge old, and returns when all have responded or timed out. After a failover it
// reveals the running tasks long before all workers have found the new leader and reported to it.
func (d *Dispatcher) PollReports(ctx context.Context, endpoints map[string]string, minReportAge time.Duration) {
	polls, ctx := errgroup.WithContext(ctx)
	polls.SetLimit(maxConcurrentPolls)
	for name, endpoint := range endpoints {
		if !d.needsPoll(name, minReportAge) || !d.routing.MayAnswerWorkers() {
			continue
		}
		polls.Go(func() error { d.poll(ctx, name, endpoint, pollTimeout); return nil })
	}
	_ = polls.Wait() // the functions return no errors
}

// needsPoll reports whether a worker is to be polled: its machine was not deleted, its last report
// is at least minReportAge old or missing, and fewer than maxWorkers workers are known.
func (d *Dispatcher) needsPoll(name string, minReportAge time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	worker := d.workers[name]
	return !d.deleted.Contains(name) && (worker == nil || time.Since(worker.reportedAt) >= minReportAge) && len(d.workers) < maxWorkers
}

// PollAndHaltCancelledTasks polls workers that may run cancelled tasks and halts those tasks by
// pushed commands: the workers may not be reporting to any controller that knows of the cancel.
func (d *Dispatcher) PollAndHaltCancelledTasks(ctx context.Context, endpoints map[string]string) {
	polls, ctx := errgroup.WithContext(ctx)
	polls.SetLimit(maxConcurrentPolls)
	for name, endpoint := range endpoints {
		polls.Go(func() error {
			if d.poll(ctx, name, endpoint, pollTimeout) {
				d.PushCommands(name) //nolint:contextcheck // the push outlives the poll
			}
			return nil
		})
	}
	_ = polls.Wait() // the functions return no errors
}

// PollWorker polls a worker and reports whether it responded. The result decides whether the
// worker counts as responsive, so PollWorker waits longer than PollReports.
func (d *Dispatcher) PollWorker(ctx context.Context, name, endpoint string) bool {
	return d.poll(ctx, name, endpoint, livenessPollTimeout)
}

// poll polls a worker and returns whether it responded. It stores the report if that is newer than
// the stored one.
func (d *Dispatcher) poll(ctx context.Context, name, endpoint string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	rep, err := d.sender.FetchReport(ctx, endpoint)
	cancel()
	if err != nil || rep.Machine != name {
		d.log.Debug("worker poll failed", "worker", name, "err", err)
		return false
	}
	if view, stored := d.storeReport(rep, false); stored {
		d.schedulers.ObserveWorker(view)
	}
	return true
}
