package jobstate

import (
	"strconv"

	"github.com/wallrack/wallrack/internal/accounting"
)

// ChangeKind is the kind of a placement's change in a log record.
type ChangeKind int

// Kinds of change.
const (
	PlacementAdded   ChangeKind = iota // the task may be on the worker from this record on
	PlacementRemoved                   // the task is no longer on the worker
	TaskFinished                       // the task completed on the worker, or is over for good
)

// String returns the name of the kind for log messages.
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

// Change is a change of a placement that is not yet in the shard's log.
type Change struct {
	Kind      ChangeKind
	Placement *Placement
	Row       *accounting.Row // accounting row to write in the same transaction; nil: none
}

// RecordChange queues a change for the next record of the shard's log. It does not signal
// WriteSignal: the caller does so for a change that must not wait for the next write.
func (s *State) RecordChange(c Change) {
	shard := c.Placement.Job.Shard
	s.UnwrittenChanges[shard] = append(s.UnwrittenChanges[shard], c)
}
