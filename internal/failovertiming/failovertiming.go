// Package failovertiming times what follows a start or a failover: the seconds until this
// controller is up, holds its lease, leads shards, has read their jobs, gets heartbeats, grants a
// start, and has heartbeats of every worker that tasks may be on. Operators read off it what a
// restart costs and which phase is the longest. It keeps the last recovery alone, and decides
// nothing.
package failovertiming

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Phase is a step of a recovery.
type Phase int

// Phases, in the order in which they usually come.
const (
	Up             Phase = iota // responds to /up with 200
	Joined                      // holds its lease
	Claimed                     // leads a shard
	Read                        // has read the shard's jobs
	FirstHeartbeat              // responded to a worker's heartbeat with 200
	Granted                     // the first start was granted
	Half                        // half of the recorded workers sent a heartbeat
	Most                        // 95 of 100 did
	All                         // all did
	phases
)

var names = [phases]string{"up", "joined", "claimed", "read", "first_heard", "granted", "half_heard", "most_heard", "all_heard"}

// String returns the name used in logs and statistics.
func (p Phase) String() string { return names[p] }

const (
	lookEvery        = 100 * time.Millisecond // while a recovery is timed
	startWindow      = 20 * time.Second       // a failover so soon after the start is timed from the start
	halfUnresponsive = 0.5                    // share of the recorded workers without a heartbeat, at most, for Half
	mostUnresponsive = 0.05                   // for Most
)

// FailoverState is what is known of a failover.
type FailoverState interface {
	// FailoverProgress returns the failovers so far, the workers on which the last one found
	// tasks recorded, and how many of those sent no heartbeat since.
	FailoverProgress() (failovers, recorded, unresponsive int)
}

// Timeline times the recovery in progress and keeps the last one. It is safe for concurrent use.
type Timeline struct {
	state FailoverState
	limit time.Duration
	log   *slog.Logger
	wake  chan struct{} // a recovery began

	mu       sync.Mutex
	started  time.Time // the process
	began    time.Time // the last recovery
	running  bool
	at       [phases]time.Duration // since began; 0: not yet
	timed    int                   // failovers that have been timed
	recorded int                   // workers that tasks were recorded on
}

// New returns a timeline of the process that starts now. A recovery that is not complete after
// limit ends as it is: failed workers send no heartbeat.
func New(state FailoverState, limit time.Duration, log *slog.Logger) *Timeline {
	now := time.Now()
	return &Timeline{state: state, limit: limit, log: log, wake: make(chan struct{}, 1), started: now, began: now, running: true}
}

// Restart times the process's start from now on: before, it waited for its predecessor. It must
// be called before Run and the first Mark.
func (t *Timeline) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.started, t.began = now, now
}

// Mark notes that a phase is reached. The first one counts. Marking costs a lock while a
// recovery is timed, and little more than nothing else. Claimed begins another recovery if none
// is timed: shards of another controller come here.
func (t *Timeline) Mark(p Phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p == Claimed && !t.running {
		t.began, t.running, t.at = time.Now(), true, [phases]time.Duration{}
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
	t.markLocked(p)
}

func (t *Timeline) markLocked(p Phase) {
	if t.running && t.at[p] == 0 {
		t.at[p] = max(1, time.Since(t.began))
	}
}

// Reset ends the recovery unlogged if this controller had claimed shards: it leads none any more.
func (t *Timeline) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running && t.at[Claimed] != 0 {
		t.running = false
	}
}

// Last returns the seconds from its beginning to each phase of the last recovery, by the phase's
// name, and under "machines" how many workers tasks were recorded on.
func (t *Timeline) Last() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]float64{"machines": float64(t.recorded)}
	for p, d := range t.at {
		if d > 0 {
			out[names[p]] = d.Seconds()
		}
	}
	return out
}

// Run watches recoveries and logs each when it is over, until ctx ends. While none is timed, no
// timer runs.
func (t *Timeline) Run(ctx context.Context) error {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if t.look() {
			continue
		}
		tick.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.wake:
		}
		tick.Reset(lookEvery)
	}
}

// look reads the failover's progress; false when there is nothing to time.
func (t *Timeline) look() bool {
	failovers, recorded, unresponsive := t.state.FailoverProgress()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.running {
		return false
	}
	t.markProgressLocked(failovers, recorded, unresponsive)
	switch age := time.Since(t.began); {
	case t.at[All] != 0 && (t.at[Granted] != 0 || age > startWindow):
	case t.at[Claimed] == 0 && time.Since(t.started) > startWindow:
		t.running = false // nothing came here
		return false
	case age > t.limit:
	default:
		return true
	}
	t.running, t.timed = false, failovers
	t.logLocked(unresponsive)
	t.recorded = 0
	return false
}

func (t *Timeline) markProgressLocked(failovers, recorded, unresponsive int) {
	if failovers > t.timed {
		t.markLocked(Read)
	}
	if t.at[Read] == 0 {
		return
	}
	t.recorded = max(t.recorded, recorded)
	for _, reached := range []struct {
		phase        Phase
		unresponsive float64
	}{{Half, halfUnresponsive}, {Most, mostUnresponsive}, {All, 0}} {
		if float64(unresponsive) <= reached.unresponsive*float64(recorded) {
			t.markLocked(reached.phase)
		}
	}
}

func (t *Timeline) logLocked(unresponsive int) {
	attrs := make([]any, 0, 2*phases+4)
	for p, d := range t.at {
		if d > 0 {
			attrs = append(attrs, names[p]+"_s", d.Seconds())
		}
	}
	t.log.Info("recovered", append(attrs, "machines", t.recorded, "silent", unresponsive)...)
}
