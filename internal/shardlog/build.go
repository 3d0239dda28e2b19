package shardlog

import (
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

// Bytes, at most, of what a job's end writes besides its accounting row.
const (
	endBytes       = 200
	endChangeBytes = 80 // for each changed key
)

// transactionBuilder gathers what is to be written into one transaction.
type transactionBuilder struct {
	*Transaction
	writer  *Writer
	maxOps  int          // changes that the transaction may have, the accounting page's apart
	value   int          // bytes that a value may have
	size    int          // bytes so far
	room    int          // bytes that are left on the accounting page
	more    bool         // something is left for the next transaction
	short   bool         // rows are left that must come before their jobs' own
	guarded map[int]bool // shards whose ownership is a condition
}

// build gathers what is to be written into a transaction; nil if there is
// nothing.
func (w *Writer) build() (b *Transaction, more bool, err error) {
	t := &transactionBuilder{Transaction: &Transaction{}, writer: w, maxOps: w.state.Platform.Params.State.TxnOps, value: w.valueBytes(), guarded: map[int]bool{}}
	if w.book != nil {
		t.startPage()
	}
	if err := t.addLogs(); err != nil {
		return nil, false, err
	}
	t.addEnds()
	if len(t.ops) == 0 && len(t.rows) == 0 {
		t.addGarbage()
	}
	if len(t.rows) > 0 {
		t.addPage()
	}
	if len(t.ops) == 0 {
		return nil, t.more, nil
	}
	return t.Transaction, t.more, nil
}

// startPage keeps a change for the accounting page, and takes the rows that belong to
// no change.
func (t *transactionBuilder) startPage() {
	loose := t.writer.state.LooseRows
	t.maxOps--
	t.room = t.writer.book.Room()
	t.size += t.value
	for t.looseTaken < len(loose) && t.room >= loose[t.looseTaken].Bytes() {
		t.room -= loose[t.looseTaken].Bytes()
		t.looseTaken++
	}
	t.rows = append(t.rows, loose[:t.looseTaken]...)
	t.more = t.looseTaken < len(loose)
	t.short = t.more
}

// guardShard makes this owner's claim of the shard a condition.
func (t *transactionBuilder) guardShard(shard int) {
	if !t.guarded[shard] {
		t.guarded[shard] = true
		t.guards = append(t.guards, wire.Guard{Key: t.writer.state.Member.ShardKey(shard), Version: t.writer.state.Loaded[shard]})
	}
}

// guardAll makes this owner's claims of all its shards conditions.
func (t *transactionBuilder) guardAll() {
	for s := range t.writer.state.Loaded {
		t.guardShard(s)
	}
}

// put writes a record whose key has the version.
func (t *transactionBuilder) put(key string, version uint64, v any) error {
	data, err := json.Marshal(v)
	t.size += len(data)
	t.guards = append(t.guards, wire.Guard{Key: key, Version: version})
	t.ops = append(t.ops, wire.Op{Put: key, Value: json.RawMessage(data)})
	return err
}

// addLogs adds a log record for each shard that has something to record.
func (t *transactionBuilder) addLogs() error {
	for s, queue := range t.writer.state.Unwritten {
		if _, mine := t.writer.state.Loaded[s]; !mine || len(queue) == 0 {
			continue
		}
		if len(t.ops) >= t.maxOps || t.size+t.value > txnBytes {
			t.more = true
			break
		}
		l := t.writer.logOf(s)
		lb := t.takeQueue(s, l)
		if len(lb.changes) == 0 {
			t.unlogged = append(t.unlogged, lb.rows...)
			continue
		}
		if err := t.addLog(s, l, lb); err != nil {
			return err
		}
	}
	return nil
}

// takeQueue takes queued changes of a shard that fit a log record, and their rows.
func (t *transactionBuilder) takeQueue(shard int, l *Log) *recordBuilder {
	queue := t.writer.state.Unwritten[shard]
	lb := newRecordBuilder(l.seq + 1)
	taken := 0
	for _, c := range queue {
		if lb.size >= t.value || c.Row != nil && t.room < c.Row.Bytes() {
			break
		}
		if c.Row != nil {
			t.room -= c.Row.Bytes()
			t.rows = append(t.rows, *c.Row)
			lb.rows = append(lb.rows, c)
		}
		taken++
		if t.writer.matters(c) {
			lb.add(c)
		}
	}
	queue = append([]jobstate.Change(nil), queue[taken:]...)
	t.writer.state.Unwritten[shard] = queue
	t.more = t.more || len(queue) > 0
	t.short = t.short || t.writer.book != nil && len(queue) > 0
	return lb
}

// addLog adds a shard's log record, over the oldest one if that is not needed any more.
func (t *transactionBuilder) addLog(shard int, l *Log, lb *recordBuilder) error {
	lb.keepRows()
	lb.rec.QuotaMark = t.writer.quota.Mark(shard)
	l.seq++
	t.guardShard(shard)
	w := logWrite{shard: shard, log: l, seq: l.seq, changes: lb.changes, chunks: lb.chunks}
	if len(l.slots) >= t.writer.maxSlots && !l.slots[0].free() {
		if err := t.saveOldest(l); err != nil {
			return err
		}
	}
	if len(l.slots) > 0 && l.slots[0].free() {
		w.slot = l.slots[0]
	} else {
		w.slot, w.fresh = &logSlot{n: l.next}, true
	}
	if err := t.put(jobrecord.LogKey(shard, w.slot.n), w.slot.version, lb.rec); err != nil {
		return err
	}
	t.logs = append(t.logs, w)
	return nil
}

// saveOldest saves chunks that a shard's oldest log record is still needed for, as many
// as fit.
func (t *transactionBuilder) saveOldest(l *Log) error {
	for chunk := range l.slots[0].chunks {
		if chunk.Job.EndStage != "" {
			// It needs none: its end frees the slot. That end, maybe in this very
			// transaction, would not delete the chunk's record, and it would stay.
			continue
		}
		if len(t.ops) >= t.maxOps/2 || t.size+2*t.value > txnBytes {
			break
		}
		for _, placement := range chunk.Placements {
			placement.InStore = true
		}
		if err := t.put(jobrecord.ChunkKey(chunk.Job.Spec.UID, chunk.Number), chunk.Version, chunk.Record(l.seq)); err != nil {
			return err
		}
		t.chunkSaves = append(t.chunkSaves, chunkSave{chunk, l.seq})
	}
	return nil
}

// addEnds adds the ends of jobs that are over.
func (t *transactionBuilder) addEnds() {
	for _, job := range t.writer.state.JobOrder {
		if job.EndStage == "" {
			continue
		}
		var row accounting.Row
		if t.writer.book != nil {
			row = t.writer.state.JobRow(job)
			if t.short || t.room < row.Bytes() {
				t.more = true // its attempts' rows come first
				continue
			}
		}
		changes := t.endChanges(job)
		bytes := endBytes + endChangeBytes*changes
		if len(t.ops)+changes > t.maxOps || t.size+bytes > txnBytes {
			t.more = true
			continue
		}
		t.size += bytes
		t.addEnd(job, changes)
		if t.writer.book != nil {
			t.room -= row.Bytes()
			t.rows = append(t.rows, row)
		}
	}
}

// endChanges is how many keys a job's end changes in its transaction.
func (t *transactionBuilder) endChanges(job *jobstate.Job) int {
	n := 2 // the living record and the final one
	for _, chunk := range job.Chunks {
		if chunk.Version != 0 && n < t.maxOps {
			n++
		}
	}
	return n
}

// addEnd adds a job's end, with so many changes. Chunk records beyond them are deleted
// later.
func (t *transactionBuilder) addEnd(job *jobstate.Job, changes int) {
	t.guardShard(job.Shard)
	uid := job.Spec.UID
	t.guards = append(t.guards, wire.Guard{Key: jobrecord.LivePrefix + uid, Version: job.Version})
	t.ops = append(t.ops, wire.Op{Put: jobrecord.FinalPrefix + uid, Value: jobrecord.FinalRecord{Stage: job.EndStage, Done: job.Done, Ending: t.writer.state.EndStateOf(job)}}, wire.Op{Delete: jobrecord.LivePrefix + uid})
	left := changes - 2
	for _, chunk := range job.Chunks {
		if chunk.Version != 0 && left > 0 {
			left--
			t.ops = append(t.ops, wire.Op{Delete: jobrecord.ChunkKey(uid, chunk.Number)})
		}
	}
	job.EndWriteSent = true
	t.ended = append(t.ended, job)
}

// addGarbage deletes chunk records of ended jobs.
func (t *transactionBuilder) addGarbage() {
	for t.garbageTaken < len(t.writer.garbage) && len(t.ops) < t.maxOps {
		t.ops = append(t.ops, wire.Op{Delete: t.writer.garbage[t.garbageTaken]})
		t.garbageTaken++
	}
	t.guardAll()
}

// addPage adds the accounting page with the rows. Rows that can't be written are lost:
// work does not stand still for them.
func (t *transactionBuilder) addPage() {
	book := t.writer.book
	var err error
	if t.page, err = book.Add(t.rows, time.Now()); err != nil {
		t.writer.log.Error("accounting rows are lost", "rows", len(t.rows), "err", err)
		return
	}
	t.book = book
	if len(t.guards) == 0 {
		t.guardAll()
	}
	t.guards = append(t.guards, wire.Guard{Key: t.page.Key, Version: t.page.Version})
	t.ops = append(t.ops, wire.Op{Put: t.page.Key, Value: t.page.Value})
}

// valueBytes is how long a value that this owner writes may be.
func (w *Writer) valueBytes() int { return jobrecord.ValueBytes(w.state.Platform) }
