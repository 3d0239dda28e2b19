// Package failovertiming measures the recovery of this controller after its start or a failover:
// the time until the controller is up, holds its lease, leads shards, has read their jobs, receives
// heartbeats, grants a start, and has received heartbeats from all workers that may run tasks.
// Operators use the times to find out how long a restart takes and which phase is the longest. Only
// the last recovery is stored, and no decision of the controller depends on it.
package failovertiming

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Phase is a point in a recovery that is reached once.
type Phase int

// Phases, in the order in which they are usually reached.
const (
	Up             Phase = iota // first response to /up with status 200
	LeaseAcquired               // the controller holds its lease
	ShardClaimed                // the controller leads a shard
	JobsRead                    // the shard's jobs have been read
	FirstHeartbeat              // first response to a worker's heartbeat with status 200
	FirstGrant                  // first start granted
	HalfOfWorkers               // at least half of the recorded workers have sent a heartbeat
	MostWorkers                 // at least 95 % of them have
	AllWorkers                  // all of them have
	numPhases
)

var phaseNames = [numPhases]string{"up", "joined", "claimed", "read", "first_heard", "granted", "half_heard", "most_heard", "all_heard"}

// String returns the name used in logs and statistics.
func (p Phase) String() string { return phaseNames[p] }

const (
	pollInterval        = 100 * time.Millisecond // interval at which progress is read during a recovery
	startupWindow       = 20 * time.Second       // a failover within this time after the start is timed from the start
	halfMaxUnresponsive = 0.5                    // largest share of recorded workers without a heartbeat for HalfOfWorkers
	mostMaxUnresponsive = 0.05                   // the same for MostWorkers
)

// FailoverState provides the progress of failovers.
type FailoverState interface {
	// FailoverProgress returns the number of failovers so far, the number of workers to which
	// recorded tasks were assigned at the last one, and how many of these workers have sent no
	// heartbeat since.
	FailoverProgress() (failovers, recorded, unresponsive int)
}

// Timeline measures the recovery in progress and stores the last one. It is safe for concurrent use.
type Timeline struct {
	state         FailoverState
	maxDuration   time.Duration
	log           *slog.Logger
	recoveryBegan chan struct{} // signals Run that a recovery has begun

	mu              sync.Mutex
	startedAt       time.Time // start of the process
	beganAt         time.Time // beginning of the recovery in progress or, if there is none, of the last one
	inProgress      bool
	reachedAfter    [numPhases]time.Duration // time from beganAt to the phase; 0: not reached
	timedFailovers  int                      // number of failovers measured so far
	recordedWorkers int                      // number of workers with recorded tasks
}

// New returns a timeline of a process that starts now. A recovery that is not complete after
// maxDuration is ended and logged as it is, because failed workers never send a heartbeat.
func New(state FailoverState, maxDuration time.Duration, log *slog.Logger) *Timeline {
	now := time.Now()
	return &Timeline{state: state, maxDuration: maxDuration, log: log, recoveryBegan: make(chan struct{}, 1), startedAt: now, beganAt: now, inProgress: true}
}

// ResetStart moves the start of the process to now, so that time spent waiting for the previous process
// to end is not measured. It must be called before Run and the first Mark.
func (t *Timeline) ResetStart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.startedAt, t.beganAt = now, now
}

// Mark records that a phase has been reached; repeated calls for a phase have no effect. If no
// recovery is in progress, ShardClaimed begins one, since shards are moving here from another
// controller, and other phases are ignored. Mark only takes a lock and is cheap enough for every
// request.
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

// Reset discards the recovery in progress if a shard was claimed in it. It is called when the
// controller no longer leads any shard.
func (t *Timeline) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inProgress && t.reachedAfter[ShardClaimed] != 0 {
		t.inProgress = false
	}
}

// LastRecovery returns the seconds from the beginning of the last recovery to each phase reached,
// by the phase's name. During a recovery, the key "machines" holds the number of workers with
// recorded tasks; it is 0 afterwards.
func (t *Timeline) LastRecovery() map[string]float64 {
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

// Run polls the progress of recoveries until ctx ends, and logs each recovery that completes or
// exceeds maxDuration. No timer runs between recoveries.
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

// poll updates the recovery from the failover's progress, and returns whether it is still in
// progress. A recovery is complete when all workers have sent a heartbeat and, in addition, a start
// was granted or startupWindow has passed since the recovery began. If no shard is claimed within
// startupWindow of the process's start, the recovery ends without a log line.
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
		t.inProgress = false // started without claiming a shard
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
