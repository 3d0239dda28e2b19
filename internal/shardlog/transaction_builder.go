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
	txnBytes       = 56 << 10 // below the state service's limit for a transaction
	endBytes       = 200      // upper bound of what a job's end writes besides its accounting row
	endChangeBytes = 80       // for each key that the end changes
	endChangesMin  = 2        // the living record is deleted, the final one written
)

// transactionBuilder collects what is to be written into one transaction.
type transactionBuilder struct {
	*transaction
	writer        *Writer
	maxOps        int          // changes that the transaction may have besides the accounting page
	maxValueBytes int          // that one value may have
	bytes         int          // so far, as an upper bound
	pageBytesLeft int          // on the accounting page
	more          bool         // something is left for the next transaction
	rowsLeft      bool         // rows of attempts are left, which must precede the rows of their jobs
	guardedShards map[int]bool // shards whose leadership is a condition
}

// buildTransaction makes a transaction of what is to be written; nil if there is nothing.
// Garbage is deleted only when there is nothing else.
func (w *Writer) buildTransaction() (txn *transaction, more bool, err error) {
	b := &transactionBuilder{
		transaction: &transaction{}, writer: w, maxOps: w.state.Platform.Params.State.TxnOps,
		maxValueBytes: w.maxValueBytes(), guardedShards: map[int]bool{},
	}
	if w.book != nil {
		b.startPage()
	}
	if err := b.addLogs(); err != nil {
		return nil, false, err
	}
	b.addEnds()
	if len(b.ops) == 0 && len(b.rows) == 0 {
		b.addGarbage()
	}
	if len(b.rows) > 0 {
		b.addPage()
	}
	if len(b.ops) == 0 {
		return nil, b.more, nil
	}
	return b.transaction, b.more, nil
}

// startPage reserves a change for the accounting page, and takes the rows that belong to
// no change.
func (b *transactionBuilder) startPage() {
	unattached := b.writer.state.UnattachedRows
	b.maxOps--
	b.pageBytesLeft = b.writer.book.Capacity()
	b.bytes += b.maxValueBytes
	taken := 0
	for taken < len(unattached) && b.pageBytesLeft >= unattached[taken].MaxEncodedBytes() {
		b.pageBytesLeft -= unattached[taken].MaxEncodedBytes()
		taken++
	}
	b.unattachedRowsTaken = taken
	b.rows = append(b.rows, unattached[:taken]...)
	b.more = taken < len(unattached)
	b.rowsLeft = b.more
}

// guardShard makes it a condition that this controller still leads the shard.
func (b *transactionBuilder) guardShard(shard int) {
	if !b.guardedShards[shard] {
		b.guardedShards[shard] = true
		b.guards = append(b.guards, wire.Guard{Key: b.writer.state.Membership.ShardKey(shard), Version: b.writer.state.Loaded[shard]})
	}
}

// guardAllShards makes it a condition that this controller still leads all its shards.
func (b *transactionBuilder) guardAllShards() {
	for shard := range b.writer.state.Loaded {
		b.guardShard(shard)
	}
}

// put writes a record whose key must have the version.
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

