package shardlog

import (
	"fmt"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	maxTxnBytes       = 56 << 10 // less than the state service's size limit of a transaction
	maxEndBytes       = 200      // upper bound for a job's end, without its accounting row and the keys that it changes
	maxEndChangeBytes = 80       // upper bound for each key that a job's end changes
	minEndChanges     = 2        // keys that every job's end changes: the live record is deleted and the final record written
)

// transactionBuilder collects unwritten changes into one transaction.
type transactionBuilder struct {
	*transaction
	writer          *Writer
	maxOps          int          // maximum number of operations besides the one for the accounting page
	maxValueBytes   int          // maximum size of one value
	bytes           int          // upper bound of the transaction's size so far
	pageBytesLeft   int          // bytes available on the accounting page
	hasMore         bool         // changes are left for the next transaction
	attemptRowsLeft bool         // rows of attempts are left; they must precede the rows of their jobs
	guardedShards   map[int]bool // shards whose leadership is guarded
}

// buildTransaction builds a transaction from unwritten changes. It returns nil if there is
// nothing to write. Chunk records of ended jobs are deleted only when there is nothing else to
// write.
func (w *Writer) buildTransaction() (txn *transaction, more bool, err error) {
	b := &transactionBuilder{
		transaction: &transaction{}, writer: w, maxOps: w.state.Platform.Params.State.TxnOps,
		maxValueBytes: w.maxValueBytes(), guardedShards: map[int]bool{},
	}
	if w.pageBuilder != nil {
		b.reservePage()
	}
	if err := b.addLogs(); err != nil {
		return nil, false, err
	}
	b.addEnds()
	if len(b.ops) == 0 && len(b.rows) == 0 {
		b.addChunkDeletions()
	}
	if len(b.rows) > 0 {
		b.addPage()
	}
	if len(b.ops) == 0 {
		return nil, b.hasMore, nil
	}
	return b.transaction, b.hasMore, nil
}

// reservePage reserves an operation for the accounting page and takes the rows that belong to
// no change.
func (b *transactionBuilder) reservePage() {
	unattached := b.writer.state.StandaloneRows
	b.maxOps--
	b.pageBytesLeft = b.writer.pageBuilder.Capacity()
	b.bytes += b.maxValueBytes
	taken := 0
	for taken < len(unattached) && b.pageBytesLeft >= unattached[taken].MaxEncodedBytes() {
		b.pageBytesLeft -= unattached[taken].MaxEncodedBytes()
		taken++
	}
	b.unattachedRowsTaken = taken
	b.rows = append(b.rows, unattached[:taken]...)
	b.hasMore = taken < len(unattached)
	b.attemptRowsLeft = b.hasMore
}

// guardShard adds the guard that this controller still leads the shard.
func (b *transactionBuilder) guardShard(shard int) {
	if !b.guardedShards[shard] {
		b.guardedShards[shard] = true
		b.guards = append(b.guards, wire.Guard{Key: b.writer.state.Membership.ShardKey(shard), Version: b.writer.state.Loaded[shard]})
	}
}

// guardAllShards adds the guards that this controller still leads all its shards.
func (b *transactionBuilder) guardAllShards() {
	for shard := range b.writer.state.Loaded {
		b.guardShard(shard)
	}
}

// put adds the write of a record, guarded by the current version of its key.
func (b *transactionBuilder) put(key string, version uint64, record any) error {
	data, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	b.bytes += len(data)
	b.guards = append(b.guards, wire.Guard{Key: key, Version: version})
	b.ops = append(b.ops, wire.Op{Put: key, Value: json.RawMessage(data)})
	return nil
}

// addLogs adds a log record for each shard with unwritten changes.
func (b *transactionBuilder) addLogs() error {
	for shard, queue := range b.writer.state.UnwrittenChanges {
		if _, leads := b.writer.state.Loaded[shard]; !leads || len(queue) == 0 {
			continue
		}
		if len(b.ops) >= b.maxOps || b.bytes+b.maxValueBytes > maxTxnBytes {
			b.hasMore = true
			break
		}
		shardLog := b.writer.logOf(shard)
		record := b.takeChanges(shard, shardLog)
		if len(record.changes) == 0 {
			b.unloggedChanges = append(b.unloggedChanges, record.rowChanges...)
			continue
		}
		if err := b.addLog(shard, shardLog, record); err != nil {
			return err
		}
	}
	return nil
}

// takeChanges takes as many of a shard's unwritten changes as fit into a log record, and their
// accounting rows as far as the page has room.
func (b *transactionBuilder) takeChanges(shard int, shardLog *Log) *recordBuilder {
	queue := b.writer.state.UnwrittenChanges[shard]
	record := newRecordBuilder(shardLog.seq + 1)
	taken := 0
	for _, change := range queue {
		if record.bytes >= b.maxValueBytes || change.Row != nil && b.pageBytesLeft < change.Row.MaxEncodedBytes() {
			break
		}
		if change.Row != nil {
			b.pageBytesLeft -= change.Row.MaxEncodedBytes()
			b.rows = append(b.rows, *change.Row)
			record.rowChanges = append(record.rowChanges, change)
		}
		taken++
		if b.writer.needsRecord(change) {
			record.add(change)
		}
	}
	queue = append([]jobstate.Change(nil), queue[taken:]...)
	b.writer.state.UnwrittenChanges[shard] = queue
	b.hasMore = b.hasMore || len(queue) > 0
	b.attemptRowsLeft = b.attemptRowsLeft || b.writer.pageBuilder != nil && len(queue) > 0
	return record
}

