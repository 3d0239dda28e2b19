package jobstate

import (
	"github.com/wallrack/wallrack/internal/accounting"
)

// changeKind says what a log record tells of a place.
type ChangeKind int

const (
	PlacementAdded   ChangeKind = iota // the task may be there from now on
	PlacementRemoved                   // it is not there any more
	TaskFinished                       // it completed there, or ended for good
)

type Change struct {
	Kind      ChangeKind
	Placement *Placement
	Row       *accounting.Row // written along with it
}

// record notes a change that the next write takes along.
func (s *State) RecordChange(c Change) {
	shard := c.Placement.Job.Shard
	s.Unwritten[shard] = append(s.Unwritten[shard], c)
}
