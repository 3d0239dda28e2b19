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
	LeaseAcquired               // holds its lease
	ShardClaimed                // leads a shard
	JobsRead                    // has read the shard's jobs
	FirstHeartbeat              // responded to a worker's heartbeat with 200
	FirstGrant                  // the first start was granted
	HalfOfWorkers               // half of the recorded workers sent a heartbeat
	MostWorkers                 // 95 of 100 did
	AllWorkers                  // all did
	numPhases
)

var phaseNames = [numPhases]string{"up", "joined", "claimed", "read", "first_heard", "granted", "half_heard", "most_heard", "all_heard"}

// String returns the name used in logs and statistics.
func (p Phase) String() string { return phaseNames[p] }

const (
	pollInterval        = 100 * time.Millisecond // while a recovery is timed
	startupWindow       = 20 * time.Second       // a failover so soon after the start is timed from the start
	halfMaxUnresponsive = 0.5                    // share of the recorded workers without a heartbeat, at most, for Half
	mostMaxUnresponsive = 0.05                   // for Most
)

// FailoverState is what is known of a failover.
type FailoverState interface {
	// FailoverProgress returns the failovers so far, the workers on which the last one found
	// tasks recorded, and how many of those sent no heartbeat since.
	FailoverProgress() (failovers, recorded, unresponsive int)
}

// Timeline times the recovery in progress and keeps the last one. It is safe for concurrent use.
type Timeline struct {
	state         FailoverState
	maxDuration   time.Duration
	log           *slog.Logger
	recoveryBegan chan struct{} // a recovery began

	mu              sync.Mutex
	startedAt       time.Time // the process
	beganAt         time.Time // the last recovery
	inProgress      bool
	reachedAfter    [numPhases]time.Duration // since began; 0: not yet
	timedFailovers  int                      // failovers that have been timed
	recordedWorkers int                      // workers that tasks were recorded on
}

// New returns a timeline of the process that starts now. A recovery that is not complete after
// limit ends as it is: failed workers send no heartbeat.
func New(state FailoverState, maxDuration time.Duration, log *slog.Logger) *Timeline {
	now := time.Now()
	return &Timeline{state: state, maxDuration: maxDuration, log: log, recoveryBegan: make(chan struct{}, 1), startedAt: now, beganAt: now, inProgress: true}
}

// Restart times the process's start from now on: before, it waited for its predecessor. It must
// be called before Run and the first Mark.
func (t *Timeline) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.startedAt, t.beganAt = now, now
}

// Mark notes that a phase is reached. The first one counts. Marking costs a lock while a
// recovery is timed, and little more than nothing else. Claimed begins another recovery if none
// is timed: shards of another controller come here.
func (t *Timeline) Mark(p Phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p == ShardClaimed && !t.inProgress {
		t.beganAt, t.inProgress, t.reachedAfter = time.Now(), true, [numPhases]time.Duration{}
		select {
		case t.recoveryBegan <- struct{}{}:
		default:
		}
	}
	t.markLocked(p)
}

func (t *Timeline) markLocked(p Phase) {
	if t.inProgress && t.reachedAfter[p] == 0 {
		t.reachedAfter[p] = max(1, time.Since(t.beganAt))
	}
}

// Reset ends the recovery unlogged if this controller had claimed shards: it leads none any more.
func (t *Timeline) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inProgress && t.reachedAfter[ShardClaimed] != 0 {
		t.inProgress = false
	}
}

// Last returns the seconds from its beginning to each phase of the last recovery, by the phase's
// name, and under "machines" how many workers tasks were recorded on.
func (t *Timeline) Last() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]float64{"machines": float64(t.recordedWorkers)}
	for p, d := range t.reachedAfter {
		if d > 0 {
			out[phaseNames[p]] = d.Seconds()
		}
	}
	return out
}

// Run watches recoveries and logs each when it is over, until ctx ends. While none is timed, no
// timer runs.
func (t *Timeline) Run(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if t.poll() {
			continue
		}
		tick.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.recoveryBegan:
		}
		tick.Reset(pollInterval)
	}
}

// poll reads the failover's progress; false when there is nothing to time.
func (t *Timeline) poll() bool {
	failovers, recorded, unresponsive := t.state.FailoverProgress()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.inProgress {
		return false
	}
	t.markProgressLocked(failovers, recorded, unresponsive)
	switch age := time.Since(t.beganAt); {
	case t.reachedAfter[AllWorkers] != 0 && (t.reachedAfter[FirstGrant] != 0 || age > startupWindow):
	case t.reachedAfter[ShardClaimed] == 0 && time.Since(t.startedAt) > startupWindow:
		t.inProgress = false // nothing came here
		return false
	case age > t.maxDuration:
	default:
		return true
	}
	t.inProgress, t.timedFailovers = false, failovers
	t.logLocked(unresponsive)
	t.recordedWorkers = 0
	return false
}

func (t *Timeline) markProgressLocked(failovers, recorded, unresponsive int) {
	if failovers > t.timedFailovers {
		t.markLocked(JobsRead)
	}
	if t.reachedAfter[JobsRead] == 0 {
		return
	}
	t.recordedWorkers = max(t.recordedWorkers, recorded)
	for _, reached := range []struct {
		phase        Phase
		unresponsive float64
	}{{HalfOfWorkers, halfMaxUnresponsive}, {MostWorkers, mostMaxUnresponsive}, {AllWorkers, 0}} {
		if float64(unresponsive) <= reached.unresponsive*float64(recorded) {
			t.markLocked(reached.phase)
		}
	}
}

func (t *Timeline) logLocked(unresponsive int) {
	attrs := make([]any, 0, 2*numPhases+4)
	for p, d := range t.reachedAfter {
		if d > 0 {
			attrs = append(attrs, phaseNames[p]+"_s", d.Seconds())
		}
	}
	t.log.Info("recovered", append(attrs, "machines", t.recordedWorkers, "silent", unresponsive)...)
}
