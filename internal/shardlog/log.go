package shardlog

import (
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
)

// DefaultSlots is how many log records a shard keeps before it saves the chunks that the
// oldest one names, so that it can be written over. Most jobs end before that and never get
// chunk records.
const DefaultSlots = 512

// logSlot is a key of a shard's log and what is stored under it.
type logSlot struct {
	number            int // in the key
	version           uint64
	seq               uint64
	chunks            map[*jobstate.Chunk]struct{} // named by the record
	predecessorRecord jobrecord.LogRecord          // of a predecessor, until its chunks are known
}

// dropSavedChunks drops the chunks that no longer need the record, and reports whether none is left.
func (s *logSlot) dropSavedChunks() bool {
	for chunk := range s.chunks {
		if chunk.Closed || chunk.SavedSeq >= s.seq {
			delete(s.chunks, chunk)
		}
	}
	return len(s.chunks) == 0
}

// Log is the log of a shard: its records, oldest first.
type Log struct {
	seq      uint64 // of the last record
	nextSlot int    // number of the next new slot
	slots    []*logSlot
}

// logOf returns the log of a shard, an empty one if there was none.
func (w *Writer) logOf(shard int) *Log {
	shardLog := w.logs[shard]
	if shardLog == nil {
		shardLog = &Log{}
		w.logs[shard] = shardLog
	}
	return shardLog
}
