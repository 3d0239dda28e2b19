package jobstate

import (
	"strconv"

	"github.com/wallrack/wallrack/internal/accounting"
)

// ChangeKind says what a log record states of a placement.
type ChangeKind int

// Kinds of change.
const (
	PlacementAdded   ChangeKind = iota // the task may be on the worker from now on
	PlacementRemoved                   // the task is not on the worker any more
	TaskFinished                       // the task completed there, or ended for good
)

// String names the kind, for messages.
func (k ChangeKind) String() string {
	switch k {
	case PlacementAdded:
		return "placement added"
	case PlacementRemoved:
		return "placement removed"
	case TaskFinished:
		return "task finished"
	}
	return "change " + strconv.Itoa(int(k))
}

// Change is a change of a placement that the shard's log has still to record.
type Change struct {
	Kind      ChangeKind
	Placement *Placement
	Row       *accounting.Row // accounting row to write in the same transaction; nil: none
}

// RecordChange queues a change for the next record of the shard's log. It doesn't signal the
// writer: the caller does that for a change that must not wait for the next write.
func (s *State) RecordChange(c Change) {
	shard := c.Placement.Job.Shard
	s.UnwrittenChanges[shard] = append(s.UnwrittenChanges[shard], c)
}
