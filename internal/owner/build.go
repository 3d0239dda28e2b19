package owner

import (
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/wire"
)

// build gathers what is to be written into a transaction; nil if there is
// nothing.
func (o *Owner) build() (b *batch, more bool, err error) {
	b = &batch{}
	maxOps := o.cfg.Params.State.TxnOps
	value := o.valueBytes()
	size, room := 0, 0
	short := false // rows are left that must come before their jobs' own
	if o.book != nil {
		// One change is the accounting page's.
		maxOps--
		room = o.book.Room()
		size += value
		for b.loose < len(o.loose) && room >= o.loose[b.loose].Bytes() {
			room -= o.loose[b.loose].Bytes()
			b.loose++
		}
		b.rows = append(b.rows, o.loose[:b.loose]...)
		more = b.loose < len(o.loose)
		short = more
	}
	shards := map[int]bool{}
	guardShard := func(s int) {
		if !shards[s] {
			shards[s] = true
			b.guards = append(b.guards, wire.Guard{Key: o.member.ShardKey(s), Version: o.loaded[s]})
		}
	}
	put := func(key string, version uint64, v any) error {
		data, err := json.Marshal(v)
		size += len(data)
		b.guards = append(b.guards, wire.Guard{Key: key, Version: version})
		b.ops = append(b.ops, wire.Op{Put: key, Value: json.RawMessage(data)})
		return err
	}
	for s, l := range o.logs {
		if _, mine := o.loaded[s]; !mine || len(l.queue) == 0 {
			continue
		}
		if len(b.ops) >= maxOps || size+value > txnBytes {
			more = true
			break
		}
		lb := newLogBuilder(l.seq + 1)
		taken := 0
		for _, c := range l.queue {
			if lb.size >= value || c.row != nil && room < c.row.Bytes() {
				break
			}
			if c.row != nil {
				room -= c.row.Bytes()
				b.rows = append(b.rows, *c.row)
				lb.rows = append(lb.rows, c)
			}
			taken++
			if o.matters(c) {
				lb.add(c)
			}
		}
		l.queue = append([]change(nil), l.queue[taken:]...)
		more = more || len(l.queue) > 0
		short = short || o.book != nil && len(l.queue) > 0
		if len(lb.changes) == 0 {
			b.unlogged = append(b.unlogged, lb.rows...)
			continue
		}
		lb.keepRows()
		l.seq++
		guardShard(s)
		w := logWrite{shard: s, log: l, seq: l.seq, changes: lb.changes, chunks: lb.chunks}
		if len(l.slots) >= o.KeepSlots && !l.slots[0].free() {
			// Save what the oldest record is still needed for.
			for c := range l.slots[0].chunks {
				if c.job.ended != "" {
					// It needs none: its end frees the slot. That end, maybe in this very
					// transaction, would not delete the chunk's record, and it would stay.
					continue
				}
				if len(b.ops) >= maxOps/2 || size+2*value > txnBytes {
					break
				}
				for _, p := range c.places {
					p.logged = true
				}
				if err := put(chunkKey(c.job.spec.UID, c.n), c.version, c.record(l.seq)); err != nil {
					return nil, false, err
				}
				b.saves = append(b.saves, chunkSave{c, l.seq})
			}
		}
		if len(l.slots) > 0 && l.slots[0].free() {
			w.slot = l.slots[0]
		} else {
			w.slot, w.fresh = &slot{n: l.next}, true
		}
		if err := put(slotKey(s, w.slot.n), w.slot.version, lb.rec); err != nil {
			return nil, false, err
		}
		b.logs = append(b.logs, w)
	}
	for _, j := range o.order {
		if j.ended == "" {
			continue
		}
		var row accounting.Row
		if o.book != nil {
			row = o.jobRow(j)
			if short || room < row.Bytes() {
				more = true // its attempts' rows come first
				continue
			}
		}
		need := 2
		for _, c := range j.chunks {
			if c.version != 0 && need < maxOps {
				need++
			}
		}
		if len(b.ops)+need > maxOps || size+200+80*need > txnBytes {
			more = true
			continue
		}
		size += 200 + 80*need
		guardShard(j.shard)
		uid := j.spec.UID
		b.guards = append(b.guards, wire.Guard{Key: liveKey + uid, Version: j.version})
		b.ops = append(b.ops, wire.Op{Put: finalKey + uid, Value: finalRecord{Stage: j.ended, Done: j.done, Ending: o.ending(j)}}, wire.Op{Delete: liveKey + uid})
		if o.book != nil {
			room -= row.Bytes()
			b.rows = append(b.rows, row)
		}
		need -= 2
		for _, c := range j.chunks {
			if c.version != 0 && need > 0 {
				need--
				b.ops = append(b.ops, wire.Op{Delete: chunkKey(uid, c.n)})
			}
		}
		j.ending = true
		b.ended = append(b.ended, j)
	}
	if len(b.ops) == 0 && len(b.rows) == 0 {
		for b.trash < len(o.garbage) && len(b.ops) < maxOps {
			b.ops = append(b.ops, wire.Op{Delete: o.garbage[b.trash]})
			b.trash++
		}
		for s := range o.loaded {
			guardShard(s)
		}
	}
	if len(b.rows) > 0 {
		if b.page, err = o.book.Add(b.rows, time.Now()); err != nil {
			// Not for want of a bookkeeper shall work stand still.
			o.log.Error("accounting rows are lost", "rows", len(b.rows), "err", err)
			err = nil
		} else {
			b.book = o.book
			if len(b.guards) == 0 {
				for s := range o.loaded {
					guardShard(s)
				}
			}
			b.guards = append(b.guards, wire.Guard{Key: b.page.Key, Version: b.page.Version})
			b.ops = append(b.ops, wire.Op{Put: b.page.Key, Value: b.page.Value})
		}
	}
	if len(b.ops) == 0 {
		return nil, more, nil
	}
	return b, more, nil
}
