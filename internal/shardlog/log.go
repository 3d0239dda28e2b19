package shardlog

import (
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
)

// defaultSlots is how many log records a shard keeps before it saves the chunks
// that the oldest one names, so that it can be written over. Most jobs end
// before that, and never get chunk records.
const DefaultSlots = 512

// logSlot is a key of a shard's log and what stands in it.
type logSlot struct {
	n       int
	version uint64
	seq     uint64
	chunks  map[*jobstate.Chunk]struct{} // named by the record
	read    jobrecord.LogRecord          // of a predecessor, until its chunks are known
}

// free reports whether nothing needs the record any more.
func (s *logSlot) free() bool {
	for chunk := range s.chunks {
		if chunk.Closed || chunk.SavedSeq >= s.seq {
			delete(s.chunks, chunk)
		}
	}
	return len(s.chunks) == 0
}

// Log is the log of a shard: its records, oldest first.
type Log struct {
	seq   uint64
	next  int // number of the next new slot
	slots []*logSlot
}

func (w *Writer) logOf(shard int) *Log {
	l := w.logs[shard]
	if l == nil {
		l = &Log{}
		w.logs[shard] = l
	}
	return l
}
