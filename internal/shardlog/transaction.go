package shardlog

import (
	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

// transaction is one write to the state service, with the changes that it records. It is kept
// until its outcome is known, so that it can be repeated, committed or undone.
type transaction struct {
	guards     []wire.Guard
	ops        []wire.Op
	logWrites  []logWrite
	chunkSaves []chunkSave
	endedJobs  []*jobstate.Job

	pageBuilder         *accounting.PageBuilder // builder of page
	page                accounting.PageWrite
	rows                []accounting.Row  // rows on page
	unloggedChanges     []jobstate.Change // changes of which only the accounting rows are written
	unattachedRowsTaken int               // number of rows taken from the front of state.StandaloneRows
	chunkDeletionsTaken int               // number of keys taken from the front of Writer.chunkDeletions
}

// logWrite is the write of one log record in a transaction.
type logWrite struct {
	shard     int
	log       *Log
	slot      *logSlot
	slotIsNew bool // the slot's key was never written
	seq       uint64
	changes   []jobstate.Change
	chunks    map[*jobstate.Chunk]struct{}
}

// chunkSave is the write of one chunk record in a transaction. The record covers the shard's
// log up to record seq.
type chunkSave struct {
	chunk *jobstate.Chunk
	seq   uint64
}
