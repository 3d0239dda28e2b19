// Package shardlog is the write-ahead log of a leader's shards in the state service. Changes
// to the tasks of many jobs share one log record; a chunk of tasks gets a record of its own, a
// checkpoint, only when the oldest log record that names it is written over.
//
// The Writer makes transactions of what the state notes as unwritten, one at a time, each
// guarded by the shard's key and the versions of what it changes, and applies their outcome
// to the state. After a failover it replays the records that a predecessor left. It does not
// decide what is placed or started, and does not list the records that it replays.
package shardlog

import (
	"log/slog"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/quota"
)

// Writer writes and replays the logs of this leader's shards. Its fields are guarded by the
// state's Mu: Run and WriteOnce take it and release it while they wait for the state service,
// the other methods are called with it held.
type Writer struct {
	state *jobstate.State
	store jobrecord.Store
	quota *quota.Manager
	log   *slog.Logger

	maxSlots         int // log records of a shard that are kept before they are written over
	logs             map[int]*Log
	pending          *transaction // its outcome is unknown
	chunkDeletions   []string     // keys of chunk records of ended jobs
	finalRecordOrder []string     // keys of state.Final, oldest first
	pageBuilder      *accounting.PageBuilder
}

// New returns a writer without shards. A shard keeps maxSlots log records before they are
// written over; 0: DefaultSlots.
func New(state *jobstate.State, store jobrecord.Store, quota *quota.Manager, maxSlots int, log *slog.Logger) *Writer {
	if maxSlots == 0 {
		maxSlots = DefaultSlots
	}
	return &Writer{state: state, store: store, quota: quota, log: log, maxSlots: maxSlots, logs: map[int]*Log{}}
}

// AddLogs goes on with the logs of shards that ReadLogs has read, once their jobs are
// admitted.
func (w *Writer) AddLogs(logs map[int]*Log) {
	for shard, shardLog := range logs {
		delete(w.state.Unwritten, shard)
		w.logs[shard] = shardLog
		for _, slot := range shardLog.slots {
			w.resolveChunks(slot)
		}
	}
}

// ForgetLog forgets the log of a shard that was lost, and its unwritten changes.
func (w *Writer) ForgetLog(shard int) {
	delete(w.logs, shard)
	delete(w.state.Unwritten, shard)
}

// QueueChunkDeletions queues chunk records of ended jobs for deletion, which happens when there is
// nothing else to write.
func (w *Writer) QueueChunkDeletions(keys ...string) {
	w.chunkDeletions = append(w.chunkDeletions, keys...)
}

// StartAccounting begins a book of accounting pages under a fencing token.
func (w *Writer) StartAccounting(token uint64) {
	w.pageBuilder = accounting.NewPageBuilder(token, w.maxValueBytes())
}

// maxValueBytes is how long a value that this leader writes may be.
func (w *Writer) maxValueBytes() int { return jobrecord.MaxRecordBytes(w.state.Platform) }
