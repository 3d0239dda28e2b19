package scheduler

import (
	"strings"
	"sync"

	"github.com/wallrack/wallrack/internal/jobrecord"
)

// liveJobs are the live jobs of all shards that are not cancelled, as the watch of the live records last
// reported them. It is safe for concurrent use. The zero value is empty.
type liveJobs struct {
	mu         sync.Mutex
	acceptedMs map[string]int64 // time of acceptance in milliseconds since 1970, by job
}

func (l *liveJobs) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acceptedMs = map[string]int64{}
}

// add adds the job of a live record, or removes it if it is cancelled.
func (l *liveJobs) add(record *jobrecord.LiveRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if record.Cancelled {
		delete(l.acceptedMs, record.Job.UID)
		return
	}
	if l.acceptedMs == nil {
		l.acceptedMs = map[string]int64{}
	}
	l.acceptedMs[strings.Clone(record.Job.UID)] = record.AcceptedMs // the record's strings share its memory
}

func (l *liveJobs) remove(uid string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.acceptedMs, uid)
}

// get returns the time of acceptance of a live job in milliseconds since 1970.
func (l *liveJobs) get(uid string) (acceptedMs int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	acceptedMs, ok = l.acceptedMs[uid]
	return acceptedMs, ok
}

// KnownLive reports whether another controller's job was live and not cancelled when the state service
// last reported a change, and was not accepted just now.
func (s *Scheduler) KnownLive(uid string) bool {
	acceptedMs, live := s.liveJobs.get(uid)
	if !live || JustAccepted(acceptedMs) {
		return false
	}
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	return s.state.Jobs[uid] == nil
}
