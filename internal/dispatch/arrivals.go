package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wallrack/wallrack/internal/wire"
)

// HeartbeatWindow is the time over which arrivals are counted.
const HeartbeatWindow = 3 * time.Second

// heartbeatCounter counts reports by second.
type heartbeatCounter struct {
	second [4]int64
	n      [4]int
}

func (a *heartbeatCounter) add(second int64) {
	i := second % int64(len(a.n))
	if a.second[i] != second {
		a.second[i], a.n[i] = second, 0
	}
	a.n[i]++
}

// last counts the whole seconds of the window before this one.
func (a *heartbeatCounter) last(second int64) (sum int) {
	for i, s := range a.second {
		if s < second && s >= second-int64(HeartbeatWindow/time.Second) {
			sum += a.n[i]
		}
	}
	return sum
}

func (h *Dispatcher) second() int64 { return 1 + int64(time.Since(h.started)/time.Second) }

// arrived notes a report that came by itself; false for a copy of one that came
// before, or one that came late. A worker keeps one report in flight at a time, so
// that what is not newer than the newest of them tells nothing of now: it must not
// count as hearing the machine, renew anything or be acted on. Copies arrive up to
// well over a lease late. A worker whose count began anew is told apart by this:
// nothing newer has come for a lease, and its reports grow among themselves.
func (h *Dispatcher) arrived(rep *wire.Report) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if s := h.machines[rep.Machine]; s != nil {
		c := reportVersion{rep.Session, rep.Seq}
		if !c.newer(s.newest) {
			again := now.Sub(s.newestAt) > h.lease && c.newer(s.doubt) && s.doubt != reportVersion{}
			s.doubt = c
			if !again {
				return false
			}
			h.log.Info("a worker counts anew", "machine", rep.Machine, "session", c.session, "seq", c.seq, "was", s.newest.seq)
			s.report.Session, s.report.Seq = 0, 0
		}
		s.newest, s.newestAt, s.doubt = c, now, reportVersion{}
		s.seen = now
	}
	h.lastReport.Store(int64(time.Since(h.started)))
	h.heartbeats.add(h.second())
	return true
}

// RecentHeartbeats returns the reports that came in the last ArrivalWindow, whatever was
// answered, and the number of machines that reported here in the last minute.
// Those that were only asked don't count: a new owner that had asked all of them
// took itself for deaf.
func (h *Dispatcher) RecentHeartbeats() (reports, machines int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.machines {
		if time.Since(s.told) < time.Minute {
			machines++
		}
	}
	return h.heartbeats.last(h.second()), machines
}

// CountReporting counts the machines that reported here by themselves, and were answered, so
// lately.
func (h *Dispatcher) CountReporting(within time.Duration) (machines int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.machines {
		if time.Since(s.told) < within {
			machines++
		}
	}
	return machines
}

// WorkersHeardWithin names the machines that reported here so lately.
func (h *Dispatcher) WorkersHeardWithin(d time.Duration) (names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, s := range h.machines {
		if time.Since(later(s.at, s.seen)) < d {
			names = append(names, name)
		}
	}
	return names
}

// SinceLastHeartbeat is how long ago the last report came, whatever was answered.
func (h *Dispatcher) SinceLastHeartbeat() time.Duration {
	return time.Since(h.started) - time.Duration(h.lastReport.Load())
}

// SampleEndpoints returns the addresses of some machines heard here in the last minute.
func (h *Dispatcher) SampleEndpoints(n int) (endpoints []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.machines { // in no order
		if len(endpoints) == n {
			break
		}
		if s.report.Endpoint != "" && time.Since(s.at) < time.Minute {
			endpoints = append(endpoints, s.report.Endpoint)
		}
	}
	return endpoints
}

// ProbeEndpoints asks machines for a sign of life and returns the share of them that
// answered within a time.
func (h *Dispatcher) ProbeEndpoints(ctx context.Context, endpoints []string, within time.Duration) float64 {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var answered atomic.Int64
	var g errgroup.Group
	for _, e := range endpoints {
		g.Go(func() error {
			if _, err := h.orders.FetchReport(ctx, e); err == nil {
				answered.Add(1)
			}
			return nil
		})
	}
	_ = g.Wait() // none returns an error
	return float64(answered.Load()) / float64(max(1, len(endpoints)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
