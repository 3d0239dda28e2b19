package jobstate

import "time"

// PendingCancels are the cancels of a job that were sent and have an unknown outcome: each may
// have been applied, or may be yet. While there are any, only the state service can say
// whether the job is cancelled. The zero value has none.
type PendingCancels struct {
	writes     map[uint64]int // number of cancels by the version of the job's record that they guard
	LastSentAt time.Time      // when the last one was sent
}

// RecordSent notes that a cancel which guards a version of the job's record was sent.
func (c *PendingCancels) RecordSent(version uint64, now time.Time) {
	if c.writes == nil {
		c.writes = map[uint64]int{}
	}
	c.writes[version]++
	c.LastSentAt = now
}

// RecordFailed notes that one cancel which guards that version was not applied and never will
// be. A cancel that is not known any more, since a newer record or an applied cancel settled
// it, is ignored.
func (c *PendingCancels) RecordFailed(version uint64) {
	if c.writes[version] > 1 {
		c.writes[version]--
		return
	}
	delete(c.writes, version)
}

// supersede notes that the job's record has that version and is not cancelled. A version never
// comes back, so all cancels which guard earlier ones have failed for good.
func (c *PendingCancels) supersede(version uint64) {
	for guarded := range c.writes {
		if guarded < version {
			delete(c.writes, guarded)
		}
	}
}

// Any reports whether a cancel has an unknown outcome.
func (c *PendingCancels) Any() bool { return len(c.writes) > 0 }
