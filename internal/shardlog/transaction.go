package shardlog

import (
	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

// transaction is one write to the state service and what it was made of. It is kept until
// its outcome is known, so that it can be repeated, acted on or undone.
type transaction struct {
	guards     []wire.Guard
	ops        []wire.Op
	logWrites  []logWrite
	chunkSaves []chunkSave
	endedJobs  []*jobstate.Job

	book                *accounting.PageBuilder // of page
	page                accounting.PageWrite
	rows                []accounting.Row  // on page
	unloggedChanges     []jobstate.Change // of which only the rows are written
	unattachedRowsTaken int               // rows taken from the front of state.LooseRows
	garbageTaken        int               // keys taken from the front of Writer.garbage
}

// logWrite is a transaction's write of one log record.
type logWrite struct {
	shard     int
	log       *Log
	slot      *logSlot
	slotIsNew bool // the slot's key has not been written before
	seq       uint64
	changes   []jobstate.Change
	chunks    map[*jobstate.Chunk]struct{}
}

// chunkSave is a transaction's write of one chunk record, as of log record seq.
type chunkSave struct {
	chunk *jobstate.Chunk
	seq   uint64
}
