package shardlog

import (
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
)

// recordBuilder gathers changes into one log record of bounded size.
type recordBuilder struct {
	rec     jobrecord.LogRecord
	index   map[string]uint64
	of      map[*jobstate.Job]int
	size    int
	changes []jobstate.Change
	chunks  map[*jobstate.Chunk]struct{}
	rows    []jobstate.Change // taken for their accounting rows, whether they matter or not
}

// keepRows keeps the changes that are taken for their rows alone, so that they are
// put back with the others.
func (b *recordBuilder) keepRows() {
	if len(b.rows) == 0 {
		return
	}
	in := map[*jobstate.Placement]bool{}
	for _, c := range b.changes {
		in[c.Placement] = true
	}
	for _, c := range b.rows {
		if !in[c.Placement] {
			b.changes = append(b.changes, c)
		}
	}
}

func newRecordBuilder(seq uint64) *recordBuilder {
	return &recordBuilder{rec: jobrecord.LogRecord{Seq: seq}, index: map[string]uint64{}, of: map[*jobstate.Job]int{}, size: 64, chunks: map[*jobstate.Chunk]struct{}{}}
}

// Bytes, at most, of a record's parts as JSON.
const (
	numberBytes = 8
	entryBytes  = 40
)

// add takes a change that still matters into the record.
func (b *recordBuilder) add(c jobstate.Change) {
	placement := c.Placement
	i, ok := b.of[placement.Job]
	if !ok {
		i = len(b.rec.Jobs)
		b.of[placement.Job] = i
		b.rec.Jobs = append(b.rec.Jobs, jobrecord.JobEntry{UID: placement.Job.Spec.UID})
		b.size += entryBytes + len(placement.Job.Spec.UID)
	}
	e := &b.rec.Jobs[i]
	switch c.Kind {
	case jobstate.PlacementAdded:
		m, ok := b.index[placement.Worker.Name]
		if !ok {
			m = uint64(len(b.rec.Machines))
			b.index[placement.Worker.Name] = m
			b.rec.Machines = append(b.rec.Machines, placement.Worker.Name)
			b.size += len(placement.Worker.Name) + 3
		}
		e.Places = append(e.Places, uint64(placement.Task), placement.Attempt, m)
		b.size += 3 * numberBytes
		placement.InStore = true
	case jobstate.PlacementRemoved:
		e.Gone = append(e.Gone, uint64(placement.Task), placement.Attempt)
		b.size += 2 * numberBytes
	case jobstate.TaskFinished:
		if f, failed := placement.Chunk.Failed[placement.Task]; failed {
			e.Failed = append(e.Failed, f.Triple(placement.Task)...)
			b.size += 2 * numberBytes
		} else {
			e.Done = append(e.Done, uint64(placement.Task))
		}
		b.size += numberBytes
	}
	b.chunks[placement.Chunk] = struct{}{}
	b.changes = append(b.changes, c)
}

// matters reports whether a change still needs recording.
func (w *Writer) matters(c jobstate.Change) bool {
	placement := c.Placement
	if placement.Chunk.Closed || placement.Job.EndStage != "" {
		return false // the end's record says it all
	}
	_, attached := placement.Worker.Placements[placement]
	switch c.Kind {
	case jobstate.PlacementAdded:
		return attached && placement.State == jobstate.PlacementRecording && !placement.Exited
	case jobstate.PlacementRemoved:
		return !placement.Job.Cancelled && !placement.Chunk.IsDone(placement.Task)
	}
	return attached
}
