package jobstate

import "time"

// PendingCancels are the cancels of a job that were sent and whose outcome is unknown: each may
// have been applied, or may still be applied. While there are any, only the state service knows
// whether the job is cancelled. The zero value is empty.
type PendingCancels struct {
	writes     map[uint64]int // number of cancels, by the version of the job's record on which they are conditional
	LastSentAt time.Time      // time at which the last cancel was sent
}

// RecordSent records that a cancel was sent which is conditional on a version of the job's
// record.
func (c *PendingCancels) RecordSent(version uint64, now time.Time) {
	if c.writes == nil {
		c.writes = map[uint64]int{}
	}
	c.writes[version]++
	c.LastSentAt = now
}

// RecordFailed records that one cancel conditional on that version was not applied and never
// will be. It is ignored if a newer record or an applied cancel has already settled that cancel.
func (c *PendingCancels) RecordFailed(version uint64) {
	if c.writes[version] > 1 {
		c.writes[version]--
		return
	}
	delete(c.writes, version)
}

// supersede records that the job's record has that version and is not cancelled. Versions only
// increase, so all cancels conditional on earlier versions have failed for good.
func (c *PendingCancels) supersede(version uint64) {
	for expected := range c.writes {
		if expected < version {
			delete(c.writes, expected)
		}
	}
}

// Any reports whether the outcome of any cancel is unknown.
func (c *PendingCancels) Any() bool { return len(c.writes) > 0 }
