package scheduler

import (
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/config"
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
	owner   *Scheduler
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
func (o *Scheduler) build() (b *Transaction, more bool, err error) {
	t := &transactionBuilder{Transaction: &Transaction{}, owner: o, maxOps: o.cfg.Params.State.TxnOps, value: o.valueBytes(), guarded: map[int]bool{}}
	if o.book != nil {
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
	loose := t.owner.loose
	t.maxOps--
	t.room = t.owner.book.Room()
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
		t.guards = append(t.guards, wire.Guard{Key: t.owner.member.ShardKey(shard), Version: t.owner.loaded[shard]})
	}
}

// guardAll makes this owner's claims of all its shards conditions.
func (t *transactionBuilder) guardAll() {
	for s := range t.owner.loaded {
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
	for s, l := range t.owner.logs {
		if _, mine := t.owner.loaded[s]; !mine || len(l.queue) == 0 {
			continue
		}
		if len(t.ops) >= t.maxOps || t.size+t.value > txnBytes {
			t.more = true
			break
		}
		lb := t.takeQueue(l)
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
func (t *transactionBuilder) takeQueue(l *Log) *recordBuilder {
	lb := newRecordBuilder(l.seq + 1)
	taken := 0
	for _, c := range l.queue {
		if lb.size >= t.value || c.Row != nil && t.room < c.Row.Bytes() {
			break
		}
		if c.Row != nil {
			t.room -= c.Row.Bytes()
			t.rows = append(t.rows, *c.Row)
			lb.rows = append(lb.rows, c)
		}
		taken++
		if t.owner.matters(c) {
			lb.add(c)
		}
	}
	l.queue = append([]Change(nil), l.queue[taken:]...)
	t.more = t.more || len(l.queue) > 0
	t.short = t.short || t.owner.book != nil && len(l.queue) > 0
	return lb
}

// addLog adds a shard's log record, over the oldest one if that is not needed any more.
func (t *transactionBuilder) addLog(shard int, l *Log, lb *recordBuilder) error {
	lb.keepRows()
	lb.rec.QuotaMark = t.owner.lendMark(shard)
	l.seq++
	t.guardShard(shard)
	w := logWrite{shard: shard, log: l, seq: l.seq, changes: lb.changes, chunks: lb.chunks}
	if len(l.slots) >= t.owner.LogSlots && !l.slots[0].free() {
		if err := t.saveOldest(l); err != nil {
			return err
		}
	}
	if len(l.slots) > 0 && l.slots[0].free() {
		w.slot = l.slots[0]
	} else {
		w.slot, w.fresh = &logSlot{n: l.next}, true
	}
	if err := t.put(LogKey(shard, w.slot.n), w.slot.version, lb.rec); err != nil {
		return err
	}
	t.logs = append(t.logs, w)
	return nil
}

// saveOldest saves chunks that a shard's oldest log record is still needed for, as many
// as fit.
func (t *transactionBuilder) saveOldest(l *Log) error {
	for c := range l.slots[0].chunks {
		if c.Job.EndStage != "" {
			// It needs none: its end frees the slot. That end, maybe in this very
			// transaction, would not delete the chunk's record, and it would stay.
			continue
		}
		if len(t.ops) >= t.maxOps/2 || t.size+2*t.value > txnBytes {
			break
		}
		for _, p := range c.Placements {
			p.InStore = true
		}
		if err := t.put(ChunkKey(c.Job.Spec.UID, c.Number), c.Version, c.Record(l.seq)); err != nil {
			return err
		}
		t.chunkSaves = append(t.chunkSaves, chunkSave{c, l.seq})
	}
	return nil
}

// addEnds adds the ends of jobs that are over.
func (t *transactionBuilder) addEnds() {
	for _, j := range t.owner.order {
		if j.EndStage == "" {
			continue
		}
		var row accounting.Row
		if t.owner.book != nil {
			row = t.owner.jobRow(j)
			if t.short || t.room < row.Bytes() {
				t.more = true // its attempts' rows come first
				continue
			}
		}
		changes := t.endChanges(j)
		bytes := endBytes + endChangeBytes*changes
		if len(t.ops)+changes > t.maxOps || t.size+bytes > txnBytes {
			t.more = true
			continue
		}
		t.size += bytes
		t.addEnd(j, changes)
		if t.owner.book != nil {
			t.room -= row.Bytes()
			t.rows = append(t.rows, row)
		}
	}
}

// endChanges is how many keys a job's end changes in its transaction.
func (t *transactionBuilder) endChanges(j *Job) int {
	n := 2 // the living record and the final one
	for _, c := range j.Chunks {
		if c.Version != 0 && n < t.maxOps {
			n++
		}
	}
	return n
}

// addEnd adds a job's end, with so many changes. Chunk records beyond them are deleted
// later.
func (t *transactionBuilder) addEnd(j *Job, changes int) {
	t.guardShard(j.Shard)
	uid := j.Spec.UID
	t.guards = append(t.guards, wire.Guard{Key: LivePrefix + uid, Version: j.Version})
	t.ops = append(t.ops, wire.Op{Put: FinalPrefix + uid, Value: FinalRecord{Stage: j.EndStage, Done: j.Done, Ending: t.owner.ending(j)}}, wire.Op{Delete: LivePrefix + uid})
	left := changes - 2
	for _, c := range j.Chunks {
		if c.Version != 0 && left > 0 {
			left--
			t.ops = append(t.ops, wire.Op{Delete: ChunkKey(uid, c.Number)})
		}
	}
	j.EndWriteSent = true
	t.ended = append(t.ended, j)
}

// addGarbage deletes chunk records of ended jobs.
func (t *transactionBuilder) addGarbage() {
	for t.garbageTaken < len(t.owner.garbage) && len(t.ops) < t.maxOps {
		t.ops = append(t.ops, wire.Op{Delete: t.owner.garbage[t.garbageTaken]})
		t.garbageTaken++
	}
	t.guardAll()
}

// addPage adds the accounting page with the rows. Rows that can't be written are lost:
// work does not stand still for them.
func (t *transactionBuilder) addPage() {
	book := t.owner.book
	var err error
	if t.page, err = book.Add(t.rows, time.Now()); err != nil {
		t.owner.log.Error("accounting rows are lost", "rows", len(t.rows), "err", err)
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
func (o *Scheduler) valueBytes() int { return valueBytes(o.cfg) }

func valueBytes(cfg *config.Platform) int { return int(cfg.Params.State.ValueKB*1024*0.9) - 64 }
