// Package failovertiming times what follows a start or a takeover: the seconds until
// this controller is up, holds its lease, owns jobs, has read them, hears
// workers, grants a start, and has heard every machine that tasks may be on.
// Operators read off it what a restart costs and which part is the longest.
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
	Up      Phase = iota // answers /up with 200
	Joined               // holds its lease
	Claimed              // owns a shard
	Read                 // has read the shard's jobs
	Heard                // a worker got its first 200
	Granted              // the first start was granted
	Half                 // half of the machines in the books were heard
	Most                 // 95 of 100 were
	All                  // all were
	phases
)

var names = [phases]string{"up", "joined", "claimed", "read", "first_heard", "granted", "half_heard", "most_heard", "all_heard"}

// String returns the name used in logs and statistics.
func (p Phase) String() string { return names[p] }

const (
	watchEvery = 100 * time.Millisecond // while a recovery is timed
	startKept  = 20 * time.Second       // a takeover so soon after the start is timed from the start
)

// FailoverState is what is known of a takeover.
type FailoverState interface {
	// FailoverProgress returns the takeovers so far, the machines on which the last
	// one found tasks recorded, and how many of those were not heard since.
	FailoverProgress() (takeovers, machines, silent int)
}

// Timeline times the recovery in progress and keeps the last one.
type Timeline struct {
	books   FailoverState
	limit   time.Duration
	log     *slog.Logger
	wake    chan struct{}
	started time.Time

	mu    sync.Mutex
	began time.Time
	open  bool
	at    [phases]time.Duration // 0: not yet
	taken int                   // takeovers that have been timed
	total int                   // machines in the books
}

// New returns a timeline of the process that starts now. A recovery that is not
// complete after limit is closed as it is: machines that are lost are not heard.
func New(books FailoverState, limit time.Duration, log *slog.Logger) *Timeline {
	now := time.Now()
	return &Timeline{books: books, limit: limit, log: log, wake: make(chan struct{}, 1), started: now, began: now, open: true}
}

// Restart times the process's start from now on: before, it waited for its predecessor. It must
// be called before Run and the first Mark.
func (t *Timeline) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.started, t.began = now, now
}

// Mark notes that a phase is reached. The first one counts. Marking costs a lock
// while a recovery is timed, and little more than nothing else.
func (t *Timeline) Mark(p Phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p == Claimed && !t.open {
		// Another controller's jobs come here.
		t.began, t.open, t.at = time.Now(), true, [phases]time.Duration{}
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
	t.markLocked(p)
}

func (t *Timeline) markLocked(p Phase) {
	if t.open && t.at[p] == 0 {
		t.at[p] = max(1, time.Since(t.began))
	}
}

// Reset tells that this controller owns nothing any more.
func (t *Timeline) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open && t.at[Claimed] != 0 {
		t.open = false
	}
}

// Last returns the seconds from its beginning to each phase of the last
// recovery, and the machines that the books named.
func (t *Timeline) Last() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]float64{"machines": float64(t.total)}
	for p, d := range t.at {
		if d > 0 {
			out[names[p]] = d.Seconds()
		}
	}
	return out
}

// Run watches recoveries and logs each when it is over, until ctx ends.
func (t *Timeline) Run(ctx context.Context) error {
	tick := time.NewTicker(watchEvery)
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
		tick.Stop() // nothing to time: no timer runs
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.wake:
		}
		tick.Reset(watchEvery)
	}
}

// look reads the books; false when there is nothing to time.
func (t *Timeline) look() bool {
	takeovers, machines, silent := t.books.FailoverProgress()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.open {
		return false
	}
	if takeovers > t.taken {
		t.markLocked(Read)
	}
	if t.at[Read] != 0 {
		t.total = max(t.total, machines)
		for _, x := range []struct {
			p    Phase
			part float64
		}{{Half, 0.5}, {Most, 0.05}, {All, 0}} {
			if float64(silent) <= x.part*float64(machines) {
				t.markLocked(x.p)
			}
		}
	}
	switch age := time.Since(t.began); {
	case t.at[All] != 0 && (t.at[Granted] != 0 || age > startKept):
	case t.at[Claimed] == 0 && time.Since(t.started) > startKept:
		t.open = false // nothing came here
		return false
	case age > t.limit:
	default:
		return true
	}
	t.open, t.taken = false, takeovers
	attrs := make([]any, 0, 2*phases+2)
	for p, d := range t.at {
		if d > 0 {
			attrs = append(attrs, names[p]+"_s", d.Seconds())
		}
	}
	t.log.Info("recovered", append(attrs, "machines", t.total, "silent", silent)...)
	t.total = 0
	return false
}
