package dispatch

import (
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// HeartbeatWindow is the period over which recent heartbeats are counted.
const HeartbeatWindow = 3 * time.Second

// heartbeatCounter counts heartbeats per second.
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

// countBefore returns the number of heartbeats in the period of length HeartbeatWindow that ends at
// the start of the given second.
func (c *heartbeatCounter) countBefore(second int64) (sum int) {
	for i, counted := range c.second {
		if counted < second && counted >= second-int64(HeartbeatWindow/time.Second) {
			sum += c.count[i]
		}
	}
	return sum
}

func (d *Dispatcher) currentSecond() int64 { return 1 + int64(time.Since(d.started)/time.Second) }

// acceptHeartbeat records a heartbeat. It returns false for a duplicate or late copy, which may
// arrive more than a lease after the original. A worker has one heartbeat in flight at a time, so a
// heartbeat that is not newer than the newest one does not describe the worker's present state: it
// must not count as a sign of life, renew the lease or be acted on. A worker whose sequence numbers
// were reset is recognised by two conditions: no newer heartbeat has arrived for a lease, and the
// sequence numbers of the rejected ones increase.
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

// RecentHeartbeats returns the number of heartbeats accepted in the last HeartbeatWindow, answered
// or not, and the number of workers whose heartbeats were answered here in the last minute.
// Workers that were only polled don't count: otherwise a new leader that has polled all workers
// would expect heartbeats from them and regard its inbound links as lost.
func (d *Dispatcher) RecentHeartbeats() (reports, workers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heartbeatCount.countBefore(d.currentSecond()), d.countReportingLocked(time.Minute)
}

// CountReporting counts the workers whose heartbeats were answered here within the given time.
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

// WorkersSeenWithin returns the names of the workers whose heartbeat or polled report arrived
// within the given time, in no particular order.
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

// ReportAges returns the time since the newest report of each worker arrived, polled or not.
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

// SinceAnyHeartbeat returns the time since the last accepted heartbeat of any worker, answered or not, or
// since the start of this process if there was none.
func (d *Dispatcher) SinceAnyHeartbeat() time.Duration {
	return time.Since(d.started) - time.Duration(d.lastHeartbeat.Load())
}

// SinceWorkerHeartbeat returns the time since the worker's last heartbeat here, or a time longer
// than a lease if there was none. Heartbeats that were not answered count too: a redirected worker
// is alive even if it can't reach the other controller.
func (d *Dispatcher) SinceWorkerHeartbeat(name string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if worker := d.workers[name]; worker != nil && !worker.heartbeatAt.IsZero() {
		return time.Since(worker.heartbeatAt)
	}
	return time.Since(d.started) + d.lease
}

// UnansweredFor returns the time since this controller last answered a heartbeat of the worker, or
// since the start of this process if it has not answered any. Attestations rely on it.
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

// HasWorkers reports whether any worker reported within a lease.
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

// recentlyReported reports whether the worker reported within a lease.
func (d *Dispatcher) recentlyReported(worker *workerState) bool {
	return worker.report.Machine != "" && time.Since(worker.reportedAt) < d.lease
}
