package submission

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// maxEndedJobs is the number of ended jobs whose final states are retained.
const maxEndedJobs = 10_000

const (
	endsWatchHold  = 20 * time.Second // longest time for which the state service holds a request of the watch
	endsWatchPause = 3 * time.Second  // between two responses while jobs end
)

// EndsWatcher watches the records of ended jobs.
type EndsWatcher interface {
	// WatchRecent calls change with the changes under the prefix that the state service still keeps,
	// and then with every later one, until ctx ends.
	WatchRecent(ctx context.Context, prefix string, hold time.Duration, change func([]wire.Event))
}

// Run keeps the final states of the jobs that ended last, under whatever leader, until ctx ends, and
// returns ctx's error. Polls for them then need no request to the state service: a new leader knows
// only the jobs that are live, and thousands may have ended since their users last got an answer.
func (s *Service) Run(ctx context.Context) error {
	if s.endsWatcher != nil {
		pacing := statestore.Pacing{Burst: 1, Pause: func() time.Duration { return endsWatchPause }}
		s.endsWatcher.WatchRecent(statestore.WithPacing(ctx, pacing), jobrecord.FinalPrefix, endsWatchHold, s.recordEnds)
	}
	<-ctx.Done()
	return ctx.Err()
}

// recordEnds retains the final states in changes of the records of ended jobs.
func (s *Service) recordEnds(events []wire.Event) {
	for i := range events {
		state, ok := endedState(&events[i], s.log)
		if ok {
			s.ended.add(state)
		}
	}
}

// endedState returns the state in a change of an ended job's record. It returns false if the record
// can't be read.
func endedState(event *wire.Event, log *slog.Logger) (wire.JobState, bool) {
	uid, isFinal := strings.CutPrefix(event.Put, jobrecord.FinalPrefix)
	if !isFinal {
		return wire.JobState{}, false
	}
	var final jobrecord.FinalRecord
	if err := json.Unmarshal(event.Value, &final); err != nil {
		log.Error("unreadable record of an ended job", "job", uid, "err", err)
		return wire.JobState{}, false
	}
	// Copies, since the strings share memory with the whole response.
	return wire.JobState{UID: strings.Clone(uid), Stage: strings.Clone(final.Stage), Done: final.Done}, true
}

// endedJobs retains final states from the state service. A final state never
// changes. It is safe for concurrent use. The zero value is empty.
type endedJobs struct {
	mu     sync.Mutex
	states map[string]wire.JobState // by job
	order  []string                 // jobs, the one retained longest first
}

// get returns a job's final state, if it is retained.
func (e *endedJobs) get(uid string) (wire.JobState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state, ok := e.states[uid]
	return state, ok
}

// add retains a job's final state. Beyond maxEndedJobs, the job retained longest is dropped.
func (e *endedJobs) add(state wire.JobState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.states[state.UID]; known {
		return
	}
	if e.states == nil {
		e.states = map[string]wire.JobState{}
	}
	if len(e.order) == maxEndedJobs {
		delete(e.states, e.order[0])
		e.order = e.order[1:]
	}
	e.states[state.UID] = state
	e.order = append(e.order, state.UID)
}