// addLogs adds a log record for each shard that has something to record.
func (b *transactionBuilder) addLogs() error {
	for shard, queue := range b.writer.state.Unwritten {
		if _, leads := b.writer.state.Loaded[shard]; !leads || len(queue) == 0 {
			continue
		}
		if len(b.ops) >= b.maxOps || b.bytes+b.maxValueBytes > txnBytes {
			b.more = true
			break
		}
		shardLog := b.writer.logOf(shard)
		record := b.takeQueue(shard, shardLog)
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

// takeQueue takes queued changes of a shard that fit a log record, and their rows.
func (b *transactionBuilder) takeQueue(shard int, shardLog *Log) *recordBuilder {
	queue := b.writer.state.Unwritten[shard]
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
	b.writer.state.Unwritten[shard] = queue
	b.more = b.more || len(queue) > 0
	b.rowsLeft = b.rowsLeft || b.writer.book != nil && len(queue) > 0
	return record
}

// addLog adds a shard's log record, over the oldest one if that is not needed any more.
func (b *transactionBuilder) addLog(shard int, shardLog *Log, record *recordBuilder) error {
	record.keepRowChanges()
	record.logRecord.QuotaMark = b.writer.quota.Mark(shard)
	shardLog.seq++
	b.guardShard(shard)
	write := logWrite{shard: shard, log: shardLog, seq: shardLog.seq, changes: record.changes, chunks: record.chunks}
	if len(shardLog.slots) >= b.writer.maxSlots && !shardLog.slots[0].release() {
		if err := b.saveOldest(shardLog); err != nil {
			return err
		}
	}
	if len(shardLog.slots) > 0 && shardLog.slots[0].release() {
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

// saveOldest saves chunks that a shard's oldest log record is still needed for, as many
// as fit.
func (b *transactionBuilder) saveOldest(shardLog *Log) error {
	for chunk := range shardLog.slots[0].chunks {
		if chunk.Job.EndStage != "" {
			// The job's end frees the slot. That end, maybe in this very transaction,
			// would not delete a chunk record saved now, and the record would stay.
			continue
		}
		if len(b.ops) >= b.maxOps/2 || b.bytes+2*b.maxValueBytes > txnBytes {
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

// addEnds adds the ends of jobs that are over.
func (b *transactionBuilder) addEnds() {
	for _, job := range b.writer.state.JobOrder {
		if job.EndStage == "" {
			continue
		}
		var row accounting.Row
		if b.writer.book != nil {
			row = b.writer.state.JobRow(job)
			if b.rowsLeft || b.pageBytesLeft < row.MaxEncodedBytes() {
				b.more = true // its attempts' rows come first
				continue
			}
		}
		changes := b.endChanges(job)
		bytes := endBytes + endChangeBytes*changes
		if len(b.ops)+changes > b.maxOps || b.bytes+bytes > txnBytes {
			b.more = true
			continue
		}
		b.bytes += bytes
		b.addEnd(job, changes)
		if b.writer.book != nil {
			b.pageBytesLeft -= row.MaxEncodedBytes()
			b.rows = append(b.rows, row)
		}
	}
}

// endChanges is how many keys a job's end changes in its transaction.
func (b *transactionBuilder) endChanges(job *jobstate.Job) int {
	changes := endChangesMin
	for _, chunk := range job.Chunks {
		if chunk.Version != 0 && changes < b.maxOps {
			changes++
		}
	}
	return changes
}

// addEnd adds a job's end, with at most so many changes. Chunk records beyond them are
// deleted later.
func (b *transactionBuilder) addEnd(job *jobstate.Job, changes int) {
	b.guardShard(job.Shard)
	uid := job.Spec.UID
	final := jobrecord.FinalRecord{Stage: job.EndStage, Done: job.Done, Ending: b.writer.state.EndStateOf(job)}
	b.guards = append(b.guards, wire.Guard{Key: jobrecord.LivePrefix + uid, Version: job.Version})
	b.ops = append(b.ops, wire.Op{Put: jobrecord.FinalPrefix + uid, Value: final}, wire.Op{Delete: jobrecord.LivePrefix + uid})
	left := changes - endChangesMin
	for _, chunk := range job.Chunks {
		if chunk.Version != 0 && left > 0 {
			left--
			b.ops = append(b.ops, wire.Op{Delete: jobrecord.ChunkKey(uid, chunk.Number)})
		}
	}
	job.EndWriteSent = true
	b.endedJobs = append(b.endedJobs, job)
}

// addGarbage deletes chunk records of ended jobs.
func (b *transactionBuilder) addGarbage() {
	for b.garbageTaken < len(b.writer.garbage) && len(b.ops) < b.maxOps {
		b.ops = append(b.ops, wire.Op{Delete: b.writer.garbage[b.garbageTaken]})
		b.garbageTaken++
	}
	b.guardAllShards()
}

// addPage adds the accounting page with the rows. Rows that can't be written are lost:
// scheduling does not stop for them.
func (b *transactionBuilder) addPage() {
	book := b.writer.book
	page, err := book.Add(b.rows, time.Now())
	b.page = page
	if err != nil {
		b.writer.log.Error("accounting rows lost", "rows", len(b.rows), "err", err)
		return
	}
	b.book = book
	if len(b.guards) == 0 {
		b.guardAllShards()
	}
	b.guards = append(b.guards, wire.Guard{Key: page.Key, Version: page.Version})
	b.ops = append(b.ops, wire.Op{Put: page.Key, Value: page.Value})
}