// addLog adds the write of a shard's log record. It overwrites the oldest record if no chunk
// needs that one any more, and uses a new slot otherwise.
func (b *transactionBuilder) addLog(shard int, shardLog *Log, record *recordBuilder) error {
	record.includeRowChanges()
	record.logRecord.QuotaMark = b.writer.quota.Mark(shard)
	shardLog.seq++
	b.guardShard(shard)
	write := logWrite{shard: shard, log: shardLog, seq: shardLog.seq, changes: record.changes, chunks: record.chunks}
	if len(shardLog.slots) >= b.writer.maxSlots && !shardLog.slots[0].dropSavedChunks() {
		if err := b.saveOldestChunks(shardLog); err != nil {
			return err
		}
	}
	if len(shardLog.slots) > 0 && shardLog.slots[0].dropSavedChunks() {
		write.slot = shardLog.slots[0]
	} else {
		write.slot, write.slotIsNew = &logSlot{number: shardLog.nextSlot}, true
	}
	if err := b.put(jobrecord.LogKey(shard, write.slot.number), write.slot.version, record.logRecord); err != nil {
		return err
	}
	b.logWrites = append(b.logWrites, write)
	return nil
}

// saveOldestChunks adds chunk records for the chunks that still need the shard's oldest log
// record, as many as fit into the transaction.
func (b *transactionBuilder) saveOldestChunks(shardLog *Log) error {
	for chunk := range shardLog.slots[0].chunks {
		if chunk.Job.EndStage != "" {
			// The job's end releases the slot. The end may be part of this very transaction and
			// would not delete a chunk record saved now, so the chunk record would remain.
			continue
		}
		if len(b.ops) >= b.maxOps/2 || b.bytes+2*b.maxValueBytes > maxTxnBytes {
			break
		}
		for _, placement := range chunk.Placements {
			placement.InStore = true
		}
		if err := b.put(jobrecord.ChunkKey(chunk.Job.Spec.UID, chunk.Number), chunk.Version, chunk.Record(shardLog.seq)); err != nil {
			return err
		}
		b.chunkSaves = append(b.chunkSaves, chunkSave{chunk, shardLog.seq})
	}
	return nil
}

// addEnds adds the ends of jobs that have ended, as many as fit into the transaction.
func (b *transactionBuilder) addEnds() {
	for _, job := range b.writer.state.JobOrder {
		if job.EndStage == "" {
			continue
		}
		var row accounting.Row
		if b.writer.pageBuilder != nil {
			row = b.writer.state.JobRow(job)
			if b.attemptRowsLeft || b.pageBytesLeft < row.MaxEncodedBytes() {
				b.hasMore = true // the rows of its attempts must be written first
				continue
			}
		}
		changes := b.countEndChanges(job)
		bytes := maxEndBytes + maxEndChangeBytes*changes
		if len(b.ops)+changes > b.maxOps || b.bytes+bytes > maxTxnBytes {
			b.hasMore = true
			continue
		}
		b.bytes += bytes
		b.addEnd(job, changes)
		if b.writer.pageBuilder != nil {
			b.pageBytesLeft -= row.MaxEncodedBytes()
			b.rows = append(b.rows, row)
		}
	}
}

// countEndChanges returns the number of keys that the transaction changes for a job's end,
// limited by the operations that a transaction may have.
func (b *transactionBuilder) countEndChanges(job *jobstate.Job) int {
	changes := minEndChanges
	for _, chunk := range job.Chunks {
		if chunk.Version != 0 && changes < b.maxOps {
			changes++
		}
	}
	return changes
}

// addEnd adds a job's end with at most the given number of changed keys. Chunk records beyond
// that number are deleted later.
func (b *transactionBuilder) addEnd(job *jobstate.Job, changes int) {
	b.guardShard(job.Shard)
	uid := job.Spec.UID
	final := jobrecord.FinalRecord{Stage: job.EndStage, Done: job.Done, Ending: b.writer.state.EndStateOf(job)}
	b.guards = append(b.guards, wire.Guard{Key: jobrecord.LivePrefix + uid, Version: job.Version})
	b.ops = append(b.ops, wire.Op{Put: jobrecord.FinalPrefix + uid, Value: final}, wire.Op{Delete: jobrecord.LivePrefix + uid})
	left := changes - minEndChanges
	for _, chunk := range job.Chunks {
		if chunk.Version != 0 && left > 0 {
			left--
			b.ops = append(b.ops, wire.Op{Delete: jobrecord.ChunkKey(uid, chunk.Number)})
		}
	}
	job.EndWriteSent = true
	b.endedJobs = append(b.endedJobs, job)
}

// addChunkDeletions adds deletions of queued chunk records of ended jobs.
func (b *transactionBuilder) addChunkDeletions() {
	for b.chunkDeletionsTaken < len(b.writer.chunkDeletions) && len(b.ops) < b.maxOps {
		b.ops = append(b.ops, wire.Op{Delete: b.writer.chunkDeletions[b.chunkDeletionsTaken]})
		b.chunkDeletionsTaken++
	}
	b.guardAllShards()
}

// addPage adds the accounting page with the rows. Rows that can't be encoded are logged and
// dropped, so that they do not block scheduling.
func (b *transactionBuilder) addPage() {
	builder := b.writer.pageBuilder
	page, err := builder.Add(b.rows, time.Now())
	b.page = page
	if err != nil {
		b.writer.log.Error("accounting rows lost", "rows", len(b.rows), "err", err)
		return
	}
	b.pageBuilder = builder
	if len(b.guards) == 0 {
		b.guardAllShards()
	}
	b.guards = append(b.guards, wire.Guard{Key: page.Key, Version: page.Version})
	b.ops = append(b.ops, wire.Op{Put: page.Key, Value: page.Value})
}
