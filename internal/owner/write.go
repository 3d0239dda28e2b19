package owner

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/machine"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	txnBytes   = 56 << 10 // below the state service's limit for a transaction
	txnTimeout = 2 * time.Second
	keepFinal  = 20_000 // ended jobs that are remembered for quick answers
)

// writeShare is the part of the state service's writes that pays for logs:
// it bounds how often they are written.
const writeShare = 0.2

// write records changes, one transaction at a time.
func (o *Owner) write(ctx context.Context) {
	pause := seconds(1 / max(1, writeShare*o.cfg.Params.State.WriteRPS))
	for n := 0; ctx.Err() == nil; {
		sent := time.Now()
		more, err := o.writeOnce(ctx)
		switch {
		case err != nil:
			o.log.Debug("write failed", "err", err)
			n++
			statestore.Backoff(ctx, n, 50*time.Millisecond, time.Second)
			continue
		case more:
			n = 0
		default:
			n = 0
			select {
			case <-ctx.Done():
			case <-o.flush:
			}
		}
		// What comes in the meantime shares a record.
		select {
		case <-ctx.Done():
		case <-time.After(pause - time.Since(sent)):
		}
	}
}

// batch is a transaction, kept until its outcome is known.
type batch struct {
	guards []wire.Guard
	ops    []wire.Op
	logs   []logWrite
	saves  []chunkSave
	ended  []*job

	book     *accounting.Book // of page
	unlogged []change         // of which only the rows were worth writing
	trash    int
	rows     []accounting.Row
	loose    int // rows that came from Owner.loose
	page     accounting.Write
}

type logWrite struct {
	shard   int
	log     *shardLog
	slot    *slot
	fresh   bool // the slot is a new key
	seq     uint64
	changes []change
	chunks  map[*chunk]struct{}
}

type chunkSave struct {
	c   *chunk
	seq uint64
}

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

// writeOnce records as much as fits one transaction, or repeats the one whose
// outcome is open.
func (o *Owner) writeOnce(ctx context.Context) (more bool, err error) {
	if len(o.member.Claimed()) == 0 {
		return false, nil
	}
	o.mu.Lock()
	start := time.Now()
	b := o.open
	if b == nil {
		if b, more, err = o.build(); b == nil {
			o.mu.Unlock()
			return more, err
		}
		o.open = b
	}
	o.mu.Unlock()
	usage.Count(usage.Records, start)
	tctx, cancel := context.WithTimeout(ctx, txnTimeout)
	rev, err := o.store.BulkTxn(tctx, b.guards, b.ops...)
	cancel()
	var conflict *statestore.Conflict
	if errors.As(err, &conflict) {
		return true, o.reread(ctx, b, conflict.Keys)
	}
	if err != nil {
		return true, err
	}
	defer usage.Count(usage.Records, time.Now())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.commit(b, rev)
	return more || len(o.garbage) > 0, nil
}

// commit acts on a transaction that was applied.
func (o *Owner) commit(b *batch, rev uint64) {
	o.open = nil
	o.garbage = o.garbage[b.trash:]
	o.loose = o.loose[min(b.loose, len(o.loose)):]
	if b.page.Key != "" {
		b.book.Done(b.page, rev)
		usage.Add(usage.AccountRows, len(b.rows))
		usage.Add(usage.AccountWrites, 1)
		usage.Add(usage.AccountBytes, len(b.page.Value))
	}
	for _, s := range b.saves {
		s.c.version, s.c.saved = rev, max(s.c.saved, s.seq)
	}
	for _, w := range b.logs {
		if w.fresh {
			w.log.next++
		} else {
			w.log.slots = w.log.slots[1:]
		}
		w.slot.version, w.slot.seq, w.slot.chunks = rev, w.seq, w.chunks
		w.log.slots = append(w.log.slots, w.slot)
		for _, c := range w.changes {
			o.recorded(c)
		}
	}
	for _, j := range b.ended {
		if o.jobs[j.spec.UID] == j {
			o.endLocked(j)
		}
	}
}

// recorded acts on a change that has just been written.
func (o *Owner) recorded(c change) {
	p := c.p
	if _, attached := p.mach.places[p]; !attached {
		return
	}
	switch {
	case c.kind == doneChange:
		o.clear(p)
	case c.kind == placeChange && p.state == placeWriting && !p.exited:
		p.state = placeRecorded
		o.tell(p, false)
	}
}

// undo puts what a transaction that surely was not applied wanted to write
// back to where it came from.
func (o *Owner) undo(b *batch) {
	o.open = nil
	for _, c := range b.unlogged {
		o.loose = append(o.loose, *c.row)
	}
	for _, w := range b.logs {
		w.log.queue = append(w.changes, w.log.queue...)
	}
	for _, j := range b.ended {
		j.ending = false
	}
}

