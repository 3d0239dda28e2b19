package shardlog

import (
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
)

// Upper bounds in bytes of the JSON encoding of a record's parts.
const (
	emptyRecordBytes = 64
	numberBytes      = 8
	entryBytes       = 40
	quoteBytes       = 3 // quotes and comma of a string in a list
)

// recordBuilder collects changes into one log record of limited size.
type recordBuilder struct {
	logRecord   jobrecord.LogRecord
	workerIndex map[string]uint64     // worker name -> its index in the record
	entryIndex  map[*jobstate.Job]int // job -> index of its entry in the record
	bytes       int                   // upper bound of the record's encoded size
	changes     []jobstate.Change
	chunks      map[*jobstate.Chunk]struct{} // chunks named by the record
	rowChanges  []jobstate.Change            // changes whose accounting rows were taken, whether or not the record includes them
}

func newRecordBuilder(seq uint64) *recordBuilder {
	return &recordBuilder{
		logRecord: jobrecord.LogRecord{Seq: seq}, workerIndex: map[string]uint64{}, entryIndex: map[*jobstate.Job]int{},
		bytes: emptyRecordBytes, chunks: map[*jobstate.Chunk]struct{}{},
	}
}

// includeRowChanges adds the changes of which only the accounting rows were taken, so that undo
// restores them as well.
func (b *recordBuilder) includeRowChanges() {
	if len(b.rowChanges) == 0 {
		return
	}
	kept := map[*jobstate.Placement]bool{}
	for _, change := range b.changes {
		kept[change.Placement] = true
	}
	for _, change := range b.rowChanges {
		if !kept[change.Placement] {
			b.changes = append(b.changes, change)
		}
	}
}

// add adds a change to the record.
func (b *recordBuilder) add(change jobstate.Change) {
	placement := change.Placement
	entry := b.entryOf(placement.Job)
	task := uint64(placement.Task)
	switch change.Kind {
	case jobstate.PlacementAdded:
		entry.Placements = append(entry.Placements, task, placement.Attempt, b.workerIndexOf(placement.Worker.Name))
		b.bytes += 3 * numberBytes
		placement.InStore = true
	case jobstate.PlacementRemoved:
		entry.Removed = append(entry.Removed, task, placement.Attempt)
		b.bytes += 2 * numberBytes
	case jobstate.TaskFinished:
		if failure, failed := placement.Chunk.Failed[placement.Task]; failed {
			entry.Failed = append(entry.Failed, failure.Triple(placement.Task)...)
			b.bytes += 2 * numberBytes
		} else {
			entry.Done = append(entry.Done, task)
		}
		b.bytes += numberBytes
	}
	b.chunks[placement.Chunk] = struct{}{}
	b.changes = append(b.changes, change)
}

// entryOf returns the job's entry in the record, and adds it if needed. The pointer is valid
// until the next call.
func (b *recordBuilder) entryOf(job *jobstate.Job) *jobrecord.JobEntry {
	i, ok := b.entryIndex[job]
	if !ok {
		i = len(b.logRecord.Jobs)
		b.entryIndex[job] = i
		b.logRecord.Jobs = append(b.logRecord.Jobs, jobrecord.JobEntry{UID: job.Spec.UID})
		b.bytes += entryBytes + len(job.Spec.UID)
	}
	return &b.logRecord.Jobs[i]
}

// workerIndexOf returns the worker's index in the record, and adds the worker if needed.
func (b *recordBuilder) workerIndexOf(worker string) uint64 {
	i, ok := b.workerIndex[worker]
	if !ok {
		i = uint64(len(b.logRecord.Workers))
		b.workerIndex[worker] = i
		b.logRecord.Workers = append(b.logRecord.Workers, worker)
		b.bytes += len(worker) + quoteBytes
	}
	return i
}

// needsRecord reports whether a change must still be recorded.
func (w *Writer) needsRecord(change jobstate.Change) bool {
	placement := change.Placement
	if placement.Chunk.Closed || placement.Job.EndStage != "" {
		return false // the record of the job's end covers it
	}
	_, attached := placement.Worker.Placements[placement]
	switch change.Kind {
	case jobstate.PlacementAdded:
		return attached && placement.State == jobstate.PlacementRecording && !placement.Exited
	case jobstate.PlacementRemoved:
		return !placement.Job.Cancelled && !placement.Chunk.IsOver(placement.Task)
	}
	return attached
}
