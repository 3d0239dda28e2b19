// Package shardlog implements the write-ahead log of a leader's shards in the state service.
// Changes to the tasks of many jobs share one log record. A chunk of tasks gets its own record,
// a checkpoint, only when the oldest log record that names the chunk is overwritten.
//
// The Writer builds transactions from the unwritten changes in the state, one at a time. Each
// transaction is guarded by the shard's key and by the versions of the keys that it changes,
// and its outcome is applied to the state. After a failover the Writer replays the records of
// the predecessor, which its caller lists. It does not decide which tasks are placed or started.
package shardlog

import (
	"log/slog"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/quota"
)

// Writer writes and replays the logs of this leader's shards. Its fields are guarded by the
// state's Mu: Run and WriteOnce lock it and release it while they wait for the state service;
// the other methods must be called with it locked.
type Writer struct {
	state *jobstate.State
	store jobrecord.Store
	quota *quota.Manager
	log   *slog.Logger

	maxSlots         int // log records that a shard keeps before the oldest is overwritten
	logs             map[int]*Log
	pending          *transaction            // transaction whose outcome is unknown; nil: none
	chunkDeletions   []string                // keys of chunk records of ended jobs, to be deleted
	finalRecordOrder []string                // keys of state.FinalRecords, oldest first
	pageBuilder      *accounting.PageBuilder // nil: no accounting rows are written
}

// New returns a writer without shards. maxSlots is the number of log records that a shard keeps
// before the oldest is overwritten; 0: DefaultSlots.
func New(state *jobstate.State, store jobrecord.Store, quota *quota.Manager, maxSlots int, log *slog.Logger) *Writer {
	if maxSlots == 0 {
		maxSlots = DefaultSlots
	}
	return &Writer{state: state, store: store, quota: quota, log: log, maxSlots: maxSlots, logs: map[int]*Log{}}
}

// AddLogs starts writing to the logs that ReadLogs has read. The shards' jobs must have been
// admitted.
func (w *Writer) AddLogs(logs map[int]*Log) {
	for shard, shardLog := range logs {
		delete(w.state.UnwrittenChanges, shard)
		w.logs[shard] = shardLog
		for _, slot := range shardLog.slots {
			w.resolveChunks(slot)
		}
	}
}

// ForgetLog discards the log of a shard that was lost, and the shard's unwritten changes.
func (w *Writer) ForgetLog(shard int) {
	delete(w.logs, shard)
	delete(w.state.UnwrittenChanges, shard)
}

// QueueChunkDeletions queues chunk records of ended jobs for deletion. They are deleted when
// there is nothing else to write.
func (w *Writer) QueueChunkDeletions(keys ...string) {
	w.chunkDeletions = append(w.chunkDeletions, keys...)
}

// StartAccounting starts writing accounting pages under a fencing token.
func (w *Writer) StartAccounting(token uint64) {
	w.pageBuilder = accounting.NewPageBuilder(token, w.maxValueBytes())
}

// maxValueBytes returns the maximum size in bytes of a value that this leader writes.
func (w *Writer) maxValueBytes() int { return jobrecord.MaxRecordBytes(w.state.Platform) }
