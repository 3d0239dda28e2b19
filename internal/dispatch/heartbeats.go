package dispatch

import (
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// HeartbeatWindow is the time over which heartbeats are counted.
const HeartbeatWindow = 3 * time.Second

// heartbeatCounter counts heartbeats by second.
type heartbeatCounter struct {
	second [4]int64
	count  [4]int
}

func (c *heartbeatCounter) add(second int64) {
	i := second % int64(len(c.count))
	if c.second[i] != second {
		c.second[i], c.count[i] = second, 0
	}
	c.count[i]++
}

// countBefore counts the whole seconds of the window before this one.
func (c *heartbeatCounter) countBefore(second int64) (sum int) {
	for i, counted := range c.second {
		if counted < second && counted >= second-int64(HeartbeatWindow/time.Second) {
			sum += c.count[i]
		}
	}
	return sum
}

func (d *Dispatcher) currentSecond() int64 { return 1 + int64(time.Since(d.started)/time.Second) }

// acceptHeartbeat notes a heartbeat, and returns false for a copy of one that came before or
// one that came late. A worker keeps one heartbeat in flight at a time, so that what is not
// newer than the newest of them tells nothing of now: it must not count as hearing the worker,
// renew its lease or be acted on. Copies arrive up to well over a lease late. A worker whose
// sequence numbers began anew is recognised by this: nothing newer has come for a lease, and
// its heartbeats grow among themselves.
func (d *Dispatcher) acceptHeartbeat(rep *wire.Report) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if worker := d.workers[rep.Machine]; worker != nil {
		version := versionOf(rep)
		if !version.newer(worker.newestHeartbeat) {
			rejected := worker.rejectedHeartbeat
			worker.rejectedHeartbeat = version
			if now.Sub(worker.newestHeartbeatAt) <= d.lease || !version.newer(rejected) || rejected == (reportVersion{}) {
				return false
			}
			d.log.Info("worker epoch reset", "worker", rep.Machine, "session", version.session, "seq", version.seq, "was", worker.newestHeartbeat.seq)
			worker.report.Session, worker.report.Seq = 0, 0
		}
		worker.newestHeartbeat, worker.newestHeartbeatAt, worker.rejectedHeartbeat = version, now, reportVersion{}
		worker.heartbeatAt = now
	}
	d.lastHeartbeat.Store(int64(time.Since(d.started)))
	d.heartbeatCount.add(d.currentSecond())
	return true
}

// RecentHeartbeats returns the heartbeats that came in the last HeartbeatWindow, whatever was
// answered, and the number of workers whose heartbeats were answered here in the last minute.
// Workers that were only polled don't count: a new leader that had polled all of them
// took its inbound links for lost.
func (d *Dispatcher) RecentHeartbeats() (reports, workers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heartbeatCount.countBefore(d.currentSecond()), d.countReportingLocked(time.Minute)
}

// CountReporting counts the workers whose heartbeats were answered here within a time.
func (d *Dispatcher) CountReporting(within time.Duration) (workers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.countReportingLocked(within)
}

func (d *Dispatcher) countReportingLocked(within time.Duration) (workers int) {
	for _, worker := range d.workers {
		if time.Since(worker.answeredAt) < within {
			workers++
		}
	}
	return workers
}

// WorkersSeenWithin names the workers of which a heartbeat or a polled report came within a
// time, in no order.
func (d *Dispatcher) WorkersSeenWithin(within time.Duration) (names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, worker := range d.workers {
		if time.Since(worker.reportedAt) < within || time.Since(worker.heartbeatAt) < within {
			names = append(names, name)
		}
	}
	return names
}

// ReportAges returns how long ago each worker's newest report came, polled or not.
func (d *Dispatcher) ReportAges() map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]time.Duration, len(d.workers))
	for name, worker := range d.workers {
		if worker.report.Machine != "" {
			out[name] = time.Since(worker.reportedAt)
		}
	}
	return out
}

// SinceAnyHeartbeat is how long ago the last heartbeat of any worker came, whatever was
// answered; without one, since this process's start.
func (d *Dispatcher) SinceAnyHeartbeat() time.Duration {
	return time.Since(d.started) - time.Duration(d.lastHeartbeat.Load())
}

// SinceWorkerHeartbeat returns how long ago any heartbeat of the worker came here, whatever was
// answered: one that is redirected lives, even if it can't get there. Without one it is more
// than a lease.
func (d *Dispatcher) SinceWorkerHeartbeat(name string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if worker := d.workers[name]; worker != nil && !worker.heartbeatAt.IsZero() {
		return time.Since(worker.heartbeatAt)
	}
	return time.Since(d.started) + d.lease
}

// UnansweredFor attests for how long this controller has not answered a heartbeat of the
// worker; without memory of one, it is the time since this process's start.
func (d *Dispatcher) UnansweredFor(name string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unansweredLocked(name)
}

func (d *Dispatcher) unansweredLocked(name string) time.Duration {
	if at, ok := d.answeredAt[name]; ok {
		return time.Since(at)
	}
	return time.Since(d.started)
}

// HasWorkers reports whether a report of any worker came within a lease.
func (d *Dispatcher) HasWorkers() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, worker := range d.workers {
		if d.recentlyReported(worker) {
			return true
		}
	}
	return false
}

// recentlyReported reports whether a report of the worker came within a lease.
func (d *Dispatcher) recentlyReported(worker *workerState) bool {
	return worker.report.Machine != "" && time.Since(worker.reportedAt) < d.lease
}