// endLocked forgets a job whose end is recorded.
func (o *Owner) endLocked(j *job) {
	uid := j.spec.UID
	limit, begun := o.firstLimit(j), 0.0
	if !j.begunAt.IsZero() {
		begun = j.begunAt.Sub(j.accepted).Seconds()
	}
	if j.ended == wire.StageDone {
		o.over.note(j, true, time.Now(), limit)
	}
	o.log.Debug("job ended", "job", uid, "class", j.spec.Class, "stage", j.ended, "arrived_s", float64(j.atMs)/1000,
		"took_s", time.Since(j.accepted).Seconds(), "run_s", j.runEstimate(), "limit_s", limit, "tasks", j.spec.Tasks, "cpus", j.spec.CPUs, "begun_s", begun, "large", j.large)
	o.final[uid] = finalRecord{Stage: j.ended, Done: j.done, Ending: o.ending(j)}
	o.finalQ = append(o.finalQ, uid)
	if len(o.finalQ) > keepFinal {
		delete(o.final, o.finalQ[0])
		o.finalQ = o.finalQ[1:]
	}
	most := o.cfg.Params.State.TxnOps - 2 // so many went with the end's own transaction
	for _, c := range j.chunks {
		if c.version == 0 {
			continue
		}
		if most--; most < 0 {
			o.garbage = append(o.garbage, chunkKey(uid, c.n))
		}
	}
	for _, ps := range j.places {
		for _, p := range ps {
			d := o.direction(p.mach.view.Holder)
			if p.exited {
				d.Clear = append(d.Clear, machine.Clear{Ref: p.ref, Token: p.token})
			} else {
				d.Halt = append(d.Halt, machine.Halt{Ref: p.ref})
			}
		}
	}
	poke(o.out)
	o.forget(uid, j)
}

// reread finds out what became of a transaction whose conditions failed: often
// it had been applied, and the answer was lost.
func (o *Owner) reread(ctx context.Context, b *batch, keys []string) error {
	items := map[string]wire.Item{}
	for _, key := range keys {
		rctx, cancel := context.WithTimeout(ctx, txnTimeout)
		it, err := o.store.Get(rctx, key)
		cancel()
		if err != nil && !errors.Is(err, statestore.ErrNotFound) {
			return err
		}
		items[key] = it // without a version if there is none
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if it, failed := items[b.page.Key]; failed && it.Version > b.page.Version {
		o.commit(b, it.Version) // nobody else writes this page, and no other write of it is open
		return nil
	}
	// What a successor wrote tells nothing of this transaction: its log records have the
	// same keys and numbers, and an end that it recorded may be another one. Jobs were
	// called done here that nobody had recorded as done.
	lost := func(shard int) bool { return slices.Contains(keys, o.member.ShardKey(shard)) }
	for _, w := range b.logs {
		it, failed := items[slotKey(w.shard, w.slot.n)]
		if !failed || lost(w.shard) {
			continue
		}
		if r, err := parseLog(it.Value); err == nil && r.Seq == w.seq && it.Version != 0 {
			o.commit(b, it.Version) // all of a transaction's keys share a version
			return nil
		}
		// Only the shard's owner writes there: an older state of ours.
		w.slot.version = it.Version
	}
	o.undo(b)
	for _, s := range b.saves {
		if it, failed := items[chunkKey(s.c.job.spec.UID, s.c.n)]; failed {
			s.c.version = it.Version
		}
	}
	for _, j := range b.ended {
		it, failed := items[liveKey+j.spec.UID]
		if failed && !lost(j.shard) && o.jobs[j.spec.UID] == j {
			o.adoptLive(j, it)
		}
	}
	return nil
}

// adoptLive takes the living record of a job as it was found in the store.
func (o *Owner) adoptLive(j *job, it wire.Item) {
	uid := j.spec.UID
	if it.Version == 0 {
		// Its end was recorded although the answer was lost.
		if j.ended != "" {
			o.endLocked(j)
		} else {
			o.log.Error("a living job's record is gone", "job", uid)
			o.forget(uid, j)
		}
		return
	}
	var r liveRecord
	if err := json.Unmarshal(it.Value, &r); err != nil {
		o.log.Error("unreadable job record", "key", it.Key, "err", err)
		return
	}
	j.version = max(j.version, it.Version)
	o.retermed(j, &r)
	if r.Cancelled {
		o.cancelLocked(j)
	}
}

// neverSent reports whether no start command for a halted place can be under way, when
// the holder with that token says that it sent none: the start was granted for this token
// alone. One that was granted for another may still be held up, sent by another holder or
// before this one restarted: taken off its team's use it would run beside what the limit
// then lets start.
func (p *place) neverSent(token uint64) bool {
	return p.state == placeGranted && !p.haltAt.IsZero() && p.least == token && p.token == token
}

// direct sends what was gathered for the holders.
func (o *Owner) direct(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-o.out:
		}
		o.mu.Lock()
		pend := o.pend
		o.pend = map[string]*machine.Direction{}
		o.mu.Unlock()
		for holder, d := range pend {
			if holder == "" {
				continue
			}
			if holder == o.member.Name() {
				o.sendDirection(ctx, holder, d)
				continue
			}
			go o.sendDirection(ctx, holder, d) // bounded by its time limit
		}
	}
}

func (o *Owner) sendDirection(ctx context.Context, holder string, d *machine.Direction) {
	dctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	un, err := o.holders.Direct(dctx, holder, *d)
	if err != nil {
		// Sweeps and later views repeat whatever still matters.
		o.log.Debug("holder did not take directions", "holder", holder, "err", err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, ref := range un.Refs {
		uid, n, err := wire.ParseTask(ref.Task)
		j := o.jobs[uid]
		if err != nil || j == nil {
			continue
		}
		for _, p := range append([]*place(nil), j.places[n]...) {
			if p.attempt == ref.Attempt && p.mach.name == ref.Machine && p.neverSent(un.Token) {
				o.detach(p)
			}
		}
	}
}
