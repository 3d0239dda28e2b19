package shardlog

import (
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
)

// DefaultSlots is the default number of log records that a shard keeps. Before the oldest
// record is overwritten, the chunks that it names are saved. Most jobs end earlier and never
// get chunk records.
const DefaultSlots = 512

// logSlot is a key of a shard's log and the record stored under it.
type logSlot struct {
	number            int // in the key
	version           uint64
	seq               uint64
	chunks            map[*jobstate.Chunk]struct{} // named by the record, and not yet covered by a chunk record
	predecessorRecord jobrecord.LogRecord          // as written by a predecessor, until its chunks are resolved
}

// dropSavedChunks drops the chunks that no longer need the record, and reports whether no chunk
// needs it.
func (s *logSlot) dropSavedChunks() bool {
	for chunk := range s.chunks {
		if chunk.Closed || chunk.SavedSeq >= s.seq {
			delete(s.chunks, chunk)
		}
	}
	return len(s.chunks) == 0
}

// Log is the log of a shard.
type Log struct {
	seq      uint64     // sequence number of the last record
	nextSlot int        // number of the next slot to create
	slots    []*logSlot // oldest record first
}

// logOf returns the log of a shard, and creates an empty one if there is none.
func (w *Writer) logOf(shard int) *Log {
	shardLog := w.logs[shard]
	if shardLog == nil {
		shardLog = &Log{}
		w.logs[shard] = shardLog
	}
	return shardLog
}
